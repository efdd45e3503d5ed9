#include <algorithm>
#include <random>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/PrefillRate.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

// Guards against samples that say little about the rate: short prompts, queues, old samples.
Test(prefills, the_rate_is_the_median_of_recent_samples)
{
    cr_assert(rc::check("like a sorted list", [] {
        PrefillRate rate;
        std::vector<PrefillRate::Sample> taken;
        Instant now = Instant{} + 100s;
        double expected = 0;
        const auto count = *rc::gen::inRange(0, 60);
        for (int number = 0; number < count; ++number) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            PrefillSample sample;
            sample.unreadTokens = *rc::gen::inRange(0, 10000);
            sample.waitingTokens = *rc::gen::inRange(0, 3) == 0 ? 5000 : 0;
            sample.untilFirstEvent = std::chrono::milliseconds(*rc::gen::inRange(1, 900));
            addPrefillSample(rate, sample, now);
            if (sample.unreadTokens < 2000 || sample.waitingTokens > 0)
                continue;
            taken.push_back(
                {sample.unreadTokens / (1000 * toSeconds(sample.untilFirstEvent)), now});
            std::vector<double> recent;
            const std::size_t from = taken.size() > 32 ? taken.size() - 32 : 0;
            for (std::size_t index = from; index < taken.size(); ++index) {
                if (now - taken[index].at <= 30s)
                    recent.push_back(taken[index].tokensPerMs);
            }
            std::sort(recent.begin(), recent.end());
            if (recent.size() >= 8)
                expected = recent[recent.size() / 2];
        }
        RC_ASSERT(rate.tokensPerMs == expected);
        const double used = prefillRate(rate, 38.4);
        RC_ASSERT(used == (expected == 0 ? 38.4 : std::clamp(expected, 9.6, 153.6)));
    }));
}

// More than a quarter of the calls find most of their prompt cached without this VM's knowledge.
Test(prefills, prefixes_cached_for_other_vms_do_not_raise_the_rate)
{
    std::mt19937 random(3);
    PrefillRate rate;
    for (int call = 0; call < 200; ++call) {
        const double read = random() % 100 < 28 ? 2890 : 9190;
        const double queued = random() % 100 < 20 ? random() % 300 : 0;
        const PrefillSample sample{9190, 0, fromSeconds((read / 38.7 + 8 + queued) / 1000)};
        addPrefillSample(rate, sample, Instant{} + 100s + call * 500ms);
    }
    const double used = prefillRate(rate, 30);
    cr_assert(used > 34 && used < 40, "%f", used);
}
