#include <list>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/AdapterScheduler.h"
#include "serving/ServiceSpec.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr int slotCount = 3;
const Instant start = Instant{} + 1000s;

/**
 * An engine as described by the platform: it counts accepted commands and checks the expected count
 * of each.
 */
struct FakeEngine
{
    std::int64_t sequence = 0;
    std::map<std::string, std::int64_t> held;

    /** True if the command was accepted. */
    bool command(bool load, const std::string &adapter, std::int64_t version, std::int64_t expected)
    {
        if (expected != this->sequence)
            return false;
        if (!load && this->held.count(adapter) == 0)
            return true; // already done, and not counted
        if (load)
            this->held[adapter] = version;
        else
            this->held.erase(adapter);
        ++this->sequence;
        return true;
    }
};

struct LateCommand
{
    bool load;
    std::string adapter;
    std::int64_t version;
    std::int64_t expected;
};

EngineReport reportOf(const FakeEngine &engine)
{
    EngineReport report;
    report.sequence = engine.sequence;
    for (const auto &[adapter, version] : engine.held)
        report.resident[adapter] = version;
    return report;
}

/**
 * One step for `adapter`. A command whose answer is lost is executed now, or kept to be executed
 * later.
 */
void step(AdapterScheduler &scheduler, FakeEngine &engine, std::vector<LateCommand> &late,
          const std::string &adapter, Instant now, bool answerLost, bool carriedOutLate)
{
    if (scheduler.sequence < 0) {
        applyEngineReport(scheduler, reportOf(engine), now);
        return;
    }
    completeDueLoads(scheduler, now);
    const SchedulerDecision choice = nextCommand(scheduler, adapter, 0, now);
    const bool load = choice.step == SchedulerStep::Load;
    if (!load && choice.step != SchedulerStep::Unload)
        return;
    const std::string affected = load ? adapter : choice.victim;
    if (answerLost) {
        if (carriedOutLate)
            late.push_back({load, affected, 0, scheduler.sequence});
        else
            engine.command(load, affected, 0, scheduler.sequence);
        invalidateSequence(scheduler);
        return;
    }
    const std::int64_t before = engine.sequence;
    if (!engine.command(load, affected, 0, scheduler.sequence)) {
        invalidateSequence(scheduler);
        return;
    }
    if (load)
        recordLoadAccepted(scheduler, affected, 0, {10ms}, now);
    else
        recordUnloaded(scheduler, affected);
    if (engine.sequence != before)
        advanceSequence(scheduler, now);
}

AdapterScheduler freshScheduler()
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = slotCount;
    return scheduler;
}

} // namespace

// An engine that is commanded to hold more adapters than it has slots for crashes. Commands lose
// their answers and are executed after newer ones; in any order of events the slots are respected.
Test(orders, lost_and_late_orders_never_overfill_an_engine)
{
    cr_assert(rc::check("slots", [] {
        AdapterScheduler scheduler = freshScheduler();
        FakeEngine engine;
        std::vector<LateCommand> late;
        Instant now = start;
        const auto steps = *rc::gen::resize(
            200,
            rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 8), rc::gen::inRange(0, 6), rc::gen::inRange(1, 700))));
        for (const auto &[adapter, fate, afterMs] : steps) {
            now += std::chrono::milliseconds(afterMs);
            if (fate == 5 && !late.empty()) {
                const LateCommand command = late.back();
                late.pop_back();
                engine.command(command.load, command.adapter, command.version, command.expected);
            }
            step(scheduler, engine, late, "m/a" + std::to_string(adapter), now,
                 fate == 1 || fate == 2, fate == 2);
            RC_ASSERT(engine.held.size() <= static_cast<std::size_t>(slotCount));
        }
    }));
}

// Guards against an engine that gets no commands (seen for 40 s). An unload of an adapter that is
// not there is answered "done" without being counted, so the scheduler's count is one too high and
// every report looks outdated; reports were only applied if their count was high enough.
Test(orders, a_command_count_that_is_too_high_is_corrected)
{
    AdapterScheduler scheduler = freshScheduler();
    applyEngineReport(scheduler, reportOf(FakeEngine{}), start);
    advanceSequence(scheduler, start);
    advanceSequence(scheduler, start);
    invalidateSequence(scheduler);
    FakeEngine engine;
    engine.sequence = 1;
    cr_assert(!applyEngineReport(scheduler, reportOf(engine), start + 100ms),
              "the report may be outdated");
    cr_assert(applyEngineReport(scheduler, reportOf(engine), start + 700ms),
              "the report can no longer be outdated");
    cr_assert_eq(scheduler.sequence, 1);
}

// Guards against an engine that refuses all commands for seconds: told to replace an adapter
// version that a long answer still uses, it accepts no other command until that answer ends. A
// version in use therefore stays until it is idle.
Test(orders, an_older_version_in_use_is_not_replaced)
{
    AdapterScheduler scheduler = freshScheduler();
    recordLoadAccepted(scheduler, "m/a", 1, {10ms}, start);
    completeDueLoads(scheduler, start + 20ms);
    updateRuns(scheduler, {{"m/a", 1}}, start + 1s);
    cr_assert(nextCommand(scheduler, "m/a", 2, start + 1s).step == SchedulerStep::NoSlot);
    updateRuns(scheduler, {}, start + 2s);
    const SchedulerDecision idle = nextCommand(scheduler, "m/a", 2, start + 2s);
    cr_assert(idle.step == SchedulerStep::Unload);
    cr_assert_eq(idle.victim, "m/a");
}

Test(orders, the_least_recently_used_slot_is_freed)
{
    AdapterScheduler scheduler = freshScheduler();
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        recordLoadAccepted(scheduler, adapter, 1, {10ms}, start);
    completeDueLoads(scheduler, start + 20ms);
    updateRuns(scheduler, {{"m/a", 1}}, start + 1s);
    updateRuns(scheduler, {{"m/c", 1}}, start + 2s);
    const SchedulerDecision choice = nextCommand(scheduler, "m/d", 0, start + 5s);
    cr_assert(choice.step == SchedulerStep::Unload);
    cr_assert_eq(choice.victim, "m/b");
}

Test(orders, all_slots_in_use_is_reported)
{
    AdapterScheduler scheduler = freshScheduler();
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        recordLoadAccepted(scheduler, adapter, 1, {10ms}, start);
    completeDueLoads(scheduler, start + 20ms);
    updateRuns(scheduler, {{"m/a", 1}, {"m/b", 2}, {"m/c", 1}}, start + 1s);
    cr_assert(nextCommand(scheduler, "m/d", 0, start + 1s).step == SchedulerStep::NoSlot);
}

Test(orders, recently_unloaded_adapters_load_fast)
{
    AdapterScheduler scheduler = freshScheduler();
    LoadEstimator estimator;
    const LoadEstimate first = estimateLoad(scheduler, "m/a", 0, estimator);
    cr_assert(first.fetched);
    recordLoadAccepted(scheduler, "m/a", 1, first, start);
    recordUnloaded(scheduler, "m/a");
    const LoadEstimate again = estimateLoad(scheduler, "m/a", 0, estimator);
    cr_assert(!again.fetched);
    cr_assert_lt(again.time.count(), first.time.count() / 5);
}

Test(orders, memory_limits_the_adapters_too)
{
    EngineSpec engine;
    engine.adapterSlots = 9;
    engine.weightsMb = 44200;
    ModelSpec model;
    model.weightsMb = 42700;
    model.adapterMb = 66;
    cr_assert_eq(adapterCapacity(engine, model), 9);
    engine.weightsMb = 43000;
    cr_assert_eq(adapterCapacity(engine, model), 4);
}

// Guards against calls that are refused again and again because loads take longer than expected.
// Each such refusal raises the estimate, and a load that is usually done in time is checked again
// soon without a report, as a report would be older than the refusal.
Test(orders, early_calls_lengthen_the_load_estimate)
{
    AdapterScheduler scheduler = freshScheduler();
    scheduler.sequence = 1;
    LoadEstimator estimator;
    for (int load = 0; load < 10; ++load)
        recordLoadOnTime(estimator.times, 8, 200ms);
    const LoadEstimate estimate = estimateLoad(scheduler, "m/a", 7, estimator);
    recordLoadAccepted(scheduler, "m/a", 1, estimate, start);
    const Instant due = start + estimate.time;
    cr_assert(completeDueLoads(scheduler, due));
    recordMissing(scheduler, "m/a", estimator, due + 5ms);
    cr_assert(scheduler.slots.at("m/a").loading);
    cr_assert_lt((scheduler.slots.at("m/a").readyAt - due).count(), (estimate.time / 4).count());
    cr_assert(estimateLoad(scheduler, "m/b", 7, estimator).time > estimate.time);
    cr_assert_geq(scheduler.sequence, 0);
    // Long after a call has used the adapter, a refusal means that the known state of the slots is
    // wrong.
    completeDueLoads(scheduler, due + 1s);
    probeCallDelay(scheduler, "m/a", estimator.times, due + 1s);
    learnFromLoads(scheduler, estimator, due + 1500ms);
    recordMissing(scheduler, "m/a", estimator, due + 2s);
    cr_assert_lt(scheduler.sequence, 0);
}

// Guards against a pause of 60 ms after each refused load command, which hit a tenth of the
// commands to heavily loaded engines. With four loads running, one of them is assumed done slightly
// too early, and a fifth is sent and refused; the refusal was taken for a wrong command count.
Test(orders, a_refused_fifth_load_means_that_one_is_not_done)
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = 9;
    scheduler.sequence = 4;
    LoadEstimator estimator;
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        recordLoadAccepted(scheduler, adapter, 1, {400ms, 1, true}, start);
    recordLoadAccepted(scheduler, "m/d", 1, {200ms, 1, true}, start);
    completeDueLoads(scheduler, start + 200ms);
    cr_assert(nextCommand(scheduler, "m/e", 1, start + 201ms).step == SchedulerStep::Load);
    cr_assert(recordBusyRefusal(scheduler, estimator, start + 205ms));
    cr_assert(nextCommand(scheduler, "m/e", 1, start + 206ms).step == SchedulerStep::Wait);
    cr_assert_gt(scheduler.slots.at("m/d").readyAt.time_since_epoch().count(),
                 (start + 206ms).time_since_epoch().count());
    cr_assert_eq(scheduler.sequence, 4);
    // With fewer loads running, the refusal has another cause.
    completeDueLoads(scheduler, start + 1s);
    learnFromLoads(scheduler, estimator, start + 2s);
    cr_assert(!recordBusyRefusal(scheduler, estimator, start + 2s));
}

// Guards against needless fetches from the weight store: with a constant for the copies that
// engines keep in host memory, calls were sent to engines that had dropped the copy and away from
// those that had it.
Test(orders, the_number_of_host_copies_is_learnt)
{
    for (const int keptCopies : {20, 108, 400}) {
        AdapterScheduler scheduler;
        scheduler.adapterSlots = 1;
        LoadEstimator estimator;
        std::list<std::string> memory; // host memory of the engine, newest first
        Instant now = start;
        int early = 0;
        for (int load = 0; load < 4000; ++load) {
            const std::string adapter = "m/" + std::to_string((load * load + load / 3) % 997);
            if (scheduler.slots.count(adapter) > 0)
                continue;
            if (!scheduler.slots.empty())
                recordUnloaded(scheduler, scheduler.slots.begin()->first);
            const LoadEstimate estimate = estimateLoad(scheduler, adapter, 0, estimator);
            recordLoadAccepted(scheduler, adapter, 1, estimate, now);
            now += estimate.time;
            completeDueLoads(scheduler, now);
            probeCallDelay(scheduler, adapter, estimator.times, now);
            const auto copy = std::find(memory.begin(), memory.end(), adapter);
            const bool hasCopy = copy != memory.end();
            if (hasCopy)
                memory.erase(copy);
            if (!hasCopy && !estimate.fetched) {
                recordMissing(scheduler, adapter, estimator, now);
                now = scheduler.slots.at(adapter).readyAt;
                completeDueLoads(scheduler, now);
                recordMissing(scheduler, adapter, estimator, now);
                early += load >= 1000 ? 1 : 0;
                now += 400ms;
                completeDueLoads(scheduler, now);
                probeCallDelay(scheduler, adapter, estimator.times, now);
            }
            memory.push_front(adapter);
            if (static_cast<int>(memory.size()) > keptCopies)
                memory.pop_back();
            now += 200ms;
            learnFromLoads(scheduler, estimator, now);
        }
        cr_assert_geq(estimator.memory.retainedLoads, 0.5 * keptCopies, "%d kept: %f", keptCopies,
                      estimator.memory.retainedLoads);
        cr_assert_leq(estimator.memory.retainedLoads, 1.6 * keptCopies, "%d kept: %f", keptCopies,
                      estimator.memory.retainedLoads);
        cr_assert_lt(early, 150, "%d kept: %d early", keptCopies, early);
    }
}

// Guards against commands refused for their count, and calls refused for missing adapters, after an
// engine restarts under the same id and counts from zero. The count and slots of the former start
// were kept, and the lower count was taken for an outdated report; a report of the former start may
// still arrive.
Test(orders, a_restarted_engine_holds_and_counts_nothing)
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = slotCount;
    EngineReport former;
    former.startTime = 1000;
    former.sequence = 7;
    former.resident = {{"m/a1", 1}, {"m/a2", 1}};
    cr_assert(applyEngineReport(scheduler, former, start));
    advanceSequence(scheduler, start);
    EngineReport restarted;
    restarted.startTime = 5000;
    cr_assert(applyEngineReport(scheduler, restarted, start + 50ms));
    cr_assert_eq(scheduler.sequence, 0);
    cr_assert(scheduler.slots.empty());
    cr_assert_lt(loadsSinceTouch(scheduler.copies, "m/a1"), 0);
    cr_assert_eq(scheduler.adapterSlots, slotCount);
    former.sequence = 9;
    cr_assert(!applyEngineReport(scheduler, former, start + 5s));
    cr_assert_eq(scheduler.sequence, 0);
}

// Guards against calls of several VMs that wait for the same load and are all let through at once:
// when the load took longer than expected, five calls were refused within 10 ms, each at the cost
// of a retry.
Test(orders, one_call_probes_while_load_times_are_uncertain)
{
    AdapterScheduler scheduler = freshScheduler();
    LoadEstimator estimator;
    recordLoadAccepted(scheduler, "m/a", 1, {200ms, 1, true}, start);
    const Instant due = start + 200ms;
    completeDueLoads(scheduler, due);
    cr_assert(probeCallDelay(scheduler, "m/a", estimator.times, due + 1ms) == Duration::zero());
    cr_assert(probeCallDelay(scheduler, "m/a", estimator.times, due + 2ms) > Duration::zero());
    recordMissing(scheduler, "m/a", estimator, due + 6ms);
    const Instant again = scheduler.slots.at("m/a").readyAt;
    completeDueLoads(scheduler, again);
    cr_assert(probeCallDelay(scheduler, "m/a", estimator.times, again) == Duration::zero());
    cr_assert(probeCallDelay(scheduler, "m/a", estimator.times, again + 100ms) == Duration::zero(),
              "the first one was not refused");
    for (int load = 0; load < 10; ++load)
        recordLoadOnTime(estimator.times, 1, 400ms);
    cr_assert(probeCallDelay(scheduler, "m/a", estimator.times, again + 1ms) == Duration::zero());
}

// Two loads are started with the same estimate, and the call for the first one is refused. The
// expected end of the second must reflect what that refusal showed.
Test(orders, running_loads_use_newer_estimates)
{
    AdapterScheduler scheduler = freshScheduler();
    LoadEstimator estimator;
    recordLoadAccepted(scheduler, "m/a", 1, {200ms, 1, true}, start);
    recordLoadAccepted(scheduler, "m/b", 1, {200ms, 2, true}, start + 10ms);
    completeDueLoads(scheduler, start + 200ms);
    recordMissing(scheduler, "m/a", estimator, start + 280ms);
    extendLoadEstimates(scheduler, estimator.times);
    cr_assert(scheduler.slots.at("m/b").readyAt > start + 290ms);
}
