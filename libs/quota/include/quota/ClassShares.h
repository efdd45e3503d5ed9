#pragma once

#include <array>

#include "quota/CallClass.h"

namespace monsoonbay {

/** What calls of a workspace ask for on all VMs, by class. */
struct ClassDemand
{
    std::array<double, callClassCount> units{}; ///< per second
    std::array<double, callClassCount> calls{}; ///< in the window; zeros: not known
    int vms = 0; ///< that admit calls, each by itself; 0: not known

    auto operator<=>(const ClassDemand &) const = default;
};

/** The parts of the calls of each class that are admitted. */
using ClassShares = std::array<double, callClassCount>;

/**
 * Divides among the classes what admits the part `evenShare` of all units, in [0, 1]: to the first
 * classes first, while each keeps a least share. All classes together get no more units than at
 * that part each.
 */
ClassShares classSharesOf(const ClassDemand &demand, double evenShare) noexcept;

} // namespace monsoonbay
