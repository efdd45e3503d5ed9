#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

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

/**
 * Calls and retries of one VM for one service.
 *
 * Calls earn permits for retries, which lapse after a short time. No VM can then use what was
 * earned long ago, before it or another VM had forgotten it, or before callers moved to other VMs.
 */
struct ServiceRetryBudget
{
    static constexpr std::size_t parts = 20; ///< of the policy's window
    static constexpr std::size_t permitParts = 10; ///< of the time for which a permit is valid

    WindowCounts<std::uint32_t, parts> calls;
    WindowCounts<std::uint32_t, parts> retriesFromCalls;
    WindowCounts<std::uint32_t, parts> retriesFromSlack;
    WindowCounts<std::uint32_t, permitParts> permits; ///< earned and unused
    double partialPermit = 0; ///< what has been earned of the next permit
};

/** Counts a call of this VM; it earns a part of a permit. */
void recordCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now);

/** How the slack of a budget is divided among VMs, as known to one VM. */
struct SlackSharing
{
    int vms = 0; ///< VMs that may retry, including those that this VM does not hear from; 0: not
                 ///< known yet
    int rank = 0; ///< of this VM among them, from 0; decides who rounds a fractional share up
    Instant from{}; ///< before this time the VM has no share of the slack
    double part = 1; ///< of its share that this kind of retry may use

    auto operator<=>(const SlackSharing &) const = default;
};

/**
 * Time from which a VM that started at `start` may use its share of the slack: one window later, as
 * the window may still contain retries of its previous boot, or of the other VMs from when there
 * were fewer.
 */
Instant slackAvailableFrom(const RetryPolicy &policy, Instant start) noexcept;

/** What a retry is granted from. */
enum class RetrySource : std::uint8_t { Calls, Slack };

/** Name of the source, as logged. */
std::string_view sourceName(RetrySource source) noexcept;

/** A retry that was granted. */
struct GrantedRetry
{
    RetrySource source = RetrySource::Calls;
    Instant countedAt{}; ///< time at which the budget counts it

    auto operator<=>(const GrantedRetry &) const = default;
};

/**
 * Grants one retry: from this VM's permits, else from its share of the slack; nullopt if both are
 * used up.
 */
std::optional<GrantedRetry> tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                                         const SlackSharing &sharing, Instant now);

/**
 * Time after which the calls of this VM will have earned `permits` more permits, if they come as
 * they did in the last `observed`; nullopt: none came.
 */
std::optional<Duration> timeToEarn(ServiceRetryBudget &budget, const RetryPolicy &policy,
                                   int permits, Duration observed, Instant now);

/**
 * Counts a retry at `now`: it was granted earlier and is sent only now, or it was sent earlier and
 * may have been on its way to a target until now.
 */
void recountRetry(ServiceRetryBudget &budget, const RetryPolicy &policy, GrantedRetry &retry,
                  Instant now);

/** Calls of this VM in the window, as of the last call or retry. */
std::uint32_t callsCounted(const ServiceRetryBudget &budget) noexcept;

/** Retries of this VM in the window, as of the last call or retry. */
std::uint32_t retriesTaken(const ServiceRetryBudget &budget) noexcept;

} // namespace monsoonbay
