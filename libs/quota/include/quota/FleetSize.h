#pragma once

#include "core/Time.h"

namespace monsoonbay {

/**
 * Number of VMs that may admit calls, including those that are unreachable from this one.
 *
 * Unreachable VMs keep their part of the limits: each isolated VM, or all VMs of one side of a
 * partition together, admit no more than their own part.
 */
struct FleetSize
{
    int known = 1;
    Instant seenAt{}; ///< when `known` VMs were last reachable; zero: `known` is from the VM list
    Instant firstCountAt{}; ///< time of the first count
    int minReachable = 0; ///< fewest VMs that were reachable at once in the present span
    Instant spanStartedAt{}; ///< zero: nothing was counted yet
    bool firstSpan = true;

    auto operator<=>(const FleetSize &) const = default;
};

/** One observation of the number of VMs. */
struct VmCount
{
    int reachable = 1; ///< reachable now, including this one
    int listed = 1; ///< on the VM list, which also names VMs that are long gone
    bool storeReachable = false; ///< the store answered lately: this VM is not the one cut off

    auto operator<=>(const VmCount &) const = default;
};

/** Applies an observation of the number of VMs. */
void updateFleetSize(FleetSize &size, const VmCount &count, Instant now) noexcept;

} // namespace monsoonbay
