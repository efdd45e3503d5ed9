#pragma once

#include "core/Time.h"

namespace monsoonbay {

/** How current this VM's view is of the load that other VMs put on engines. */
struct UpdateAgeInputs
{
    Duration regular{}; ///< age of state updates while all VMs exchange them
    Duration sinceLastUpdate{}; ///< since the last update from any other VM
    Duration sinceAllReported{}; ///< since updates from all known VMs arrived
    int vmsReporting = 1; ///< VMs whose load is known, including this one
    int knownVms = 1;

    auto operator<=>(const UpdateAgeInputs &) const = default;
};

/** Age of this VM's view of the engines' load, as a mean weighted by the share of VMs heard. */
Duration updateAge(const UpdateAgeInputs &inputs) noexcept;

} // namespace monsoonbay
