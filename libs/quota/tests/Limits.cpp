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

QuotaPolicy testPolicy()
{
    QuotaPolicy policy;
    policy.slack = 110000;
    return policy;
}

/** Scenarios of a workspace in deployments of 7 and 70 VMs. */
std::vector<FleetScenario> scenariosOf(double rate)
{
    std::vector<FleetScenario> scenarios;
    for (const int vms : {7, 70}) {
        FleetScenario scenario;
        scenario.vms = vms;
        scenario.vmsWithCalls = vms;
        scenario.updateAge = vms == 7 ? 100ms : 450ms;
        scenario.limit = limitOf(rate);
        scenario.policy = testPolicy();
        scenarios.push_back(scenario);
    }
    return scenarios;
}

void expectWithinBound(const FleetScenario &scenario)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        FleetScenario seeded = scenario;
        seeded.seed = seed;
        const FleetOutcome outcome = simulateScenario(seeded, Division::BySum);
        cr_expect_leq(outcome.maxOfBound, 1.0, "%d VMs, rate %g: %g of the bound", scenario.vms,
                      scenario.limit.ratePerSecond, outcome.maxOfBound);
    }
}

} // namespace

// Guards against charging a call the wrong units, as when it does not state its tokens.
Test(limits, a_call_counts_its_tokens_or_what_is_configured_or_one)
{
    WorkspaceLimit limit = limitOf(1000);
    cr_assert_eq(costOf(limit, 9190), 9190);
    cr_assert_eq(costOf(limit, std::nullopt), 200);
    limit.unit = QuotaUnit::Calls;
    cr_assert_eq(costOf(limit, 9190), 1);
}

// Guards against usage that expires before its window has passed, or never.
Test(limits, usage_expires_with_its_window)
{
    const QuotaPolicy policy = testPolicy();
    UsageWindow record;
    recordRequested(record, policy, 700, start);
    recordUsage(record, policy, 700, start);
    cr_assert_eq(usageOf(record, policy, start + 7s).unitsInWindow, 700);
    cr_assert_eq(usageOf(record, policy, start + 9s).unitsInWindow, 0);
    cr_assert(isUnused(usageOf(record, policy, start + 100s)));
}

// Guards against counting usage twice on a VM whose clock has run for less than a window.
Test(limits, usage_counts_once_on_a_clock_that_has_just_begun)
{
    const QuotaPolicy policy = testPolicy();
    UsageWindow record;
    recordUsage(record, policy, 700, Instant{} + 1s);
    cr_assert_eq(usageOf(record, policy, Instant{} + 5s).unitsInWindow, 700);
}

// Guards against refunding a call that has not run twice, or in a later window.
Test(limits, calls_that_did_not_run_are_refunded_where_they_counted)
{
    cr_assert(rc::check("given back", [] {
        const QuotaPolicy policy = testPolicy();
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
Test(limits, usual_demand_is_admitted)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (const FleetScenario &scenario : scenariosOf(rate))
            cr_expect_geq(simulateScenario(scenario, Division::BySum).served, 0.97);
    }
}

// Guards against total usage above the limit while a workspace requests a multiple of its usual
// demand, at all VMs or at a few of them.
Test(limits, many_times_the_usual_stays_within_the_limit)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.hot = 7.5;
            expectWithinBound(scenario);
            cr_expect_geq(simulateScenario(scenario, Division::BySum).served, 0.9);
            scenario.vmsWithCalls = std::max(2, scenario.vms / 10);
            expectWithinBound(scenario);
        }
    }
}

// Guards against isolated VMs that each use the whole limit.
Test(limits, isolated_vms_keep_to_their_part)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.hot = 7.5;
            scenario.isolatedVms = scenario.vms / 3;
            expectWithinBound(scenario);
        }
    }
}

// Guards against a partitioned availability zone that uses the whole limit.
Test(limits, a_partitioned_zone_keeps_to_its_part)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.hot = 7.5;
            scenario.partitionedShare = 0.25;
            expectWithinBound(scenario);
        }
    }
}

// Guards against granting a window's units twice: all VMs restart at once in the middle of a window
// and have no record of its usage afterwards.
Test(limits, a_common_restart_grants_nothing_twice)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.hot = 7.5;
            scenario.restarts = {16s};
            expectWithinBound(scenario);
        }
    }
}

// Guards against refusing calls below the limit after a restart of all VMs.
Test(limits, after_a_common_restart_usual_demand_is_let_run_at_once)
{
    for (const double rate : {29000.0, 200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.restarts = {16s};
            cr_expect_geq(simulateScenario(scenario, Division::BySum).served, 0.95,
                          "%d VMs, rate %g", scenario.vms, scenario.limit.ratePerSecond);
        }
    }
}

// Guards against granting a window's units twice when most of it was used just before all VMs
// restart: none of that usage expires for seconds, and no VM has a record of it.
Test(limits, a_common_restart_soon_after_a_burst_grants_nothing_twice)
{
    for (FleetScenario scenario : scenariosOf(887000)) {
        scenario.hot = 7.5;
        scenario.hotFromSecond = 13;
        scenario.restarts = {16s};
        expectWithinBound(scenario);
    }
}

// Guards against large deployments that exceed the bound or refuse calls below the limit: state
// updates are 1.2 s old with 300 VMs and 2.4 s old with 840.
Test(limits, at_300_and_840_vms_the_limit_holds_and_usual_demand_is_let_run)
{
    FleetScenario scenario = scenariosOf(200000).front();
    for (const int vms : {300, 840}) {
        scenario.vms = vms;
        scenario.vmsWithCalls = vms;
        scenario.updateAge = vms == 300 ? 1200ms : 2400ms;
        scenario.hot = 1;
        cr_expect_geq(simulateScenario(scenario, Division::BySum).served, 0.97, "%d VMs", vms);
        scenario.hot = 7.5;
        expectWithinBound(scenario);
    }
}

// Guards against exceeding the bound by single calls of half a window and more.
Test(limits, calls_of_any_size_stay_within_the_limit)
{
    FleetScenario scenario = scenariosOf(29000).front();
    scenario.hot = 6;
    scenario.seed = 34;
    cr_expect_leq(simulateScenario(scenario, Division::BySum).maxOfBound, 1.0);
}

// Guards against usage by a former, higher limit more than a window after it was lowered.
Test(limits, a_lowered_limit_binds_within_a_window)
{
    for (const double rate : {200000.0, 887000.0}) {
        for (FleetScenario scenario : scenariosOf(rate)) {
            scenario.rateFactor = 0.3;
            expectWithinBound(scenario);
        }
    }
}

// Guards against admitting a call that is larger than the limit, or refusing it without a delay.
Test(limits, what_can_never_fit_is_refused)
{
    const WorkspaceLimit limit = limitOf(1000);
    const QuotaPolicy policy = testPolicy();
    UsageWindow record;
    record.carry = 0.99;
    const std::int64_t units = 10'000'000;
    for (int call = 0; call < 20; ++call) {
        recordRequested(record, policy, units, start + call * 1s);
        const QuotaDecision decision =
            admitCall(record, limit, policy, FleetUsage(), units, start + call * 1s);
        cr_assert(!decision.admitted);
        cr_assert(decision.retryAfter > 0s);
    }
}

// Guards against refusing calls of a workspace without a limit.
Test(limits, no_limit_admits_all)
{
    UsageWindow record;
    const QuotaDecision decision =
        admitCall(record, WorkspaceLimit(), testPolicy(), FleetUsage(), 1'000'000'000, start);
    cr_assert(decision.admitted);
}

namespace {

/** Reports the same count for `duration`. */
void countFor(FleetSize &size, const VmCount &count, Duration duration, Instant &now)
{
    const Instant end = now + duration;
    for (; now < end; now += 250ms)
        updateFleetSize(size, count, now);
}

} // namespace

// Guards against a VM that forgets the others during a long partition and uses their part.
Test(limits, unreachable_vms_keep_their_part_while_the_store_does_not_answer)
{
    FleetSize size;
    Instant now = start;
    countFor(size, {70, 70, true}, 10s, now);
    countFor(size, {1, 1, false}, 300s, now);
    cr_assert_eq(size.known, 70);
    countFor(size, {1, 1, true}, 10s, now);
    cr_assert_eq(size.known, 1, "the store answers and the others do not: they are gone");
}

// Guards against refusing calls below the limit: while VMs changed their relay, 99 were counted
// instead of 70, and for a minute they used only 70/99 of the limit.
Test(limits, vms_counted_by_two_relays_for_a_moment_do_not_count)
{
    FleetSize size;
    Instant now = start;
    countFor(size, {70, 70, true}, 10s, now);
    countFor(size, {99, 70, true}, 1500ms, now);
    countFor(size, {70, 70, true}, 10s, now);
    cr_assert_eq(size.known, 70);
    countFor(size, {73, 73, true}, 10s, now);
    cr_assert_eq(size.known, 73, "added VMs count");
}

// Guards against refusing nearly all calls for a minute after a restart of all VMs: a count that
// was too high for a moment, before the first span had ended, was kept.
Test(limits, vms_counted_too_often_at_the_start_are_not_believed)
{
    FleetSize size;
    Instant now = start;
    countFor(size, {889, 70, true}, 1500ms, now);
    countFor(size, {70, 70, true}, 10s, now);
    cr_assert_eq(size.known, 70);
}

// Guards against counting too few VMs while not all are reachable yet after a common start, and
// against counting VMs that are only on the list once reachable ones were counted.
Test(limits, the_vm_list_counts_until_vms_are_reachable)
{
    FleetSize size;
    Instant now = start;
    countFor(size, {1, 200, true}, 1s, now);
    cr_assert_eq(size.known, 200);
    countFor(size, {40, 200, true}, 9s, now);
    cr_assert_eq(size.known, 200, "all start at once, and some are not reachable yet");
    countFor(size, {70, 200, true}, 10s, now);
    cr_assert_eq(size.known, 70, "the other listed VMs are long gone");
    FleetSize cut;
    countFor(cut, {1, 70, false}, 100s, now);
    cr_assert_eq(cut.known, 70);
}

// Guards against sums of reported usage from which a part can no longer be subtracted exactly.
Test(limits, usage_can_be_subtracted_exactly)
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
