#include "serving/ServiceRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

using Retries = WindowCounts<std::uint32_t, ServiceRetryBudget::parts>;
using Permits = WindowCounts<std::uint32_t, ServiceRetryBudget::permitParts>;

/** A permit is valid for this part of the window. */
constexpr double permitValidityShare = 0.1;

/** The part in which a permit was earned counts as a whole one. */
constexpr double longestValidityShare =
    permitValidityShare * (1 + 1.0 / ServiceRetryBudget::permitParts);

/** The number of calls varies, also over a whole window. */
constexpr double shareForVariation = 0.05;

/**
 * Share of the ratio that calls earn. In one window, permits are used that were earned in it or
 * just before it.
 */
constexpr double earnedShare = (1 - shareForVariation) / (1 + longestValidityShare);

/** A tenth stays unused: VMs that start or stop change the shares of the others. */
constexpr double usedSlackShare = 0.9;

Duration permitValidity(const RetryPolicy &policy) noexcept
{
    return fromSeconds(permitValidityShare * toSeconds(policy.window));
}

} // namespace

void recordCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now)
{
    ++advance(budget.calls, policy.window, now);
    budget.partialPermit += earnedShare * policy.ratio;
    const double whole = std::floor(budget.partialPermit);
    budget.partialPermit -= whole;
    advance(budget.permits, permitValidity(policy), now) += static_cast<std::uint32_t>(whole);
}

namespace {

// In whole retries: with many VMs a share may be below one. The shares of all ranks sum up to the
// used slack.
double slackShare(const RetryPolicy &policy, const SlackSharing &sharing, Instant now)
{
    if (sharing.vms < 1 || now < sharing.from)
        return 0;
    const double equalShare = usedSlackShare * sharing.part * policy.slack / sharing.vms;
    return std::floor(equalShare * (sharing.rank + 1)) - std::floor(equalShare * sharing.rank);
}

/** Uses the permit that lapses first; false if there is none. */
bool usePermit(Permits &permits)
{
    for (std::int64_t age = Permits::inWindow; age >= 0; --age) {
        std::uint32_t &part = permits.part(permits.newest - age);
        if (part == 0)
            continue;
        --part;
        return true;
    }
    return false;
}

} // namespace

Instant slackAvailableFrom(const RetryPolicy &policy, Instant start) noexcept
{
    constexpr auto parts = static_cast<std::int64_t>(ServiceRetryBudget::parts);
    return start + policy.window + policy.window / parts;
}

// The budget holds for all VMs together. Each VM uses the ratio of its own calls and an equal part
// of the slack, so that no messages are needed. Retries that were granted and arrive late count in
// the window in which they arrive, so permits alone would not bound them.
std::optional<GrantedRetry> tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                                         const SlackSharing &sharing, Instant now)
{
    advance(budget.calls, policy.window, now);
    advance(budget.permits, permitValidity(policy), now);
    std::uint32_t &newestFromCalls = advance(budget.retriesFromCalls, policy.window, now);
    std::uint32_t &newestFromSlack = advance(budget.retriesFromSlack, policy.window, now);
    const double earned = earnedShare * policy.ratio * sumOf(budget.calls);
    if (sumOf(budget.retriesFromCalls) + 1 <= earned && usePermit(budget.permits)) {
        ++newestFromCalls;
        return GrantedRetry{RetrySource::Calls, now};
    }
    if (sumOf(budget.retriesFromSlack) + 1 > slackShare(policy, sharing, now))
        return std::nullopt;
    ++newestFromSlack;
    return GrantedRetry{RetrySource::Slack, now};
}

std::optional<Duration> timeToEarn(ServiceRetryBudget &budget, const RetryPolicy &policy,
                                   int permits, Duration observed, Instant now)
{
    advance(budget.calls, policy.window, now);
    const double earned = earnedShare * policy.ratio * sumOf(budget.calls);
    if (earned <= 0)
        return std::nullopt;
    return fromSeconds(permits * toSeconds(std::min(observed, policy.window)) / earned);
}

// Counted at an earlier time, the retry would leave the window less than a window after it arrived
// at a target, and another one could be granted too early.
void recountRetry(ServiceRetryBudget &budget, const RetryPolicy &policy, GrantedRetry &retry,
                  Instant now)
{
    Retries &retries =
        retry.source == RetrySource::Calls ? budget.retriesFromCalls : budget.retriesFromSlack;
    std::uint32_t &newest = advance(retries, policy.window, now);
    const std::int64_t age = ageOf(retries, policy.window, retry.countedAt);
    if (age <= retries.inWindow)
        --retries.part(retries.newest - age);
    ++newest;
    retry.countedAt = now;
}

std::string_view sourceName(RetrySource source) noexcept
{
    return source == RetrySource::Calls ? "calls" : "slack";
}

std::uint32_t callsCounted(const ServiceRetryBudget &budget) noexcept
{
    return sumOf(budget.calls);
}

std::uint32_t retriesTaken(const ServiceRetryBudget &budget) noexcept
{
    return sumOf(budget.retriesFromCalls) + sumOf(budget.retriesFromSlack);
}

} // namespace monsoonbay
