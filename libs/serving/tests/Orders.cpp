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

/** An engine as the platform describes it: it counts accepted orders and checks the expected count.
 */
struct FakeEngine
{
    std::int64_t sequence = 0;
    std::map<std::string, std::int64_t> held;

    /** True if the order was accepted. */
    bool order(bool load, const std::string &adapter, std::int64_t version, std::int64_t expected)
    {
        if (expected != this->sequence)
            return false;
        if (!load && this->held.count(adapter) == 0)
            return true; // done already, and not counted
        if (load)
            this->held[adapter] = version;
        else
            this->held.erase(adapter);
        ++this->sequence;
        return true;
    }
};

struct LateOrder
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

/** One step for `adapter`; a lost order is kept to be carried out later, or never was sent. */
void step(AdapterScheduler &scheduler, FakeEngine &engine, std::vector<LateOrder> &late,
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
    const std::string subject = load ? adapter : choice.victim;
    if (answerLost) {
        if (carriedOutLate)
            late.push_back({load, subject, 0, scheduler.sequence});
        else
            engine.order(load, subject, 0, scheduler.sequence);
        invalidateSequence(scheduler);
        return;
    }
    const std::int64_t before = engine.sequence;
    if (!engine.order(load, subject, 0, scheduler.sequence)) {
        invalidateSequence(scheduler);
        return;
    }
    if (load)
        recordLoadAccepted(scheduler, subject, 0, {10ms}, now);
    else
        recordUnloaded(scheduler, subject);
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

// An engine that is ordered to hold more adapters than it has slots for crashes. Orders get no
// answer and are carried out later, after newer ones; whatever the order of events, the slots hold.
Test(orders, lost_and_late_orders_never_overfill_an_engine)
{
    cr_assert(rc::check("slots", [] {
        AdapterScheduler scheduler = freshScheduler();
        FakeEngine engine;
        std::vector<LateOrder> late;
        Instant now = start;
        const auto steps = *rc::gen::resize(
            200,
            rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 8), rc::gen::inRange(0, 6), rc::gen::inRange(1, 700))));
        for (const auto &[adapter, fate, afterMs] : steps) {
            now += std::chrono::milliseconds(afterMs);
            if (fate == 5 && !late.empty()) {
                const LateOrder order = late.back();
                late.pop_back();
                engine.order(order.load, order.adapter, order.version, order.expected);
            }
            step(scheduler, engine, late, "m/a" + std::to_string(adapter), now,
                 fate == 1 || fate == 2, fate == 2);
            RC_ASSERT(engine.held.size() <= static_cast<std::size_t>(slotCount));
        }
    }));
}

// Symptom: an engine got no order for 40 s. Sequence: an unload of an adapter that was not there is
// answered "done" without being counted; the scheduler counts one order too many; every report then
// looks older than what is known. Cause: a report was only taken if it counted enough.
Test(orders, a_count_that_ran_ahead_is_corrected)
{
    AdapterScheduler scheduler = freshScheduler();
    applyEngineReport(scheduler, reportOf(FakeEngine{}), start);
    advanceSequence(scheduler, start);
    advanceSequence(scheduler, start);
    invalidateSequence(scheduler);
    FakeEngine engine;
    engine.sequence = 1;
    cr_assert(!applyEngineReport(scheduler, reportOf(engine), start + 100ms), "it may lag");
    cr_assert(applyEngineReport(scheduler, reportOf(engine), start + 700ms),
              "it cannot lag any more");
    cr_assert_eq(scheduler.sequence, 1);
}

// Symptom: an engine refused all orders for seconds. Sequence: a new version of an adapter is named
// while a long answer uses the old one; the engine is told to replace it, and takes no other order
// until that answer has ended. Answer: a version in use stays until it is idle.
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

Test(orders, the_slot_that_goes_is_the_one_idle_for_longest)
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

Test(orders, all_slots_in_use_is_said)
{
    AdapterScheduler scheduler = freshScheduler();
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        recordLoadAccepted(scheduler, adapter, 1, {10ms}, start);
    completeDueLoads(scheduler, start + 20ms);
    updateRuns(scheduler, {{"m/a", 1}, {"m/b", 2}, {"m/c", 1}}, start + 1s);
    cr_assert(nextCommand(scheduler, "m/d", 0, start + 1s).step == SchedulerStep::NoSlot);
}

Test(orders, what_left_its_slot_lately_loads_fast_again)
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

Test(orders, memory_bounds_the_adapters_too)
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

// Symptom: calls were refused by engines that had been told to load their adapter, again and again.
// Cause: loads take longer there than expected. Each such refusal makes the expectation longer, and
// the load is looked at again soon, without a report, whose word is older than the refusal.
Test(orders, calls_that_come_too_early_make_loads_expected_later)
{
    AdapterScheduler scheduler = freshScheduler();
    scheduler.sequence = 1;
    LoadEstimator estimator;
    const LoadEstimate estimate = estimateLoad(scheduler, "m/a", 7, estimator);
    recordLoadAccepted(scheduler, "m/a", 1, estimate, start);
    const Instant due = start + estimate.time;
    cr_assert(completeDueLoads(scheduler, due));
    recordMissing(scheduler, "m/a", estimator, due + 5ms);
    cr_assert(scheduler.slots.at("m/a").loading);
    cr_assert_lt((scheduler.slots.at("m/a").readyAt - due).count(), (estimate.time / 4).count());
    cr_assert(estimateLoad(scheduler, "m/b", 7, estimator).time > estimate.time);
    cr_assert_geq(scheduler.sequence, 0);
    // Long after that, a refusal means that the slots are not what they were taken to be.
    completeDueLoads(scheduler, due + 1s);
    recordMissing(scheduler, "m/a", estimator, due + 2s);
    cr_assert_lt(scheduler.sequence, 0);
}

// Symptom: on crowded engines a tenth of the orders was refused, and each refusal kept the holder
// from ordering for 60 ms. Sequence: four loads are under way, one of them is taken as done a
// little too early, a fifth is ordered and refused. Cause: the refusal was taken for a count that
// differs.
Test(orders, a_fifth_load_refused_means_that_one_is_not_done)
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
    // With less under way, something else is wrong.
    completeDueLoads(scheduler, start + 1s);
    learnFromLoads(scheduler, estimator, start + 2s);
    cr_assert(!recordBusyRefusal(scheduler, estimator, start + 2s));
}

// Symptom: more adapters were fetched from the weight store than left the engines' memories.
// Sequence: engines keep more copies, or fewer, than a constant says. Cause: calls were sent to
// engines that had dropped the copy, and away from those that had it.
Test(orders, the_copies_that_an_engine_keeps_are_learnt)
{
    for (const int kept : {20, 108, 400}) {
        AdapterScheduler scheduler;
        scheduler.adapterSlots = 1;
        LoadEstimator estimator;
        std::list<std::string> memory; // of the engine, newest first
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
            const auto copy = std::find(memory.begin(), memory.end(), adapter);
            const bool there = copy != memory.end();
            if (there)
                memory.erase(copy);
            if (!there && !estimate.fetched) {
                recordMissing(scheduler, adapter, estimator, now);
                now = scheduler.slots.at(adapter).readyAt;
                completeDueLoads(scheduler, now);
                recordMissing(scheduler, adapter, estimator, now);
                early += load >= 1000 ? 1 : 0;
                now += 400ms;
                completeDueLoads(scheduler, now);
            }
            memory.push_front(adapter);
            if (static_cast<int>(memory.size()) > kept)
                memory.pop_back();
            now += 200ms;
            learnFromLoads(scheduler, estimator, now);
        }
        cr_assert_geq(estimator.memory.retainedLoads, 0.5 * kept, "%d kept: %f", kept,
                      estimator.memory.retainedLoads);
        cr_assert_leq(estimator.memory.retainedLoads, 1.6 * kept, "%d kept: %f", kept,
                      estimator.memory.retainedLoads);
        cr_assert_lt(early, 150, "%d kept: %d early", kept, early);
    }
}

// Symptom: every order to an engine was refused for its count, and calls bounced off adapters it
// had lost. Sequence: an engine that has taken seven orders ends and is started anew under its id,
// so it counts from nothing; a report of the former start is still under way. Cause: the count and
// the slots of the former start were kept, and a count that went back was taken for an older
// report.
Test(orders, an_engine_that_was_started_anew_holds_and_counts_nothing)
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = slotCount;
    EngineReport former;
    former.startTime = 1000;
    former.sequence = 7;
    former.resident = {{"m/a1", 1}, {"m/a2", 1}};
    cr_assert(applyEngineReport(scheduler, former, start));
    advanceSequence(scheduler, start);
    EngineReport reborn;
    reborn.startTime = 5000;
    cr_assert(applyEngineReport(scheduler, reborn, start + 50ms));
    cr_assert_eq(scheduler.sequence, 0);
    cr_assert(scheduler.slots.empty());
    cr_assert_lt(loadsSinceTouch(scheduler.copies, "m/a1"), 0);
    cr_assert_eq(scheduler.adapterSlots, slotCount);
    former.sequence = 9;
    cr_assert(!applyEngineReport(scheduler, former, start + 5s));
    cr_assert_eq(scheduler.sequence, 0);
}

// Symptom: five calls of five VMs for one adapter were refused within 10 ms, each at the cost of a
// repeat. Sequence: all wait for one load, which takes longer than expected. Cause: all were let
// through at the same moment.
Test(orders, one_call_goes_first_while_the_time_of_loads_is_in_doubt)
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

// Sequence: two loads are ordered one after the other; the call for the first one is refused. The
// second was expected by the same belief, and waits as long as is known by now.
Test(orders, loads_under_way_wait_by_what_was_learnt_since)
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
