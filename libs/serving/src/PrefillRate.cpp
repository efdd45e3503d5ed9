#include "serving/PrefillRate.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** With fewer tokens the time to the first event is mostly that of a step and of the way there. */
constexpr double leastTokens = 2000;
/** Older samples are of another time of the day, or of engines that are gone. */
constexpr Duration sampleHolds = std::chrono::seconds(30);
constexpr std::size_t leastSamples = 8;
/** A wrong observation costs at most this factor. */
constexpr double mostFactor = 4;

} // namespace

// The median: calls that found an unknown queue look slower than the pace, and those whose prompt
// began with a prefix that the engine kept unknown to this VM look faster, more than one in four
// where prompts share two thirds of their tokens. The fastest quarter would be these.
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
