#pragma once

#include "core/Time.h"

namespace monsoonbay {

/** What a VM hears of the load that other VMs put on engines. */
struct UpdateAgeInputs
{
    Duration regular{}; ///< age of the news while all VMs exchange them
    Duration sinceLastUpdate{}; ///< since another VM told anything
    Duration sinceAllReported{}; ///< since all known VMs were heard
    int vmsReporting = 1; ///< VMs whose load is known, this one among them
    int knownVms = 1;

    auto operator<=>(const UpdateAgeInputs &) const = default;
};

/** Age of what this VM knows of the load of engines, in the mean over all calls there. */
Duration updateAge(const UpdateAgeInputs &facts) noexcept;

} // namespace monsoonbay
