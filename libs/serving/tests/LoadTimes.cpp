#include <algorithm>
#include <random>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/LoadTimeModel.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

/**
 * A weight store: loads take `alone`, and proportionally longer with more than `atOnce` at a time.
 */
struct Store
{
    Duration alone;
    int atOnce;

    Duration timeFor(int underWay) const
    {
        return this->alone * std::max(underWay, this->atOnce) / this->atOnce;
    }
};

/** Simulates one load whose calls arrive when it is expected; returns how many were too early. */
int playLoad(LoadTimeModel &pace, const Store &store, int underWay)
{
    const Duration real = store.timeFor(underWay);
    Duration waited = fetchTime(pace, underWay);
    int early = 0;
    while (waited < real) {
        ++early;
        recordEarlyCall(pace, underWay, waited);
        waited += recheckDelay(waited, early);
    }
    recordLoadOnTime(pace, underWay, waited);
    return early;
}

double offBy(const LoadTimeModel &pace, const Store &store, int underWay)
{
    return toSeconds(fetchTime(pace, underWay)) / toSeconds(store.timeFor(underWay));
}

} // namespace

// Guards against estimates that feed themselves: loads believed to take longer count as running for
// longer, which lengthens the estimates of the next ones. With that, and with a constant for the
// loads that a store sustains, every second caller of a missing adapter was refused although the
// store could carry twice as many loads as were running.
Test(pace, any_store_is_known_after_some_loads)
{
    for (const int atOnce : {4, 16, 64, 104}) {
        for (const Duration alone : {Duration(40ms), Duration(250ms), Duration(900ms)}) {
            const Store store{alone, atOnce};
            LoadTimeModel pace;
            std::mt19937 random(7);
            const std::array crowds{1, atOnce / 2, atOnce, 2 * atOnce};
            std::uniform_int_distribution<std::size_t> any(0, crowds.size() - 1);
            for (int load = 0; load < 150; ++load)
                playLoad(pace, store, crowds[any(random)]);
            for (const int underWay : crowds)
                cr_assert(offBy(pace, store, underWay) > 0.6 && offBy(pace, store, underWay) < 1.6,
                          "%d at once: %d under way: %f", atOnce, underWay,
                          offBy(pace, store, underWay));
        }
    }
}

// A store that becomes slow and fast again is tracked within about a hundred loads each way, which
// is seconds in any deployment large enough to saturate it.
Test(pace, a_change_of_the_store_is_followed_both_ways)
{
    LoadTimeModel pace;
    const Store fast{250ms, 16};
    const Store slow{1200ms, 16};
    for (int load = 0; load < 100; ++load)
        playLoad(pace, fast, 1 + load % 16);
    cr_assert_lt(offBy(pace, fast, 8), 1.3);
    int early = 0;
    for (int load = 0; load < 40; ++load)
        early += playLoad(pace, slow, 1 + load % 16);
    cr_assert_gt(offBy(pace, slow, 8), 0.8);
    cr_assert_lt(early, 100, "delays between checks are long enough for few early calls");
    for (int load = 0; load < 130; ++load)
        playLoad(pace, fast, 1 + load % 16);
    cr_assert_lt(offBy(pace, fast, 8), 1.4);
}

Test(pace, few_calls_come_too_early_once_it_is_known)
{
    const Store store{250ms, 16};
    LoadTimeModel pace;
    std::mt19937 random(3);
    std::uniform_int_distribution<int> crowd(1, 16);
    for (int load = 0; load < 100; ++load)
        playLoad(pace, store, crowd(random));
    int early = 0;
    for (int load = 0; load < 400; ++load)
        early += playLoad(pace, store, crowd(random));
    cr_assert_lt(early, 60);
}

Test(pace, more_under_way_is_never_expected_faster)
{
    cr_assert(rc::check("monotone", [] {
        LoadTimeModel pace;
        const auto steps = *rc::gen::inRange(0, 60);
        for (int step = 0; step < steps; ++step) {
            const auto underWay = *rc::gen::inRange(1, 200);
            const Duration waited = std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
            if (*rc::gen::arbitrary<bool>())
                recordEarlyCall(pace, underWay, waited);
            else
                recordLoadOnTime(pace, underWay, waited);
        }
        for (int underWay = 1; underWay < 200; ++underWay)
            RC_ASSERT(fetchTime(pace, underWay) <= fetchTime(pace, underWay + 1));
    }));
}

// Guards against learning each number of concurrent loads from scratch: in the first three seconds
// of a test day, 1,200 of 3,000 calls were refused by engines whose load was not done, as
// observations with few loads did not carry over to more.
Test(pace, what_is_too_early_for_few_is_so_for_many)
{
    const Store store{288ms, 104};
    LoadTimeModel pace;
    int early = 0;
    for (int load = 0; load < 20; ++load)
        early += playLoad(pace, store, 1);
    for (int underWay = 1; underWay < 104; ++underWay)
        early += playLoad(pace, store, underWay);
    cr_assert_lt(early, 12, "%d early", early);
    cr_assert_lt(offBy(pace, store, 100), 1.1);
}

// Sixty loads run at once, all started under a longer estimate, and each is done in time. They show
// that this time is enough, not that less would be.
Test(pace, loads_under_way_at_once_teach_one_lesson)
{
    LoadTimeModel pace;
    recordEarlyCall(pace, 1, 300ms);
    const Duration expected = fetchTime(pace, 60);
    for (int load = 0; load < 60; ++load)
        recordLoadOnTime(pace, 60, expected);
    cr_assert_geq(fetchTime(pace, 60).count(), (expected * 99 / 100).count());
}
