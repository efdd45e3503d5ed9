#pragma once

#include <cstdint>

#include "core/Time.h"
#include "serving/TargetUsage.h"

namespace monsoonbay {

/** How one send to a target ended, as far as it tells something of the target. */
enum class SendOutcome : std::uint8_t {
    Good,
    Refused, ///< said by the target: not run, it is full
    Failed, ///< an error of its own
    Broken, ///< cut off, spoiled or lost
    Unreachable, ///< no connection in time
};

/** What this VM has seen of one target lately. */
struct TargetHealth
{
    double failureScore = 0; ///< decayed sum of weighted failures
    double successes = 0; ///< decayed count of good answers
    double recentFailures =
        0; ///< as failureScore and successes, but of the last second only: told to all VMs
    double recentSuccesses = 0;
    Instant updatedAt{};
    Instant ejectedUntil{};
    int ejections = 0; ///< in a row, without a good answer between
};

/** Counts an outcome and ejects the target if it fails too much. True if it was ejected by this. */
bool recordOutcome(TargetHealth &health, SendOutcome outcome, Instant now);

bool isEjected(const TargetHealth &health, Instant now) noexcept;

/** Adds what this VM has seen of a target lately to its use of it. */
void addHealth(TargetUsage &use, const TargetHealth &health, Instant now);

/** True if calls fail at the target, by what all VMs together have seen lately. */
bool isFailing(const TargetUsage &all) noexcept;

} // namespace monsoonbay
