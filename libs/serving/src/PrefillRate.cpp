#include "serving/PrefillRate.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** With fewer tokens the time to the first event is mostly one decoding step and network time. */
constexpr double minTokens = 2000;
/** Older samples are from another load level, or from engines that no longer exist. */
constexpr Duration maxSampleAge = std::chrono::seconds(30);
constexpr std::size_t minSamples = 8;
/** Bounds the effect of wrong observations. */
constexpr double maxFactor = 4;

} // namespace

// The median is robust against both kinds of outliers: calls that met an unknown queue look slower,
// and calls whose prefix was cached without this VM's knowledge look faster. The latter are more
// than one in four where prompts share two thirds of their tokens, so the fastest quarter would
// consist of them.
void addPrefillSample(PrefillRate &rate, const PrefillSample &sample, Instant now) noexcept
{
    const double ms = 1000 * toSeconds(sample.untilFirstEvent);
    if (sample.unreadTokens < minTokens || sample.waitingTokens > 0 || ms <= 0)
        return;
    rate.samples[rate.nextSample] = {sample.unreadTokens / ms, now};
    rate.nextSample = (rate.nextSample + 1) % rate.samples.size();
    std::array<double, std::tuple_size_v<decltype(rate.samples)>> recent{};
    std::size_t count = 0;
    for (const PrefillRate::Sample &known : rate.samples) {
        if (known.tokensPerMs > 0 && now - known.at <= maxSampleAge)
            recent[count++] = known.tokensPerMs;
    }
    if (count < minSamples)
        return;
    const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(recent.begin(), middle, recent.begin() + static_cast<std::ptrdiff_t>(count));
    rate.tokensPerMs = *middle;
}

double prefillRate(const PrefillRate &rate, double fallback) noexcept
{
    if (rate.tokensPerMs <= 0)
        return fallback;
    return std::clamp(rate.tokensPerMs, fallback / maxFactor, fallback * maxFactor);
}

} // namespace monsoonbay
