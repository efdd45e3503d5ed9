#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "RetryModel.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = Instant{} + 100s;

SlackSharing among(int vms)
{
    SlackSharing sharing;
    sharing.vms = vms;
    return sharing;
}

/** Seven VMs; targets reject nearly all calls from 15 s on. */
RetryScenario rejectingTargets()
{
    RetryScenario scenario;
    scenario.vms = 7;
    scenario.phases = {{start, 250, std::vector<double>(7, 1)}};
    scenario.rejectingFrom = start + 15s;
    scenario.rejectedShare = 0.95;
    scenario.end = start + 40s;
    return scenario;
}

double worstShareOf(const RetryScenario &scenario)
{
    return worstShareOfBudget(simulateRetries(scenario), scenario.policy);
}

/** Callers choose some of the VMs, or all alike; sometimes just one. */
std::vector<double> generateWeights(int vms)
{
    std::vector<double> weights(static_cast<std::size_t>(vms));
    for (double &weight : weights)
        weight = *rc::gen::element(0.0, 0.0, 1.0, 1.0, 5.0);
    weights[static_cast<std::size_t>(*rc::gen::inRange(0, vms))] = 1;
    return weights;
}

Instant generateTime(int fromSecond, int toSecond)
{
    return start + std::chrono::milliseconds(*rc::gen::inRange(1000 * fromSecond, 1000 * toSecond));
}

RetryScenario generateScenario()
{
    RetryScenario scenario;
    scenario.vms = *rc::gen::inRange(1, 11);
    scenario.policy.slack = *rc::gen::inRange(4, 60);
    scenario.rejectingFrom = generateTime(10, 16);
    scenario.rejectedShare = 0.01 * *rc::gen::inRange(30, 100);
    scenario.end = start + 36s;
    scenario.longestWait = *rc::gen::element<Duration>(0ms, 0ms, 4200ms);
    scenario.seed = *rc::gen::arbitrary<std::uint32_t>();
    const double callsPerSecond = *rc::gen::inRange(5, 200);
    scenario.phases = {{start, callsPerSecond, generateWeights(scenario.vms)}};
    const int moves = *rc::gen::inRange(0, 4);
    for (int move = 0; move < moves; ++move)
        scenario.phases.push_back(
            {generateTime(4, 30), callsPerSecond, generateWeights(scenario.vms)});
    std::sort(scenario.phases.begin(), scenario.phases.end(),
              [](const CallPhase &a, const CallPhase &b) { return a.from < b.from; });
    const int restarts = *rc::gen::inRange(0, 5);
    for (int restart = 0; restart < restarts; ++restart) {
        VmRestart some;
        some.at = generateTime(8, 30);
        const bool all = *rc::gen::arbitrary<bool>();
        for (int vm = 0; vm < scenario.vms; ++vm)
            some.restarted.push_back(all || *rc::gen::arbitrary<bool>());
        scenario.restarts.push_back(some);
    }
    std::sort(scenario.restarts.begin(), scenario.restarts.end(),
              [](const VmRestart &a, const VmRestart &b) { return a.at < b.at; });
    return scenario;
}

} // namespace

// Guards against retries beyond the budget over all VMs in any window: targets begin to reject
// calls, VMs restart, callers move to other VMs, retries wait before they are sent.
Test(retries, all_vms_together_stay_within_the_budget)
{
    double worst = 0;
    const bool within = rc::check("the budget holds in every window", [&worst] {
        const double share = worstShareOf(generateScenario());
        worst = std::max(worst, share);
        RC_ASSERT(share <= 1);
    });
    std::printf("worst window: %.3f of the budget\n", worst);
    cr_assert(within);
}

// Guards against VMs that restart and spend again what their previous boot has spent.
Test(retries, vms_that_restart_stay_within_the_budget)
{
    RetryScenario scenario = rejectingTargets();
    scenario.restarts = {{start + 16500ms, std::vector<bool>(7, true)}};
    const double share = worstShareOf(scenario);
    std::printf("worst window: %.3f of the budget\n", share);
    cr_assert_leq(share, 1);
}

// Guards against spending twice what the same calls earn when callers move to other VMs.
Test(retries, callers_that_move_stay_within_the_budget)
{
    RetryScenario scenario = rejectingTargets();
    scenario.phases = {{start, 250, {1, 1, 1, 0, 0, 0, 0}},
                       {start + 16500ms, 250, {0, 0, 0, 1, 1, 1, 1}}};
    const double share = worstShareOf(scenario);
    std::printf("worst window: %.3f of the budget\n", share);
    cr_assert_leq(share, 1);
}

// Guards against counting a retry that waits for capacity when it was granted instead of when it is
// sent.
Test(retries, repeats_that_wait_stay_within_the_bound)
{
    cr_assert(rc::check("bound", [] {
        RetryPolicy policy;
        policy.slack = *rc::gen::inRange(4, 30);
        ServiceRetryBudget budget;
        std::multimap<Instant, GrantedRetry> waiting; // by time of sending
        std::deque<Instant> sent;
        Instant now = Instant{} + 100s;
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
            while (!waiting.empty() && waiting.begin()->first <= now) {
                recountRetry(budget, policy, waiting.begin()->second, now);
                waiting.erase(waiting.begin());
                sent.push_back(now);
            }
            const std::optional<GrantedRetry> granted = tryTakeRetry(budget, policy, among(1), now);
            if (granted)
                waiting.emplace(now + std::chrono::milliseconds(*rc::gen::inRange(0, 4200)),
                                *granted);
            while (!sent.empty() && now - sent.front() > policy.window)
                sent.pop_front();
            RC_ASSERT(static_cast<double>(sent.size()) <= policy.slack);
        }
    }));
}

// Guards against counting a retry when it leaves the VM instead of when it arrives: another VM that
// serves it lets it wait for capacity, and a link that falls silent holds it back.
Test(retries, repeats_that_arrive_late_stay_within_the_bound)
{
    cr_assert(rc::check("bound", [] {
        RetryPolicy policy;
        policy.slack = *rc::gen::inRange(4, 30);
        ServiceRetryBudget budget;
        std::multimap<Instant, GrantedRetry> onTheWay; // by time of the answer
        std::multiset<Instant> arriving;
        std::deque<Instant> arrived;
        Instant now = Instant{} + 100s;
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
            while (!arriving.empty() && *arriving.begin() <= now) {
                arrived.push_back(*arriving.begin());
                arriving.erase(arriving.begin());
            }
            while (!onTheWay.empty() && onTheWay.begin()->first <= now) {
                recountRetry(budget, policy, onTheWay.begin()->second, now);
                onTheWay.erase(onTheWay.begin());
            }
            const std::optional<GrantedRetry> granted = tryTakeRetry(budget, policy, among(1), now);
            if (granted) {
                const Instant arrival = now + std::chrono::milliseconds(*rc::gen::inRange(0, 4200));
                arriving.insert(arrival);
                onTheWay.emplace(arrival + std::chrono::milliseconds(*rc::gen::inRange(0, 900)),
                                 *granted);
            }
            while (!arrived.empty() && now - arrived.front() > policy.window)
                arrived.pop_front();
            RC_ASSERT(static_cast<double>(arrived.size()) <= policy.slack);
        }
    }));
}

Test(retries, the_share_is_available_again_after_the_window)
{
    RetryPolicy policy;
    policy.slack = 10;
    ServiceRetryBudget budget;
    Instant now = Instant{} + 100s;
    int taken = 0;
    while (tryTakeRetry(budget, policy, among(1), now))
        ++taken;
    cr_assert_eq(taken, 9);
    cr_assert(!tryTakeRetry(budget, policy, among(1), now + 5s));
    cr_assert(tryTakeRetry(budget, policy, among(1), now + 11s));
}

// Guards against a VM that uses the whole slack while it does not know how many other VMs there
// are.
Test(retries, a_vm_that_does_not_know_the_fleet_size_has_no_slack)
{
    RetryPolicy policy;
    ServiceRetryBudget budget;
    const Instant now = Instant{} + 100s;
    cr_assert(!tryTakeRetry(budget, policy, among(0), now));
    for (int call = 0; call < 100; ++call)
        recordCall(budget, policy, now);
    cr_assert(tryTakeRetry(budget, policy, among(0), now),
              "the ratio of its own calls needs no other VM");
}

// Guards against slack that nobody can use where the share of one VM is below one retry.
Test(retries, the_shares_of_many_vms_sum_up_to_the_used_slack)
{
    RetryPolicy policy;
    policy.slack = 50;
    for (const int vms : {1, 7, 70, 840}) {
        int taken = 0;
        for (int rank = 0; rank < vms; ++rank) {
            ServiceRetryBudget budget;
            SlackSharing sharing = among(vms);
            sharing.rank = rank;
            while (tryTakeRetry(budget, policy, sharing, start))
                ++taken;
        }
        cr_assert_eq(taken, 45, "%d of %d VMs", taken, vms);
    }
}

// Guards against a share of the slack for each start of a VM instead of one for each VM.
Test(retries, a_vm_has_its_share_of_the_slack_a_window_after_its_start)
{
    RetryPolicy policy;
    ServiceRetryBudget budget;
    SlackSharing sharing = among(1);
    sharing.from = slackAvailableFrom(policy, start);
    cr_assert(!tryTakeRetry(budget, policy, sharing, start + policy.window));
    cr_assert(tryTakeRetry(budget, policy, sharing, start + policy.window + 1s));
}

// Guards against a slack that is used up by a VM's own mistakes when targets get into trouble.
Test(retries, a_part_of_the_slack_is_all_that_mistakes_may_use)
{
    RetryPolicy policy;
    policy.slack = 54;
    int taken = 0;
    for (int rank = 0; rank < 7; ++rank) {
        ServiceRetryBudget budget;
        SlackSharing sharing = among(7);
        sharing.rank = rank;
        sharing.part = 0.1;
        while (tryTakeRetry(budget, policy, sharing, start))
            ++taken;
    }
    cr_assert_gt(taken, 0);
    cr_assert_leq(taken, 5);
}

// Guards against calls that wait for a retry which cannot come in their time.
Test(retries, the_time_to_earn_a_retry_follows_from_the_calls)
{
    const RetryPolicy policy;
    ServiceRetryBudget budget;
    cr_assert_not(timeToEarn(budget, policy, 1, 10s, start));
    for (int call = 0; call < 80; ++call)
        recordCall(budget, policy, start + call * 125ms);
    const auto first = timeToEarn(budget, policy, 1, 10s, start + 10s);
    const auto third = timeToEarn(budget, policy, 3, 10s, start + 10s);
    cr_assert(first && third && *first > 500ms && *first < 1s);
    cr_assert_eq(toMillis(*third), toMillis(3 * *first));
}
