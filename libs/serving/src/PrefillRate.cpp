#include "serving/PrefillRate.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** With fewer tokens the time to the first event is mostly one decoding step and network time. */
constexpr double leastTokens = 2000;
/** Older samples are from another load level, or from engines that no longer exist. */
constexpr Duration sampleHolds = std::chrono::seconds(30);
constexpr std::size_t leastSamples = 8;
/** Bounds the effect of wrong observations. */
constexpr double mostFactor = 4;

} // namespace

// The median is robust against both kinds of outliers: calls that met an unknown queue look slower,
// and calls whose prefix was cached without this VM's knowledge look faster. The latter are more
// than one in four where prompts share two thirds of their tokens, so the fastest quarter would
// consist of them.
void addPrefillSample(PrefillRate &pace, const PrefillSample &sample, Instant now) noexcept
{
    const double ms = 1000 * toSeconds(sample.untilFirstEvent);
    if (sample.unreadTokens < leastTokens || sample.waitingTokens > 0 || ms <= 0)
        return;
    pace.samples[pace.nextSample] = {sample.unreadTokens / ms, now};
    pace.nextSample = (pace.nextSample + 1) % pace.samples.size();
    std::array<double, std::tuple_size_v<decltype(pace.samples)>> recent{};
    std::size_t count = 0;
    for (const PrefillRate::Sample &known : pace.samples) {
        if (known.tokensPerMs > 0 && now - known.at <= sampleHolds)
            recent[count++] = known.tokensPerMs;
    }
    if (count < leastSamples)
        return;
    const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(recent.begin(), middle, recent.begin() + static_cast<std::ptrdiff_t>(count));
    pace.tokensPerMs = *middle;
}

double prefillRate(const PrefillRate &pace, double fallback) noexcept
{
    if (pace.tokensPerMs <= 0)
        return fallback;
    return std::clamp(pace.tokensPerMs, fallback / mostFactor, fallback * mostFactor);
}

} // namespace monsoonbay
