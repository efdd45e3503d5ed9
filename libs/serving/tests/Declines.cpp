#include <algorithm>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/AdapterScheduler.h"
#include "serving/LoadDecline.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

const Instant start = Instant{} + 1000s;

// Guards against a backoff that stays when the holder of the lease changes, or that ends at once,
// so that calls repeat a declined request for a load.
Test(declines, marks_expire_at_the_forecast_or_after_a_second)
{
    cr_assert(rc::check("marks", [] {
        const auto reason = declineReasonOf(*rc::gen::inRange<std::uint64_t>(0, 9));
        const Duration retryIn = std::chrono::microseconds(*rc::gen::inRange(0, 3'000'000));
        const Duration after = std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
        const Duration begin = std::chrono::milliseconds(*rc::gen::inRange(20, 2'000));
        const LoadBackoff backoff = backoffAfter({reason, retryIn}, start);
        // Reference: the announced time, limited to 20 ms to 1 s, or 250 ms if none was announced.
        Duration wait = retryIn == Duration::zero() ? Duration(250ms) : retryIn;
        wait = std::min<Duration>(std::max<Duration>(wait, 20ms), 1s);
        bool asked = after >= wait || reason == DeclineReason::NotHolder;
        if (reason == DeclineReason::QueueTooLong)
            asked = asked || after + begin >= wait;
        RC_ASSERT(blocksLoadRequest(backoff, start + after, begin) == !asked);
    }));
}

// Guards against using an unknown value, sent by a later software version, as an array index.
Test(declines, unknown_reasons_count_as_not_given)
{
    cr_assert(declineReasonOf(3) == DeclineReason::EngineSilent);
    cr_assert(declineReasonOf(6) == DeclineReason::Loading);
    cr_assert(declineReasonOf(7) == DeclineReason::Unspecified);
    cr_assert(declineReasonOf(~0ULL) == DeclineReason::Unspecified);
    cr_assert_eq(reasonName(DeclineReason::NoSlot), "no slot");
}

// Guards against a forecast for a slot with running calls or a load, whose end is unknown.
Test(declines, a_slot_is_expected_when_its_last_call_has_settled)
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = 2;
    cr_assert(nextFreeSlotTime(scheduler, start) == start, "an empty slot");
    scheduler.slots["m/a"].runs = 1;
    scheduler.slots["m/b"].loading = true;
    cr_assert(nextFreeSlotTime(scheduler, start) == Instant{});
    scheduler.slots["m/b"].loading = false;
    scheduler.slots["m/b"].lastUsedAt = start - 20ms;
    const Instant idle = nextFreeSlotTime(scheduler, start);
    cr_assert(idle > start && idle <= start + 100ms);
    cr_assert_eq(idleSlots(scheduler, idle - 1ms), 0);
    cr_assert_eq(idleSlots(scheduler, idle), 1);
}
