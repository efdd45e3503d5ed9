#pragma once

#include <cstdint>

#include "core/Time.h"
#include "core/WindowCounts.h"

namespace monsoonbay {

/** Retry budget of a service over all VMs: sends beyond the first one of each call. */
struct RetryPolicy
{
    double ratio = 0.2; ///< of the calls in the window
    double slack = 50; ///< allowed in addition to the ratio, over all VMs
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryPolicy &) const = default;
};

/** Calls and retries of one VM for one service in a sliding window. */
struct ServiceRetryBudget
{
    static constexpr std::size_t parts = 20; ///< of the window

    WindowCounts<std::uint32_t, parts> calls;
    WindowCounts<std::uint32_t, parts> retries;
};

void recordCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now);

/** How the slack of a budget is divided among VMs, as known to one VM. */
struct SlackSharing
{
    int vms = 0; ///< VMs that may retry, including those that this VM does not hear from; 0: not
                 ///< known yet
    Instant from{}; ///< before this time the VM has no share of the slack

    auto operator<=>(const SlackSharing &) const = default;
};

/**
 * Time from which a VM that started at `start` may use its share of the slack: one window later, as
 * the window may still contain retries of its previous boot, or of the other VMs from when there
 * were fewer.
 */
Instant slackAvailableFrom(const RetryPolicy &policy, Instant start) noexcept;

/** Takes one retry from this VM's share; false if the share is used up. */
bool tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                  const SlackSharing &sharing, Instant now);

/**
 * Counts a retry at `now` instead of at `countedAt`: it was granted then and is sent only now, or
 * it was sent then and may have been on its way to a target until now.
 */
void recountRetry(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant countedAt,
                  Instant now);

/** Retries of this VM in the window, as of the last call or retry. */
std::uint32_t retriesTaken(const ServiceRetryBudget &budget) noexcept;

} // namespace monsoonbay
