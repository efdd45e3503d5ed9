#include <deque>
#include <map>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/ServiceRetryBudget.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

enum class Kind : std::uint8_t { Call, Repeat, Restart };

struct Event
{
    int vm;
    Kind kind;
    int afterMs;
};

std::vector<Event> generateEvents(int vms)
{
    const auto kind =
        rc::gen::weightedElement<Kind>({{9, Kind::Call}, {9, Kind::Repeat}, {1, Kind::Restart}});
    const auto one =
        rc::gen::construct<Event>(rc::gen::inRange(0, vms), kind, rc::gen::inRange(0, 120));
    return *rc::gen::resize(400, rc::gen::container<std::vector<Event>>(one));
}

/** One VM's share of a service's budget. */
struct Vm
{
    ServiceRetryBudget budget;
    SlackSharing sharing;
    Instant knowsOthersAt{};
};

SlackSharing among(int vms)
{
    SlackSharing sharing;
    sharing.vms = vms;
    return sharing;
}

} // namespace

// The budget over all VMs, checked in every window that ends with a retry: retries are at most the
// ratio of the calls in that window, or in the one before, plus the slack. VMs restart meanwhile,
// together or separately, and learn only afterwards how many there are.
Test(retries, all_vms_together_stay_within_the_bound)
{
    cr_assert(rc::check("bound", [] {
        const int vms = *rc::gen::inRange(1, 5);
        RetryPolicy policy;
        policy.slack = *rc::gen::inRange(4, 30);
        std::vector<Vm> all(static_cast<std::size_t>(vms));
        for (Vm &vm : all)
            vm.sharing = among(vms);
        std::deque<Instant> calls;
        std::deque<Instant> retries;
        Instant now = Instant{} + 100s;
        for (const Event &event : generateEvents(vms)) {
            now += std::chrono::milliseconds(event.afterMs);
            Vm &vm = all[static_cast<std::size_t>(event.vm)];
            if (event.kind == Kind::Restart) {
                vm = Vm();
                vm.sharing.from = slackAvailableFrom(policy, now);
                vm.knowsOthersAt = now + 300ms;
                continue;
            }
            if (now >= vm.knowsOthersAt)
                vm.sharing.vms = vms;
            if (event.kind == Kind::Call) {
                recordCall(vm.budget, policy, now);
                calls.push_back(now);
                continue;
            }
            if (!tryTakeRetry(vm.budget, policy, vm.sharing, now))
                continue;
            retries.push_back(now);
            while (!retries.empty() && now - retries.front() > policy.window)
                retries.pop_front();
            while (!calls.empty() && now - calls.front() > 2 * policy.window)
                calls.pop_front();
            const double allowed = policy.ratio * static_cast<double>(calls.size()) + policy.slack;
            RC_ASSERT(static_cast<double>(retries.size()) <= allowed);
        }
    }));
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

// Guards against a share of the slack for each start of a VM instead of one for each VM.
Test(retries, a_vm_has_its_share_of_the_slack_a_window_after_its_start)
{
    RetryPolicy policy;
    ServiceRetryBudget budget;
    const Instant start = Instant{} + 100s;
    SlackSharing sharing = among(1);
    sharing.from = slackAvailableFrom(policy, start);
    cr_assert(!tryTakeRetry(budget, policy, sharing, start + policy.window));
    cr_assert(tryTakeRetry(budget, policy, sharing, start + policy.window + 1s));
}
