#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "FleetModel.h"
#include "quota/FleetSize.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = Instant{} + 1000s;

WorkspaceLimit limitOf(double rate)
{
    WorkspaceLimit limit;
    limit.unit = QuotaUnit::Tokens;
    limit.ratePerSecond = rate;
    limit.burst = rate;
    limit.defaultTokens = 200;
    return limit;
}

QuotaPolicy policyOfDays()
{
    QuotaPolicy policy;
    policy.slack = 110000;
    return policy;
}

/** Scenarios of a workspace in deployments of 7 and 70 VMs. */
std::vector<FleetScenario> daysOf(double rate)
{
    std::vector<FleetScenario> days;
    for (const int vms : {7, 70}) {
        FleetScenario day;
        day.vms = vms;
        day.callersAt = vms;
        day.updateAge = vms == 7 ? 100ms : 450ms;
        day.limit = limitOf(rate);
        day.policy = policyOfDays();
        days.push_back(day);
    }
    return days;
}

void mostStaysWithin(const FleetScenario &day)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetScenario played = day;
        played.seed = seed;
        const FleetOutcome outcome = simulateDay(played, Division::BySum);
        cr_expect_leq(outcome.mostOfBound, 1.0, "%d VMs, rate %g: %g of the bound", day.vms,
                      day.limit.ratePerSecond, outcome.mostOfBound);
    }
}

} // namespace

Test(limits, a_call_counts_its_tokens_or_what_is_configured_or_one)
{
    WorkspaceLimit limit = limitOf(1000);
    cr_assert_eq(costOf(limit, 9190), 9190);
    cr_assert_eq(costOf(limit, std::nullopt), 200);
    limit.unit = QuotaUnit::Calls;
    cr_assert_eq(costOf(limit, 9190), 1);
}

Test(limits, what_was_used_leaves_with_its_window)
{
    const QuotaPolicy policy = policyOfDays();
    UsageWindow record;
    recordRequested(record, policy, 700, start);
    recordUsage(record, policy, 700, start);
    cr_assert_eq(usageOf(record, policy, start + 7s).unitsInWindow, 700);
    cr_assert_eq(usageOf(record, policy, start + 9s).unitsInWindow, 0);
    cr_assert(isUnused(usageOf(record, policy, start + 100s)));
}

// Guards against counting usage twice on a VM whose clock has run for less than a window.
Test(limits, use_counts_once_on_a_clock_that_has_just_begun)
{
    const QuotaPolicy policy = policyOfDays();
    UsageWindow record;
    recordUsage(record, policy, 700, Instant{} + 1s);
    cr_assert_eq(usageOf(record, policy, Instant{} + 5s).unitsInWindow, 700);
}

// Guards against refunding a call that has not run twice, or in a later window.
Test(limits, what_has_not_run_is_given_back_where_it_was_taken)
{
    cr_assert(rc::check("given back", [] {
        const QuotaPolicy policy = policyOfDays();
        UsageWindow record;
        const auto units = static_cast<std::int64_t>(*rc::gen::inRange(1, 100000));
        const auto after = std::chrono::milliseconds(*rc::gen::inRange(0, 20000));
        const Instant now = start + after;
        recordUsage(record, policy, units, start);
        recordUsage(record, policy, 5, now);
        giveBack(record, policy, units, start, now);
        RC_ASSERT(usageOf(record, policy, now).unitsInWindow == 5);
    }));
}

// Guards against refusing calls of a workspace whose demand is below its limit.
Test(limits, usual_demand_is_let_run)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (const FleetScenario &day : daysOf(rate))
            cr_expect_geq(simulateDay(day, Division::BySum).served, 0.97);
    }
}

// Guards against total usage above the limit while a workspace requests a multiple of its usual
// demand, at all VMs or at a few of them.
Test(limits, many_times_the_usual_stays_within_the_limit)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.hot = 7.5;
            mostStaysWithin(day);
            cr_expect_geq(simulateDay(day, Division::BySum).served, 0.9);
            day.callersAt = std::max(2, day.vms / 10);
            mostStaysWithin(day);
        }
    }
}

// Guards against isolated VMs that each use the whole limit.
Test(limits, vms_that_hear_nobody_keep_to_their_part)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.hot = 7.5;
            day.cutAlone = day.vms / 3;
            mostStaysWithin(day);
        }
    }
}

// Guards against a partitioned availability zone that uses the whole limit.
Test(limits, a_zone_that_is_cut_off_keeps_to_its_part)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.hot = 7.5;
            day.cutTogether = 0.25;
            mostStaysWithin(day);
        }
    }
}

// Guards against granting a window's units twice: all VMs restart at once in the middle of a window
// and have no record of its usage afterwards.
Test(limits, a_common_restart_gives_nothing_twice)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.hot = 7.5;
            day.restarts = {16s};
            mostStaysWithin(day);
        }
    }
}

// Guards against refusing calls below the limit after a restart of all VMs.
Test(limits, after_a_common_restart_usual_demand_is_let_run_at_once)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.restarts = {16s};
            cr_expect_geq(simulateDay(day, Division::BySum).served, 0.95, "%d VMs, rate %g",
                          day.vms, day.limit.ratePerSecond);
        }
    }
}

// Guards against granting a window's units twice when most of it was used just before all VMs
// restart: none of that usage expires for seconds, and no VM has a record of it.
Test(limits, a_common_restart_soon_after_a_burst_gives_nothing_twice)
{
    for (FleetScenario day : daysOf(887000)) {
        day.hot = 7.5;
        day.hotFrom = 13;
        day.restarts = {16s};
        mostStaysWithin(day);
    }
}

// Guards against large deployments that exceed the bound or refuse calls below the limit: state
// updates are 1.2 s old with 300 VMs and 2.4 s old with 840.
Test(limits, at_300_and_840_vms_the_limit_holds_and_usual_demand_is_let_run)
{
    FleetScenario day = daysOf(200000).front();
    for (const int vms : {300, 840}) {
        day.vms = vms;
        day.callersAt = vms;
        day.updateAge = vms == 300 ? 1200ms : 2400ms;
        day.hot = 1;
        cr_expect_geq(simulateDay(day, Division::BySum).served, 0.97, "%d VMs", vms);
        day.hot = 7.5;
        mostStaysWithin(day);
    }
}

// Guards against exceeding the bound by single calls of half a window and more.
Test(limits, calls_of_any_size_stay_within_the_limit)
{
    FleetScenario day = daysOf(29000).front();
    day.hot = 6;
    day.seed = 34;
    cr_expect_leq(simulateDay(day, Division::BySum).mostOfBound, 1.0);
}

Test(limits, a_lowered_limit_binds_within_a_window)
{
    for (const double rate : {200000.0, 887000.0}) {
        for (FleetScenario day : daysOf(rate)) {
            day.lowered = 0.3;
            mostStaysWithin(day);
        }
    }
}

Test(limits, what_can_never_fit_is_refused)
{
    const WorkspaceLimit limit = limitOf(1000);
    const QuotaPolicy policy = policyOfDays();
    UsageWindow record;
    record.carry = 0.99;
    const std::int64_t units = 10'000'000;
    for (int call = 0; call < 20; ++call) {
        recordRequested(record, policy, units, start + call * 1s);
        const QuotaDecision verdict =
            admitCall(record, limit, policy, FleetUsage(), units, start + call * 1s);
        cr_assert(!verdict.admitted);
        cr_assert(verdict.retryAfter > 0s);
    }
}

Test(limits, no_limit_admits_all)
{
    UsageWindow record;
    const QuotaDecision verdict =
        admitCall(record, WorkspaceLimit(), policyOfDays(), FleetUsage(), 1'000'000'000, start);
    cr_assert(verdict.admitted);
}

namespace {

/** Reports the same count for `duration`. */
void noteFor(FleetSize &size, const VmCount &count, Duration duration, Instant &now)
{
    const Instant end = now + duration;
    for (; now < end; now += 250ms)
        updateFleetSize(size, count, now);
}

} // namespace

// Guards against a VM that forgets the others during a long partition and uses their part.
Test(limits, silent_vms_keep_their_part_while_the_store_is_not_heard)
{
    FleetSize size;
    Instant now = start;
    noteFor(size, {70, 70, true}, 10s, now);
    noteFor(size, {1, 1, false}, 300s, now);
    cr_assert_eq(size.known, 70);
    noteFor(size, {1, 1, true}, 10s, now);
    cr_assert_eq(size.known, 1, "the store answers and the others do not: they are gone");
}

// Guards against refusing calls below the limit: while VMs changed their relay, 99 were counted
// instead of 70, and for a minute they used only 70/99 of the limit.
Test(limits, vms_that_two_relays_count_for_a_moment_are_not_believed)
{
    FleetSize size;
    Instant now = start;
    noteFor(size, {70, 70, true}, 10s, now);
    noteFor(size, {99, 70, true}, 1500ms, now);
    noteFor(size, {70, 70, true}, 10s, now);
    cr_assert_eq(size.known, 70);
    noteFor(size, {73, 73, true}, 10s, now);
    cr_assert_eq(size.known, 73, "added VMs count");
}

// Guards against refusing nearly all calls for a minute after a restart of all VMs: a count that
// was too high for a moment, before the first span had ended, was kept.
Test(limits, vms_counted_too_often_at_the_start_are_not_believed)
{
    FleetSize size;
    Instant now = start;
    noteFor(size, {889, 70, true}, 1500ms, now);
    noteFor(size, {70, 70, true}, 10s, now);
    cr_assert_eq(size.known, 70);
}

Test(limits, the_list_counts_until_the_first_ones_are_heard)
{
    FleetSize size;
    Instant now = start;
    noteFor(size, {1, 200, true}, 1s, now);
    cr_assert_eq(size.known, 200);
    noteFor(size, {40, 200, true}, 9s, now);
    cr_assert_eq(size.known, 200, "all start at once, and some are not reachable yet");
    noteFor(size, {70, 200, true}, 10s, now);
    cr_assert_eq(size.known, 70, "the other listed VMs are long gone");
    FleetSize cut;
    noteFor(cut, {1, 70, false}, 100s, now);
    cr_assert_eq(cut.known, 70);
}

// Guards against sums of reported usage from which a part can no longer be subtracted exactly.
Test(limits, sums_of_uses_come_apart_exactly)
{
    cr_assert(rc::check("sums", [] {
        const auto units = rc::gen::inRange<std::int64_t>(0, 1'000'000'000);
        WorkspaceUses first;
        WorkspaceUses second;
        for (const char *name : {"a", "b", "c"}) {
            first[name] = {*units, *units};
            second[name] = {*units, *units};
        }
        WorkspaceUses sum;
        addUsages(sum, first);
        addUsages(sum, second);
        subtractUsages(sum, first);
        std::erase_if(second, [](const auto &entry) { return isUnused(entry.second); });
        std::erase_if(sum, [](const auto &entry) { return isUnused(entry.second); });
        RC_ASSERT(sum == second);
    }));
}
