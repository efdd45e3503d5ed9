#include "serving/LoadTimeModel.h"

#include <algorithm>
#include <chrono>

namespace monsoonbay {

namespace {

/** For plans until the first observation. No call is sent because of it. */
constexpr Duration initialEstimate = std::chrono::milliseconds(200);

/** The platform states that engines load an adapter that they held recently ten times as fast. */
constexpr int hostCopySpeedup = 10;

/**
 * From the command to the engine and from its answer to the call; a network hop takes 1 to 4 ms.
 */
constexpr Duration commandLatency = std::chrono::milliseconds(15);

// The two factors balance when one load in fifty is checked too early, so the expected time is one
// in which 49 of 50 loads are done. An early check has every waiting call refused, and the engine
// also refuses another load while this VM wrongly assumes that it has capacity for one.
constexpr double lengthenFactor = 1.05;
constexpr double shortenShare = 0.001;

/** The delay until the next check is at most this share of the time waited so far. */
constexpr double maxRecheckShare = 0.5;

/**
 * After this many loads in a row on time, the store is faster or less loaded than it was, and each
 * further load shortens the estimate by more. With one load in fifty early, every second streak
 * gets this long.
 */
constexpr int longStreak = 40;
constexpr double longStreakShortenShare = 0.05;

/**
 * After an early call the estimate counts as uncertain until this many loads in a row were on time.
 */
constexpr int certainStreak = 8;

/** Until the first call has arrived too early, nothing shows how far the first guess is off. */
constexpr double initialShortenShare = 0.1;

/**
 * An estimate that is further above the longest refused wait comes nearer to it with each load.
 */
constexpr double nearRefusedShare = 0.15;
constexpr double approachShare = 0.25;

/**
 * A load that was done in less than a third of the expected time may have been one from host
 * memory, which the engine loads ten times as fast. It shortens the estimate by this share.
 */
constexpr int copyFactor = 3;
constexpr double seenDoneShortenShare = 0.1;

Duration scaled(Duration duration, double factor) noexcept
{
    return fromSeconds(toSeconds(duration) * factor);
}

/** Longest wait that was too short with at most as many concurrent loads, and so with these. */
Duration longestRefusedWait(const LoadTimeModel &times, std::size_t classIndex) noexcept
{
    const auto end = times.refusedAfter.begin() + static_cast<std::ptrdiff_t>(classIndex) + 1;
    return *std::max_element(times.refusedAfter.begin(), end);
}

/** The estimate after a load that was done within `waited`. */
Duration shortened(const LoadTimeModel &times, std::size_t classIndex, Duration waited) noexcept
{
    const Duration refused = longestRefusedWait(times, classIndex);
    if (refused == Duration::zero())
        return scaled(waited, 1 - initialShortenShare);
    if (waited - refused > scaled(waited, nearRefusedShare))
        return waited - scaled(waited - refused, approachShare);
    return scaled(waited,
                  1 - (times.onTimeStreak < longStreak ? shortenShare : longStreakShortenShare));
}

} // namespace

std::size_t concurrencyClassOf(int concurrentLoads) noexcept
{
    std::size_t index = 0;
    for (double reach = 1; reach < concurrentLoads && index + 1 < concurrencyClasses; ++index)
        reach = std::max(reach + 1, reach * 1.5);
    return index;
}

namespace {

/** The first class from `from` on that was observed, or the end. */
auto firstObserved(const LoadTimeModel &times, std::size_t from)
{
    return std::find_if(times.expected.begin() + static_cast<std::ptrdiff_t>(from),
                        times.expected.end(),
                        [](Duration expected) { return expected > Duration::zero(); });
}

} // namespace

// More concurrent loads never make a load faster, so a class without observations takes the time of
// the largest class below it, and is not known. Without any below it, it takes at most the time of
// the next one above. Such derived values never feed back into the estimates; only outcomes of
// loads do.
Duration fetchTime(const LoadTimeModel &times, int concurrentLoads) noexcept
{
    const std::size_t own = concurrencyClassOf(concurrentLoads);
    const auto ownEnd = times.expected.begin() + static_cast<std::ptrdiff_t>(own) + 1;
    const Duration longest = *std::max_element(times.expected.begin(), ownEnd);
    if (longest > Duration::zero())
        return longest;
    const auto next = firstObserved(times, own);
    return next == times.expected.end() ? initialEstimate : *next;
}

bool isFetchTimeKnown(const LoadTimeModel &times, int concurrentLoads) noexcept
{
    const std::size_t own = concurrencyClassOf(concurrentLoads);
    const auto first = firstObserved(times, 0);
    return times.expected[own] > Duration::zero()
        || (first != times.expected.end()
            && first - times.expected.begin() > static_cast<std::ptrdiff_t>(own));
}

Duration shortestFetchTime(const LoadTimeModel &times) noexcept
{
    return times.expected[0] > Duration::zero() ? times.expected[0] : initialEstimate;
}

Duration hostCopyTime(const LoadTimeModel &times) noexcept
{
    return fetchTime(times, 1) / hostCopySpeedup + commandLatency;
}

void recordEarlyCall(LoadTimeModel &times, int concurrentLoads, Duration waited) noexcept
{
    const std::size_t classIndex = concurrencyClassOf(concurrentLoads);
    times.expected[classIndex] =
        std::max(times.expected[classIndex], scaled(waited, lengthenFactor));
    times.refusedAfter[classIndex] = std::max(times.refusedAfter[classIndex], waited);
    times.onTimeStreak = 0;
}

// A load that is done in time with many concurrent loads would also be with fewer. One that was
// given longer than the current estimate shows nothing: dozens run at once, and if each of them
// shortened the estimate, all of the next ones would be checked too early.
void recordLoadOnTime(LoadTimeModel &times, int concurrentLoads, Duration waited) noexcept
{
    ++times.onTimeStreak;
    const Duration estimate = fetchTime(times, concurrentLoads);
    if (waited > estimate)
        return;
    const std::size_t classIndex = concurrencyClassOf(concurrentLoads);
    const Duration shorter = shortened(times, classIndex, waited);
    times.expected[classIndex] = shorter;
    for (std::size_t below = 0; below < classIndex; ++below) {
        Duration &expected = times.expected[below];
        const bool unseen = expected == Duration::zero();
        expected = unseen ? shorter : std::min(expected, shorter);
    }
}

// The report comes later than the end of the load, so the estimate is not shortened below
// `elapsed`.
void recordLoadSeenDone(LoadTimeModel &times, int concurrentLoads, Duration elapsed) noexcept
{
    if (elapsed >= fetchTime(times, concurrentLoads))
        return;
    const std::size_t own = concurrencyClassOf(concurrentLoads);
    if (times.expected[own] == Duration::zero())
        times.expected[own] = fetchTime(times, concurrentLoads);
    for (std::size_t classIndex = 0; classIndex <= own; ++classIndex) {
        Duration &expected = times.expected[classIndex];
        const Duration gradual = scaled(expected, 1 - seenDoneShortenShare);
        const bool mayBeCopy = elapsed * copyFactor < expected;
        if (expected > elapsed)
            expected = mayBeCopy ? gradual : elapsed;
    }
}

// Nothing is assumed about other numbers of concurrent loads, but that fewer take no longer.
void recordAwaitedLoadDone(LoadTimeModel &times, int concurrentLoads, Duration elapsed) noexcept
{
    Duration &expected = times.expected[concurrencyClassOf(concurrentLoads)];
    expected = std::max(expected, elapsed);
}

bool isUncertain(const LoadTimeModel &times) noexcept
{
    return times.onTimeStreak < certainStreak;
}

// Each check is a call that is refused and uses up retry budget. Where the estimate is far off, as
// after a start, four checks reach three times the first wait.
Duration recheckDelay(Duration waited, int early) noexcept
{
    double share = lengthenFactor - 1;
    for (int time = 1; time < early && share < maxRecheckShare; ++time)
        share *= 2;
    return std::max(scaled(waited, std::min(share, maxRecheckShare)), commandLatency);
}

} // namespace monsoonbay
