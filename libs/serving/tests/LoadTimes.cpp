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

    Duration timeFor(int concurrentLoads) const
    {
        return this->alone * std::max(concurrentLoads, this->atOnce) / this->atOnce;
    }
};

/** Simulates one load whose calls arrive when it is expected; returns how many were too early. */
int simulateLoad(LoadTimeModel &times, const Store &store, int concurrentLoads)
{
    const Duration real = store.timeFor(concurrentLoads);
    Duration waited = fetchTime(times, concurrentLoads);
    int early = 0;
    while (waited < real) {
        ++early;
        recordEarlyCall(times, concurrentLoads, waited);
        waited += recheckDelay(waited, early);
    }
    recordLoadOnTime(times, concurrentLoads, waited);
    return early;
}

double relativeEstimate(const LoadTimeModel &times, const Store &store, int concurrentLoads)
{
    return toSeconds(fetchTime(times, concurrentLoads)) / toSeconds(store.timeFor(concurrentLoads));
}

} // namespace

// Guards against estimates that feed themselves: loads believed to take longer count as running for
// longer, which lengthens the estimates of the next ones. With that, and with a constant for the
// loads that a store sustains, every second caller of a missing adapter was refused although the
// store could carry twice as many loads as were running.
Test(load_times, estimates_converge_for_any_store)
{
    for (const int atOnce : {4, 16, 64, 104}) {
        for (const Duration alone : {Duration(40ms), Duration(250ms), Duration(900ms)}) {
            const Store store{alone, atOnce};
            LoadTimeModel times;
            std::mt19937 random(7);
            const std::array loadCounts{1, atOnce / 2, atOnce, 2 * atOnce};
            std::uniform_int_distribution<std::size_t> any(0, loadCounts.size() - 1);
            for (int load = 0; load < 150; ++load)
                simulateLoad(times, store, loadCounts[any(random)]);
            for (const int concurrentLoads : loadCounts)
                cr_assert(relativeEstimate(times, store, concurrentLoads) > 0.6
                              && relativeEstimate(times, store, concurrentLoads) < 1.6,
                          "%d at once: %d under way: %f", atOnce, concurrentLoads,
                          relativeEstimate(times, store, concurrentLoads));
        }
    }
}

// A store that becomes slow and fast again is tracked within about a hundred loads each way, which
// is seconds in any deployment large enough to saturate it.
Test(load_times, changes_of_the_store_are_tracked_both_ways)
{
    LoadTimeModel times;
    const Store fast{250ms, 16};
    const Store slow{1200ms, 16};
    for (int load = 0; load < 100; ++load)
        simulateLoad(times, fast, 1 + load % 16);
    cr_assert_lt(relativeEstimate(times, fast, 8), 1.3);
    int early = 0;
    for (int load = 0; load < 40; ++load)
        early += simulateLoad(times, slow, 1 + load % 16);
    cr_assert_gt(relativeEstimate(times, slow, 8), 0.8);
    cr_assert_lt(early, 100, "delays between checks are long enough for few early calls");
    for (int load = 0; load < 130; ++load)
        simulateLoad(times, fast, 1 + load % 16);
    cr_assert_lt(relativeEstimate(times, fast, 8), 1.4);
}

Test(load_times, few_calls_are_early_after_convergence)
{
    const Store store{250ms, 16};
    LoadTimeModel times;
    std::mt19937 random(3);
    std::uniform_int_distribution<int> loadCount(1, 16);
    for (int load = 0; load < 100; ++load)
        simulateLoad(times, store, loadCount(random));
    int early = 0;
    for (int load = 0; load < 400; ++load)
        early += simulateLoad(times, store, loadCount(random));
    cr_assert_lt(early, 60);
}

Test(load_times, more_concurrent_loads_are_never_expected_faster)
{
    cr_assert(rc::check("monotone", [] {
        LoadTimeModel times;
        const auto steps = *rc::gen::inRange(0, 60);
        for (int step = 0; step < steps; ++step) {
            const auto concurrentLoads = *rc::gen::inRange(1, 200);
            const Duration waited = std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
            if (*rc::gen::arbitrary<bool>())
                recordEarlyCall(times, concurrentLoads, waited);
            else
                recordLoadOnTime(times, concurrentLoads, waited);
        }
        for (int concurrentLoads = 1; concurrentLoads < 200; ++concurrentLoads)
            RC_ASSERT(fetchTime(times, concurrentLoads) <= fetchTime(times, concurrentLoads + 1));
    }));
}

// Guards against learning each number of concurrent loads from scratch: in the first three seconds
// of a test day, 1,200 of 3,000 calls were refused by engines whose load was not done, as
// observations with few loads did not carry over to more.
Test(load_times, early_for_few_loads_means_early_for_many)
{
    const Store store{288ms, 104};
    LoadTimeModel times;
    int early = 0;
    for (int load = 0; load < 20; ++load)
        early += simulateLoad(times, store, 1);
    for (int concurrentLoads = 1; concurrentLoads < 104; ++concurrentLoads)
        early += simulateLoad(times, store, concurrentLoads);
    cr_assert_lt(early, 12, "%d early", early);
    cr_assert_lt(relativeEstimate(times, store, 100), 1.1);
}

// Sixty loads run at once, all started under a longer estimate, and each is done in time. They show
// that this time is enough, not that less would be.
Test(load_times, concurrent_loads_on_time_barely_shorten_the_estimate)
{
    LoadTimeModel times;
    recordEarlyCall(times, 1, 300ms);
    const Duration expected = fetchTime(times, 60);
    for (int load = 0; load < 60; ++load)
        recordLoadOnTime(times, 60, expected);
    cr_assert_geq(fetchTime(times, 60).count(), (expected * 99 / 100).count());
}
