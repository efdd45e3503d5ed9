#include <deque>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/ServiceRetryBudget.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

struct Happening
{
    int vm;
    bool repeat;
    int afterMs;
};

std::vector<Happening> drawHappenings(int vms)
{
    const auto one = rc::gen::construct<Happening>(
        rc::gen::inRange(0, vms), rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 120));
    return *rc::gen::resize(400, rc::gen::container<std::vector<Happening>>(one));
}

} // namespace

// The bound over all VMs, looked at in every window that ends with a repeat: repeats are at most
// the ratio of the calls in that window, or the one before, plus the slack.
Test(retries, all_vms_together_stay_within_the_bound)
{
    cr_assert(rc::check("bound", [] {
        const int vms = *rc::gen::inRange(1, 5);
        RetryPolicy policy;
        policy.slack = *rc::gen::inRange(4, 30);
        std::vector<ServiceRetryBudget> budgets(static_cast<std::size_t>(vms));
        std::deque<Instant> calls;
        std::deque<Instant> repeats;
        Instant now = Instant{} + 100s;
        for (const Happening &happening : drawHappenings(vms)) {
            now += std::chrono::milliseconds(happening.afterMs);
            ServiceRetryBudget &budget = budgets[static_cast<std::size_t>(happening.vm)];
            if (!happening.repeat) {
                noteCall(budget, policy, now);
                calls.push_back(now);
                continue;
            }
            if (!takeRepeat(budget, policy, vms, now))
                continue;
            repeats.push_back(now);
            while (!repeats.empty() && now - repeats.front() > policy.window)
                repeats.pop_front();
            while (!calls.empty() && now - calls.front() > 2 * policy.window)
                calls.pop_front();
            const double allowed = policy.ratio * static_cast<double>(calls.size()) + policy.slack;
            RC_ASSERT(static_cast<double>(repeats.size()) <= allowed);
        }
    }));
}

Test(retries, the_share_comes_back_after_the_window)
{
    RetryPolicy policy;
    policy.slack = 10;
    ServiceRetryBudget budget;
    Instant now = Instant{} + 100s;
    int taken = 0;
    while (takeRepeat(budget, policy, 1, now))
        ++taken;
    cr_assert_eq(taken, 9);
    cr_assert(!takeRepeat(budget, policy, 1, now + 5s));
    cr_assert(takeRepeat(budget, policy, 1, now + 11s));
}
