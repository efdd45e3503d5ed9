#include <criterion/criterion.h>

#include "serving/LoadQueue.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;
constexpr Duration loadTime = 300ms;

/** An engine with so many loads under way, each of which is done a load's time after `start`. */
OrderDesk busyDesk(int loads)
{
    OrderDesk desk;
    desk.adapterSlots = 11;
    for (int load = 0; load < loads; ++load) {
        SlotUse &slot = desk.slots["m/" + std::to_string(load)];
        slot.loading = true;
        slot.readyAt = start + loadTime;
    }
    return desk;
}

} // namespace

Test(load_queue, an_idle_engine_begins_at_once)
{
    cr_assert(expectedBegin(busyDesk(0), 0, loadTime, start) == start);
    cr_assert(expectedBegin(busyDesk(3), 0, loadTime, start) == start);
}

// Symptom: callers with an objective of 500 ms were refused after 802 ms, when the wait for a load
// was cut off; a third of all calls on an engine with orders that were not answered. Sequence: an
// engine takes four loads at a time, and each order that is not answered keeps it for 300 ms more;
// all who want an adapter there queue up behind it, while other engines have room. Cause: nobody
// forecast when the load would begin, so a call that could not be served there learnt it only when
// its time was over.
Test(load_queue, a_load_behind_a_long_queue_is_known_to_begin_late)
{
    const OrderDesk desk = busyDesk(maxLoadsPerEngine);
    cr_assert(expectedBegin(desk, 0, loadTime, start) == start + loadTime);
    cr_assert(expectedBegin(desk, maxLoadsPerEngine - 1, loadTime, start) == start + loadTime);
    cr_assert(expectedBegin(desk, maxLoadsPerEngine, loadTime, start) == start + 2 * loadTime);
    cr_assert(expectedBegin(busyDesk(0), 0, loadTime, start + 310ms) == start + 310ms,
              "an order that was not answered delays all");
}

Test(load_queue, who_came_first_goes_first_and_callers_of_one_adapter_count_once)
{
    LoadQueue queue;
    joinQueue(queue, "m/a");
    joinQueue(queue, "m/b");
    joinQueue(queue, "m/a");
    cr_assert_eq(loadsAhead(queue, "m/a"), 0);
    cr_assert_eq(loadsAhead(queue, "m/b"), 1);
    cr_assert_eq(loadsAhead(queue, "m/c"), 2);
    leaveQueue(queue, "m/a");
    cr_assert_eq(loadsAhead(queue, "m/b"), 1);
    leaveQueue(queue, "m/a");
    cr_assert_eq(loadsAhead(queue, "m/b"), 0);
}
