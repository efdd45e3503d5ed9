#include "serving/AdvertisedLimit.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

/** The most calls that a target gets in one window if `vms` VMs always send all they may. */
std::size_t maxCallsInWindow(int vms, double perSecond, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<AdvertisedLimit> limits(static_cast<std::size_t>(vms));
    std::vector<Duration> offsets;
    for (AdvertisedLimit &limit : limits) {
        updateLimit(limit, perSecond);
        offsets.push_back(fromSeconds(4 * draw(random)));
    }
    std::deque<Instant> sent;
    std::size_t maxCalls = 0;
    for (Instant now = start; now < start + 60s; now += 100ms) {
        for (std::size_t vm = 0; vm < limits.size(); ++vm) {
            // The VMs' clocks are unrelated.
            if (!admitsCall(limits[vm], vms, draw(random), now + offsets[vm]))
                continue;
            recordSent(limits[vm], now + offsets[vm]);
            sent.push_back(now);
        }
        while (!sent.empty() && now - sent.front() > AdvertisedLimit::span)
            sent.pop_front();
        maxCalls = std::max(maxCalls, sent.size());
    }
    return maxCalls;
}

} // namespace

// Guards against exceeding a target's advertised limit, with few VMs and with many.
Test(advertised_limits, all_vms_together_stay_within_the_limit)
{
    for (const int vms : {1, 2, 6, 7, 70, 300}) {
        for (const double perSecond : {0.5, 1.0, 4.0, 20.0}) {
            const double allowed = 1.5 * 4 * perSecond + 5;
            for (unsigned seed = 0; seed < 10; ++seed) {
                const std::size_t maxCalls = maxCallsInWindow(vms, perSecond, seed);
                cr_assert_leq(static_cast<double>(maxCalls), allowed, "%d VMs, %f a second: %zu",
                              vms, perSecond, maxCalls);
            }
        }
    }
}

// Guards against a target that gets no calls although it accepts some.
Test(advertised_limits, a_limited_target_is_used)
{
    for (const int vms : {1, 7, 70})
        cr_assert_geq(maxCallsInWindow(vms, 4, 1), 8, "%d VMs", vms);
}

// Guards against a VM that uses the whole limit because it does not know of other VMs.
Test(advertised_limits, a_vm_that_does_not_know_the_fleet_size_sends_nothing)
{
    AdvertisedLimit limit;
    cr_assert(admitsCall(limit, 0, 0.9, start), "no limit is advertised");
    updateLimit(limit, 10);
    cr_assert(!admitsCall(limit, 0, 0.9, start));
    cr_assert(admitsCall(limit, 2, 0.9, start));
    updateLimit(limit, std::nullopt);
    cr_assert(admitsCall(limit, 0, 0.9, start));
}
