#include "serving/ServiceRetryBudget.h"

#include <algorithm>
#include <numeric>

namespace monsoonbay {

namespace {

// A tenth of the share stays unused: a repeat that is granted here is counted by others when it
// arrives, and VMs that start or stop change the shares of the rest.
constexpr double usedShare = 0.9;

void advance(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now)
{
    const auto partLength = policy.window / static_cast<int>(ServiceRetryBudget::parts - 1);
    const std::int64_t part = now.time_since_epoch() / partLength;
    const std::int64_t steps = std::min<std::int64_t>(
        part - budget.newestPart, static_cast<std::int64_t>(ServiceRetryBudget::parts));
    for (std::int64_t step = 0; step < steps; ++step) {
        const auto index = static_cast<std::size_t>(part - step) % ServiceRetryBudget::parts;
        budget.calls[index] = 0;
        budget.repeats[index] = 0;
    }
    budget.newestPart = std::max(budget.newestPart, part);
}

std::size_t newestIndex(const ServiceRetryBudget &budget)
{
    return static_cast<std::size_t>(budget.newestPart) % ServiceRetryBudget::parts;
}

} // namespace

void noteCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now)
{
    advance(budget, policy, now);
    ++budget.calls[newestIndex(budget)];
}

// The bound holds for all VMs together. Each takes the ratio of its own calls and an even part of
// the slack, so that no message is needed and the sum can never pass the bound.
bool takeRepeat(ServiceRetryBudget &budget, const RetryPolicy &policy, int vms, Instant now)
{
    advance(budget, policy, now);
    const double calls = std::accumulate(budget.calls.begin(), budget.calls.end(), 0.0);
    const double repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), 0.0);
    const double share = policy.ratio * calls + policy.slack / std::max(vms, 1);
    if (repeats + 1 > usedShare * share)
        return false;
    ++budget.repeats[newestIndex(budget)];
    return true;
}

} // namespace monsoonbay
