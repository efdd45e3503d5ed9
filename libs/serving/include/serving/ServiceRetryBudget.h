#pragma once

#include <cstdint>

#include "core/Time.h"
#include "core/WindowCounts.h"

namespace monsoonbay {

/** How many sends beyond the first of each call a service may see, over all VMs. */
struct RetryPolicy
{
    double ratio = 0.2; ///< of the calls in the window
    double slack = 50; ///< beside the ratio, over all VMs
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryPolicy &) const = default;
};

/** Counts of one VM for one service, by parts of the window. */
struct ServiceRetryBudget
{
    static constexpr std::size_t parts = 20; ///< of the window

    WindowCounts<std::uint32_t, parts> calls;
    WindowCounts<std::uint32_t, parts> retries;
};

void recordCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now);

/** Among whom the slack of a budget is divided, as one VM knows it. */
struct SlackSharing
{
    int vms = 0; ///< that may send again, heard or not; 0: not known yet
    Instant from{}; ///< this VM has no part of the slack before

    auto operator<=>(const SlackSharing &) const = default;
};

/**
 * When a VM that started at `start` may use its part of the slack: a window later, as the window
 * may still hold what was sent by the boot before it, or by the others when they were fewer.
 */
Instant slackAvailableFrom(const RetryPolicy &policy, Instant start) noexcept;

/** Takes one repeat out of this VM's share; false if the share is used up. */
bool tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                  const SlackSharing &sharing, Instant now);

/**
 * A repeat that was taken at `takenAt` is sent now, after a wait for a place: it counts from now
 * on, as the target that gets it counts it.
 */
void recordRetrySent(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant takenAt,
                     Instant now);

/** Repeats that this VM has taken in the window, as of the last call or repeat. */
std::uint32_t retriesTaken(const ServiceRetryBudget &budget) noexcept;

} // namespace monsoonbay
