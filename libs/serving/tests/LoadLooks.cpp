#include <deque>

#include <criterion/criterion.h>

#include "serving/OrderDesk.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1h;

/** A desk of an engine that was ordered to load one adapter at `start`. */
OrderDesk loadingDesk(Duration expected)
{
    OrderDesk desk;
    desk.adapterSlots = 4;
    desk.sequence = 6;
    LoadEstimate estimate;
    estimate.time = expected;
    estimate.underWay = 150;
    estimate.fetched = true;
    noteLoadAccepted(desk, "m/a", 1, estimate, start);
    noteSequence(desk, start);
    return desk;
}

EngineReport reportOf(std::int64_t sequence, bool done)
{
    EngineReport report;
    report.sequence = sequence;
    if (done)
        report.resident["m/a"] = 1;
    return report;
}

LoadBeliefs crowdedBeliefs()
{
    LoadBeliefs beliefs;
    noteLoadOnTime(beliefs.pace, 1, 280ms);
    noteEarlyCall(beliefs.pace, 150, 1300ms);
    return beliefs;
}

} // namespace

// Guards against calls that wait for a load which is done, as nobody looks before it is expected.
Test(load_looks, a_load_that_a_report_shows_as_done_is_not_waited_for)
{
    LoadBeliefs beliefs = crowdedBeliefs();
    OrderDesk desk = loadingDesk(1300ms);
    cr_assert_not(isLookDue(desk, beliefs.pace, start + 100ms));
    cr_assert(isLookDue(desk, beliefs.pace, start + 500ms));
    cr_assert_not(isLookDue(desk, beliefs.pace, start + 1200ms));
    cr_assert_not(takeLoadsDone(desk, reportOf(7, false), beliefs, start + 500ms));
    cr_assert(takeLoadsDone(desk, reportOf(7, true), beliefs, start + 500ms));
    cr_assert_not(desk.slots.at("m/a").loading);
    cr_assert_eq(desk.sequence, 7);
    cr_assert_leq(fetchTime(beliefs.pace, 150).count(), Duration(500ms).count());
}

// Guards against a report of before the order, which shows the adapter from its last stay.
Test(load_looks, a_report_of_before_the_order_shows_nothing)
{
    LoadBeliefs beliefs = crowdedBeliefs();
    OrderDesk desk = loadingDesk(1300ms);
    cr_assert_not(takeLoadsDone(desk, reportOf(6, true), beliefs, start + 500ms));
    EngineReport otherStart = reportOf(9, true);
    desk.born = 5;
    otherStart.born = 6;
    cr_assert_not(takeLoadsDone(desk, otherStart, beliefs, start + 500ms));
    cr_assert(desk.slots.at("m/a").loading);
}

namespace {

/** Expected time of a load, 8 s after a surge that made loads take 1.3 s; they take 288 ms now. */
Duration expectedAfterSurge(bool looking)
{
    constexpr Duration real = 288ms;
    constexpr Duration loadEvery = 10ms;
    LoadBeliefs beliefs = crowdedBeliefs();
    struct Load
    {
        OrderDesk desk;
        Instant orderedAt;
        Instant believedAt;
        int underWay;
    };
    std::deque<Load> loads;
    for (Instant now = start; now < start + 8s; now += loadEvery) {
        for (Load &load : loads) {
            const bool due = looking && isLookDue(load.desk, beliefs.pace, now);
            if (!due || now - load.orderedAt < real + 100ms)
                continue;
            if (takeLoadsDone(load.desk, reportOf(7, true), beliefs, now))
                load.believedAt = now;
        }
        while (!loads.empty() && loads.front().believedAt <= now) {
            const Load &load = loads.front();
            noteLoadOnTime(beliefs.pace, load.underWay, load.believedAt - load.orderedAt);
            loads.pop_front();
        }
        const int underWay = static_cast<int>(loads.size()) + 1;
        const Duration expected = fetchTime(beliefs.pace, underWay);
        Load load{loadingDesk(expected), now, now + expected, underWay};
        for (auto &[adapter, slot] : load.desk.slots) {
            slot.orderedAt = now;
            slot.readyAt = now + expected;
            slot.underWay = underWay;
        }
        loads.push_back(std::move(load));
    }
    return fetchTime(beliefs.pace, static_cast<int>(loads.size()));
}

} // namespace

// Guards against a belief that keeps itself up: after a surge of loads calls waited 1.2 s for loads
// of 288 ms, and by that wait as many loads were believed to be under way as in the surge.
Test(load_looks, what_a_surge_taught_is_forgotten_when_it_is_over)
{
    cr_assert_lt(expectedAfterSurge(true).count(), Duration(450ms).count());
}
