#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/OrderDesk.h"
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
void step(OrderDesk &desk, FakeEngine &engine, std::vector<LateOrder> &late,
          const std::string &adapter, Instant now, bool answerLost, bool carriedOutLate)
{
    if (desk.sequence < 0) {
        takeReport(desk, reportOf(engine), now);
        return;
    }
    settleLoads(desk, now);
    const DeskChoice choice = nextDeskStep(desk, adapter, 0, now);
    const bool load = choice.step == DeskStep::Load;
    if (!load && choice.step != DeskStep::Unload)
        return;
    const std::string subject = load ? adapter : choice.victim;
    if (answerLost) {
        if (carriedOutLate)
            late.push_back({load, subject, 0, desk.sequence});
        else
            engine.order(load, subject, 0, desk.sequence);
        forgetSequence(desk);
        return;
    }
    const std::int64_t before = engine.sequence;
    if (!engine.order(load, subject, 0, desk.sequence)) {
        forgetSequence(desk);
        return;
    }
    if (load)
        noteLoadAccepted(desk, subject, 0, 10ms, now);
    else
        noteUnloaded(desk, subject);
    if (engine.sequence != before)
        noteSequence(desk, now);
}

OrderDesk freshDesk()
{
    OrderDesk desk;
    desk.adapterSlots = slotCount;
    return desk;
}

} // namespace

// An engine that is ordered to hold more adapters than it has slots for crashes. Orders get no
// answer and are carried out later, after newer ones; whatever the order of events, the slots hold.
Test(orders, lost_and_late_orders_never_overfill_an_engine)
{
    cr_assert(rc::check("slots", [] {
        OrderDesk desk = freshDesk();
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
            step(desk, engine, late, "m/a" + std::to_string(adapter), now, fate == 1 || fate == 2,
                 fate == 2);
            RC_ASSERT(engine.held.size() <= static_cast<std::size_t>(slotCount));
        }
    }));
}

// Symptom: an engine got no order for 40 s. Sequence: an unload of an adapter that was not there is
// answered "done" without being counted; the desk counts one order too many; every report then
// looks older than what is known. Cause: a report was only taken if it counted enough.
Test(orders, a_count_that_ran_ahead_is_corrected)
{
    OrderDesk desk = freshDesk();
    takeReport(desk, reportOf(FakeEngine{}), start);
    noteSequence(desk, start);
    noteSequence(desk, start);
    forgetSequence(desk);
    FakeEngine engine;
    engine.sequence = 1;
    cr_assert(!takeReport(desk, reportOf(engine), start + 100ms), "it may lag");
    cr_assert(takeReport(desk, reportOf(engine), start + 700ms), "it cannot lag any more");
    cr_assert_eq(desk.sequence, 1);
}

// Symptom: an engine refused all orders for seconds. Sequence: a new version of an adapter is named
// while a long answer uses the old one; the engine is told to replace it, and takes no other order
// until that answer has ended. Answer: a version in use stays until it is idle.
Test(orders, an_older_version_in_use_is_not_replaced)
{
    OrderDesk desk = freshDesk();
    noteLoadAccepted(desk, "m/a", 1, 10ms, start);
    settleLoads(desk, start + 20ms);
    noteRuns(desk, {{"m/a", 1}}, start + 1s);
    cr_assert(nextDeskStep(desk, "m/a", 2, start + 1s).step == DeskStep::NoSlot);
    noteRuns(desk, {}, start + 2s);
    const DeskChoice idle = nextDeskStep(desk, "m/a", 2, start + 2s);
    cr_assert(idle.step == DeskStep::Unload);
    cr_assert_eq(idle.victim, "m/a");
}

Test(orders, the_slot_that_goes_is_the_one_idle_for_longest)
{
    OrderDesk desk = freshDesk();
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        noteLoadAccepted(desk, adapter, 1, 10ms, start);
    settleLoads(desk, start + 20ms);
    noteRuns(desk, {{"m/a", 1}}, start + 1s);
    noteRuns(desk, {{"m/c", 1}}, start + 2s);
    const DeskChoice choice = nextDeskStep(desk, "m/d", 0, start + 5s);
    cr_assert(choice.step == DeskStep::Unload);
    cr_assert_eq(choice.victim, "m/b");
}

Test(orders, all_slots_in_use_is_said)
{
    OrderDesk desk = freshDesk();
    for (const char *adapter : {"m/a", "m/b", "m/c"})
        noteLoadAccepted(desk, adapter, 1, 10ms, start);
    settleLoads(desk, start + 20ms);
    noteRuns(desk, {{"m/a", 1}, {"m/b", 2}, {"m/c", 1}}, start + 1s);
    cr_assert(nextDeskStep(desk, "m/d", 0, start + 1s).step == DeskStep::NoSlot);
}

Test(orders, loads_take_longer_when_many_are_under_way)
{
    OrderDesk desk = freshDesk();
    const LoadPace pace;
    const Duration alone = loadTime(desk, "m/a", 1, pace);
    cr_assert_eq(loadTime(desk, "m/a", 8, pace).count(), alone.count());
    cr_assert_eq(loadTime(desk, "m/a", 24, pace).count(), 3 * alone.count());
    noteLoadAccepted(desk, "m/a", 1, alone, start);
    noteUnloaded(desk, "m/a");
    cr_assert_lt(loadTime(desk, "m/a", 1, pace).count(), alone.count() / 5,
                 "from the engine's memory");
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

// Symptom: two thirds of the calls for adapters that were not there were given up at 60 engines,
// though their loads were done in time. Sequence: 30 loads are under way, which that weight store
// carries at full speed; each was expected to take four times as long as it did, and callers waited
// for that. Cause: the number of loads at full speed was the one of the smallest store.
Test(orders, a_larger_weight_store_carries_more_loads_at_full_speed)
{
    OrderDesk desk;
    LoadPace pace;
    pace.atFullSpeed = loadsAtFullSpeed(60);
    cr_assert_eq(loadTime(desk, "m/a", 30, pace).count(), pace.alone.count());
    cr_assert_eq(loadsAtFullSpeed(9), 8);
    cr_assert_eq(loadsAtFullSpeed(140), 70);
}

// Symptom: calls were refused by engines that had been told to load their adapter, again and again.
// Cause: loads take longer there than expected. Each such refusal makes the expectation longer.
Test(orders, calls_that_come_too_early_make_loads_expected_later)
{
    OrderDesk desk;
    desk.adapterSlots = 4;
    LoadPace pace;
    const Instant now = start + 10s;
    noteLoadAccepted(desk, "m/a", 1, loadTime(desk, "m/a", 1, pace), now);
    const Instant due = now + loadTime(OrderDesk(), "m/a", 1, pace);
    cr_assert(settleLoads(desk, due));
    cr_assert(isFreshlyFetched(desk.slots.at("m/a"), due + 20ms));
    cr_assert(!isFreshlyFetched(desk.slots.at("m/a"), due + 2s));
    const Duration before = pace.alone;
    noteEarlyCall(pace);
    cr_assert_gt(pace.alone.count(), before.count());
}

// Symptom: every order to an engine was refused for its count, and calls bounced off adapters it had
// lost. Sequence: an engine that has taken seven orders ends and is started anew under its id, so it
// counts from nothing; a report of the former start is still under way. Cause: the count and the
// slots of the former start were kept, and a count that went back was taken for an older report.
Test(orders, an_engine_that_was_started_anew_holds_and_counts_nothing)
{
    OrderDesk desk;
    desk.adapterSlots = slotCount;
    EngineReport former;
    former.born = 1000;
    former.sequence = 7;
    former.resident = {{"m/a1", 1}, {"m/a2", 1}};
    cr_assert(takeReport(desk, former, start));
    noteSequence(desk, start);
    EngineReport reborn;
    reborn.born = 5000;
    cr_assert(takeReport(desk, reborn, start + 50ms));
    cr_assert_eq(desk.sequence, 0);
    cr_assert(desk.slots.empty());
    cr_assert(!hasHostCopy(desk, "m/a1"));
    cr_assert_eq(desk.adapterSlots, slotCount);
    former.sequence = 9;
    cr_assert(!takeReport(desk, former, start + 5s));
    cr_assert_eq(desk.sequence, 0);
}
