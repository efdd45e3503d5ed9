#pragma once

#include "core/KeyedSums.h"

namespace monsoonbay {

/** What calls take of a target, and how they ended lately: of one VM, or of several together. */
struct TargetUsage
{
    double waitingTokens = 0; ///< of calls without a first event
    double heldTokens = 0;
    int runs = 0;
    int busySlots = 0; ///< adapter slots in use by calls of all VMs; told by the engine's holder
    int failures = 0; ///< weight of the calls that failed there lately, in tenths; see TargetHealth
    int successes = 0; ///< calls that ended well there lately, in tenths
    int shortObjectiveRuns = 0; ///< runs of the routes with the least objective, if they differ

    bool operator==(const TargetUsage &) const = default;
};

using TargetUsages = KeyedSums<TargetUsage>; ///< by target id

/** True if nothing is under way there, and nothing was lately. */
bool isUnused(const TargetUsage &use) noexcept;

/** Adds `use` to `sum`. */
void addUsage(TargetUsage &sum, const TargetUsage &use);

/** Takes `use`, which was added before, off `sum`. Tokens are whole numbers, so this is exact. */
void subtractUsage(TargetUsage &sum, const TargetUsage &use);

} // namespace monsoonbay
