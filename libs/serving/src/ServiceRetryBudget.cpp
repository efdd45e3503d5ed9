#include "serving/ServiceRetryBudget.h"

namespace monsoonbay {

namespace {

// A tenth of the share stays unused: retries granted here are counted by others when they arrive,
// and VMs that start or stop change the shares of the others.
constexpr double usedShare = 0.9;

} // namespace

void recordCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now)
{
    ++advance(budget.calls, policy.window, now);
}

namespace {

double slackShare(const RetryPolicy &policy, const SlackSharing &sharing, Instant now)
{
    if (sharing.vms < 1 || now < sharing.from)
        return 0;
    return policy.slack / sharing.vms;
}

} // namespace

Instant slackAvailableFrom(const RetryPolicy &policy, Instant start) noexcept
{
    constexpr auto parts = static_cast<std::int64_t>(ServiceRetryBudget::parts);
    return start + policy.window + policy.window / parts;
}

// The budget holds for all VMs together. Each VM uses the ratio of its own calls and an equal part
// of the slack, so that no messages are needed and the sum never exceeds the budget.
std::optional<GrantedRetry> tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                                         const SlackSharing &sharing, Instant now)
{
    advance(budget.calls, policy.window, now);
    std::uint32_t &newestRetries = advance(budget.retries, policy.window, now);
    const double retriesInWindow = sumOf(budget.retries);
    const double fromCalls = policy.ratio * sumOf(budget.calls);
    const double share = fromCalls + slackShare(policy, sharing, now);
    if (retriesInWindow + 1 > usedShare * share)
        return std::nullopt;
    ++newestRetries;
    const bool calls = retriesInWindow + 1 <= usedShare * fromCalls;
    return GrantedRetry{calls ? RetrySource::Calls : RetrySource::Slack, now};
}

// Counted at an earlier time, the retry would leave the window less than a window after it arrived
// at a target, and another one could be granted too early.
void recountRetry(ServiceRetryBudget &budget, const RetryPolicy &policy, GrantedRetry &retry,
                  Instant now)
{
    std::uint32_t &newest = advance(budget.retries, policy.window, now);
    const std::int64_t age = ageOf(budget.retries, policy.window, retry.countedAt);
    if (age <= budget.retries.inWindow)
        --budget.retries.part(budget.retries.newest - age);
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
    return sumOf(budget.retries);
}

} // namespace monsoonbay
