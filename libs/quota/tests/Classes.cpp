#include <numeric>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "FleetModel.h"
#include "quota/ClassShares.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = Instant{} + 1000s;

/** Long prompts of two ranks, urgent short ones and bookings. */
std::vector<CallsOfKind> archiveKinds()
{
    return {{115, 9190, 1}, {27.7, 9190, 2}, {134, 826, 0}, {141.6, 200, 2}};
}

/** Scenarios in which a workspace requests `times` its limit from 12 s to 24 s. */
std::vector<FleetScenario> scenariosOf(double times)
{
    std::vector<FleetScenario> scenarios;
    for (const int vms : {7, 70, 300}) {
        for (const double rate : {200000.0, 887000.0}) {
            FleetScenario scenario;
            scenario.vms = vms;
            scenario.vmsWithCalls = vms;
            scenario.updateAge = vms == 7 ? 100ms : 450ms;
            scenario.limit.unit = QuotaUnit::Tokens;
            scenario.limit.ratePerSecond = rate;
            scenario.limit.burst = rate;
            scenario.policy.slack = 110000;
            scenario.hot = times / scenario.usualDemand;
            scenario.kinds = archiveKinds();
            scenarios.push_back(scenario);
        }
    }
    return scenarios;
}

FleetOutcome runBounded(const FleetScenario &scenario)
{
    FleetOutcome outcome = simulateScenario(scenario, Division::BySum);
    for (const double served : outcome.servedByClass)
        cr_expect_geq(served, 0.25 * outcome.servedCalls, "%d VMs, rate %g: %g of %g", scenario.vms,
                      scenario.limit.ratePerSecond, served, outcome.servedCalls);
    cr_expect_leq(outcome.maxOfBound, 1.0, "%d VMs, rate %g: %g of the bound", scenario.vms,
                  scenario.limit.ratePerSecond, outcome.maxOfBound);
    return outcome;
}

/** The scenario with a restart of all VMs, with a partitioned zone, and with isolated VMs. */
std::vector<FleetScenario> withFaults(const FleetScenario &scenario)
{
    std::vector<FleetScenario> scenarios(3, scenario);
    scenarios[0].restarts = {std::chrono::seconds(16)};
    scenarios[1].partitionedShare = 0.25;
    scenarios[2].isolatedVms = scenario.vms / 3;
    return scenarios;
}

/** Sum of `amounts` over the classes, weighted by their shares. */
double sumBy(const std::array<double, callClassCount> &amounts, const ClassShares &shares)
{
    return std::inner_product(amounts.begin(), amounts.end(), shares.begin(), 0.0);
}

} // namespace

// Guards against classes that together get more or fewer units than an even share admits, and
// against a class that is served less than a quarter as often as all calls.
Test(classes, all_together_get_what_they_would_get_evenly)
{
    cr_assert(rc::check("sum", [] {
        ClassDemand demand;
        for (std::size_t index = 0; index < callClassCount; ++index) {
            demand.units[index] = *rc::gen::inRange(0, 100000);
            demand.calls[index] = *rc::gen::inRange(0, 1000);
        }
        const double even = *rc::gen::inRange(0, 1001) / 1000.0;
        const ClassShares shares = classSharesOf(demand, even);
        const double units = sumBy(demand.units, {even, even, even, even});
        RC_ASSERT(std::abs(sumBy(demand.units, shares) - units) <= 1e-9 * units);
        const double quarter = sumBy(demand.calls, shares) / 4;
        for (std::size_t index = 0; index < callClassCount; ++index) {
            RC_ASSERT(shares[index] >= even / 2 && shares[index] <= 1);
            RC_ASSERT(demand.units[index] == 0
                      || shares[index] * sumBy(demand.calls, {1, 1, 1, 1}) >= quarter);
        }
    }));
}

// Guards against shares that do not go to the first classes first, above the minimum of all.
Test(classes, the_first_classes_go_first)
{
    const ClassDemand demand{{100, 100, 400, 400}, {10, 10, 40, 40}};
    const ClassShares shares = classSharesOf(demand, 0.5);
    cr_assert_float_eq(shares[0], 1, 1e-9);
    cr_assert_float_eq(shares[1], 1, 1e-9);
    cr_assert_float_eq(shares[2], 0.25 + 0.25, 1e-9,
                       "of 500 units, 250 are the minimum of all classes and 150 go to the first "
                       "two; 100 are left for 400");
}

// Guards against a wrong class by units or rank, as for the first call or ranks out of range.
Test(classes, small_calls_are_defined_by_the_mean_of_all_vms)
{
    WorkspaceUse use;
    cr_assert(classOf(use, 200, 1) == CallClass::Rank1, "the first call is the mean itself");
    use.requestedInWindow = 100 * 3200;
    use.callsInWindowByClass = {40, 0, 30, 30};
    cr_assert(classOf(use, 200, 1) == CallClass::Small);
    cr_assert(classOf(use, 826, 0) == CallClass::Rank0);
    cr_assert(classOf(use, 9190, 7) == CallClass::Rank2);
    cr_assert(classOf(use, 9190, -1) == CallClass::Rank0);
}

// Guards against refusing a booking of 200 tokens as often as a prompt of 9,190, against classes
// that starve later ones, and against classes that raise usage above the bound: VMs of an earlier
// version report no classes, and bursts, partitions and restarts change the demand before all VMs
// have received the updates.
Test(classes, at_twice_the_limit_small_and_urgent_calls_run)
{
    for (const FleetScenario &scenario : scenariosOf(2)) {
        const FleetOutcome outcome = runBounded(scenario);
        cr_expect_geq(outcome.servedByClass[indexOf(CallClass::Small)], 0.95);
        cr_expect_geq(outcome.servedByClass[indexOf(CallClass::Rank0)], 0.9);
        std::vector<FleetScenario> others = withFaults(scenario);
        others.resize(5, scenario);
        others[3].vmsWithoutClasses = scenario.vms / 2;
        others[4].burstOf = 2;
        others[4].burst = 2.5;
        for (const FleetScenario &other : others)
            runBounded(other);
    }
}

// Guards against starving later classes at six times the limit, which does not even serve all calls
// of the first classes.
Test(classes, at_six_times_the_limit_no_class_starves)
{
    for (FleetScenario scenario : scenariosOf(6)) {
        const FleetOutcome outcome = runBounded(scenario);
        cr_expect_gt(outcome.servedByClass[indexOf(CallClass::Small)], 0.7);
        cr_expect_gt(outcome.servedByClass[indexOf(CallClass::Rank0)],
                     1.5 * outcome.servedByClass[indexOf(CallClass::Rank1)]);
        for (const FleetScenario &other : withFaults(scenario))
            runBounded(other);
        scenario.oneClass = true;
        const double blind = simulateScenario(scenario, Division::BySum).maxOfBound;
        cr_expect_leq(outcome.maxOfBound, std::max(blind, 0.95), "no more than without classes");
    }
}

// Guards against accumulators of several classes that admit more calls than a single one.
Test(classes, calls_of_one_class_are_decided_alike_whichever_it_is)
{
    cr_assert(rc::check("alike", [] {
        WorkspaceLimit limit;
        limit.ratePerSecond = 1000;
        limit.burst = 1000;
        const QuotaPolicy policy;
        UsageWindow one;
        UsageWindow other;
        one.carry = other.carry = *rc::gen::inRange(0, 1000) / 1000.0;
        const auto callClass = static_cast<CallClass>(*rc::gen::inRange(0, 4));
        Instant now = start;
        for (int call = 0; call < 100; ++call) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            const auto units = static_cast<std::int64_t>(*rc::gen::inRange(1, 300));
            const auto admits = [&](UsageWindow &record, CallClass taken) {
                recordRequested(record, policy, units, now, taken);
                FleetUsage fleet;
                fleet.usage = usageOf(record, policy, now);
                const bool admitted =
                    admitCall(record, limit, policy, fleet, units, now, taken).admitted;
                if (admitted)
                    recordUsage(record, policy, units, now);
                return admitted;
            };
            RC_ASSERT(admits(one, CallClass::Rank2) == admits(other, callClass));
        }
    }));
}
