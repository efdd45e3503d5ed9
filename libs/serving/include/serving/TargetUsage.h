#pragma once

#include "core/KeyedSums.h"

namespace monsoonbay {

/**
 * What running calls use of a target and how recent calls ended there, for one VM or summed over
 * several.
 */
struct TargetUsage
{
    double waitingTokens = 0; ///< prompt tokens of calls without a first event
    double heldTokens = 0;
    int runs = 0;
    int busySlots = 0; ///< adapter slots in use by calls of all VMs, as reported by the engine's
                       ///< lease holder
    int failures = 0; ///< weighted recent failures, in tenths; see TargetHealth
    int successes = 0; ///< recent successful calls, in tenths
    int shortObjectiveRuns = 0; ///< runs of the routes with the shortest latency objective, if
                                ///< objectives differ

    bool operator==(const TargetUsage &) const = default;
};

using TargetUsages = KeyedSums<TargetUsage>; ///< by target id

/** True if nothing runs there and no recent outcome is recorded. */
bool isUnused(const TargetUsage &usage) noexcept;

/** Adds `use` to `sum`. */
void addUsage(TargetUsage &sum, const TargetUsage &usage);

/**
 * Subtracts `use`, which was added before, from `sum`. Tokens are whole numbers, so this is exact.
 */
void subtractUsage(TargetUsage &sum, const TargetUsage &usage);

} // namespace monsoonbay
