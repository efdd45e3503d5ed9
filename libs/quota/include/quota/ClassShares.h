#pragma once

#include <array>

#include "quota/CallClass.h"

namespace monsoonbay {

/** Demand of a workspace on all VMs, by class. */
struct ClassDemand
{
    std::array<double, callClassCount> units{}; ///< per second
    std::array<double, callClassCount> calls{}; ///< in the window; zeros: unknown
    int vms = 0; ///< VMs that admit calls, each on its own; 0: unknown

    auto operator<=>(const ClassDemand &) const = default;
};

/** The share of the calls of each class that is admitted. */
using ClassShares = std::array<double, callClassCount>;

/**
 * Distributes the units that the same share `evenShare`, in [0, 1], would admit in every class:
 * the first classes get theirs first, but each class keeps a minimum share. All classes together
 * get no more units than with the even share.
 */
ClassShares classSharesOf(const ClassDemand &demand, double evenShare) noexcept;

} // namespace monsoonbay
