#pragma once

#include <cstdint>

#include "core/Time.h"
#include "serving/TargetUsage.h"

namespace monsoonbay {

/** Outcome of one send to a target, as far as it says something about the target. */
enum class SendOutcome : std::uint8_t {
    Good,
    Refused, ///< refused by the target as it is full; the call has not run
    Failed, ///< an error returned by the target
    Broken, ///< answer cut off, invalid or lost
    Unreachable, ///< no connection in time
};

/** Recent outcomes of this VM's calls at one target. */
struct TargetHealth
{
    double failureScore = 0; ///< exponentially decayed sum of weighted failures
    double successes = 0; ///< exponentially decayed count of good answers
    double recentFailures = 0; ///< weighted failures and good answers of the last second, which are
                               ///< reported to all VMs
    double recentSuccesses = 0;
    Instant updatedAt{};
    Instant ejectedUntil{};
    int ejections = 0; ///< consecutive ejections without a good answer in between
};

/**
 * Counts an outcome and ejects the target if it fails too often. True if this outcome ejected it.
 */
bool recordOutcome(TargetHealth &health, SendOutcome outcome, Instant now);

bool isEjected(const TargetHealth &health, Instant now) noexcept;

/** Adds this VM's recent outcomes at a target to its usage record, which other VMs receive. */
void addHealth(TargetUsage &usage, const TargetHealth &health, Instant now);

/** True if calls fail at the target, by the recent outcomes of all VMs together. */
bool isFailing(const TargetUsage &all) noexcept;

} // namespace monsoonbay
