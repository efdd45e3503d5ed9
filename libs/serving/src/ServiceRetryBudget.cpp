#include "serving/ServiceRetryBudget.h"

namespace monsoonbay {

namespace {

// A tenth of the share stays unused: a repeat that is granted here is counted by others when it
// arrives, and VMs that start or stop change the shares of the rest.
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

// The bound holds for all VMs together. Each takes the ratio of its own calls and an even part of
// the slack, so that no message is needed and the sum can never pass the bound.
bool tryTakeRetry(ServiceRetryBudget &budget, const RetryPolicy &policy,
                  const SlackSharing &sharing, Instant now)
{
    advance(budget.calls, policy.window, now);
    std::uint32_t &newestRepeats = advance(budget.retries, policy.window, now);
    const double repeats = sumOf(budget.retries);
    const double share = policy.ratio * sumOf(budget.calls) + slackShare(policy, sharing, now);
    if (repeats + 1 > usedShare * share)
        return false;
    ++newestRepeats;
    return true;
}

// Left at the moment at which it was taken, it would be forgotten before a window has passed since
// it was sent, and another one be granted beside it.
void recordRetrySent(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant takenAt,
                     Instant now)
{
    std::uint32_t &newest = advance(budget.retries, policy.window, now);
    const std::int64_t age = ageOf(budget.retries, policy.window, takenAt);
    if (age <= budget.retries.inWindow)
        --budget.retries.part(budget.retries.newest - age);
    ++newest;
}

std::uint32_t retriesTaken(const ServiceRetryBudget &budget) noexcept
{
    return sumOf(budget.retries);
}

} // namespace monsoonbay
