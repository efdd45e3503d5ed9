#include "serving/LoadTimeModel.h"

#include <algorithm>
#include <chrono>

namespace monsoonbay {

namespace {

/** Until a first load was seen. A call that comes too early costs one refusal, and teaches. */
constexpr Duration firstGuess = std::chrono::milliseconds(200);

/** Engines load an adapter that they held lately ten times as fast, by the platform's word. */
constexpr int hostCopySpeedup = 10;

/** From an order to the engine and from its answer to the call; a hop takes 1 to 4 ms. */
constexpr Duration orderWay = std::chrono::milliseconds(15);

// One load in fifty is let be looked for too early: all calls that wait for it are refused then,
// and an engine that is believed to have room for one more load refuses that, too. What is expected
// is so the time in which 49 of 50 loads are done.
constexpr double longerBy = 1.05;
constexpr double shorterBy = 0.001;

/** A load is looked at again after this share of the time waited at the longest. */
constexpr double mostLookShare = 0.5;

/**
 * After so many loads in a row on time the store has become faster, or is less crowded than it was,
 * and each further one takes off more; with one in fifty early, every second row is as long.
 */
constexpr int onTimeLong = 40;
constexpr double lateShorterBy = 0.05;

/** After an early call, until so many loads in a row were on time, what is expected is in doubt. */
constexpr int onTimeAgain = 8;

/** Until a first call has come too early, nothing shows how far the first guess is off. */
constexpr double firstShorterBy = 0.1;

double shorteningOf(const LoadTimeModel &pace, std::size_t crowd) noexcept
{
    if (!pace.sawEarlyCall[crowd])
        return firstShorterBy;
    return pace.onTimeStreak < onTimeLong ? shorterBy : lateShorterBy;
}

Duration scaled(Duration duration, double factor) noexcept
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace

std::size_t concurrencyClassOf(int underWay) noexcept
{
    std::size_t index = 0;
    for (double reach = 1; reach < underWay && index + 1 < concurrencyClasses; ++index)
        reach = std::max(reach + 1, reach * 1.5);
    return index;
}

// More loads under way never make one faster, so a class that has not been seen takes the time of
// the most crowded one below it: the optimistic side. What is believed this way is never the ground
// of another belief; only what became of a load is.
Duration fetchTime(const LoadTimeModel &pace, int underWay) noexcept
{
    const auto last =
        pace.expected.begin() + static_cast<std::ptrdiff_t>(concurrencyClassOf(underWay));
    const Duration longest = *std::max_element(pace.expected.begin(), last + 1);
    if (longest > Duration::zero())
        return longest;
    const auto seen = std::find_if(last, pace.expected.end(),
                                   [](Duration expected) { return expected > Duration::zero(); });
    return seen == pace.expected.end() ? firstGuess : std::min(firstGuess, *seen);
}

Duration hostCopyTime(const LoadTimeModel &pace) noexcept
{
    return fetchTime(pace, 1) / hostCopySpeedup + orderWay;
}

void recordEarlyCall(LoadTimeModel &pace, int underWay, Duration waited) noexcept
{
    const std::size_t crowd = concurrencyClassOf(underWay);
    pace.expected[crowd] = std::max(pace.expected[crowd], scaled(waited, longerBy));
    // What is too early for these is so for more of them, too: without this each class would learn
    // anew, from below, what the one before it knows.
    std::fill(pace.sawEarlyCall.begin() + static_cast<std::ptrdiff_t>(crowd),
              pace.sawEarlyCall.end(), true);
    pace.onTimeStreak = 0;
}

// A load that is done in time with many others under way would be so with fewer, too. One that was
// given longer than is expected by now shows nothing: dozens are under way at once, and if each of
// them shortened it, they would all be looked for too early next time.
void recordLoadOnTime(LoadTimeModel &pace, int underWay, Duration waited) noexcept
{
    ++pace.onTimeStreak;
    const Duration believed = fetchTime(pace, underWay);
    if (waited > believed)
        return;
    const std::size_t crowd = concurrencyClassOf(underWay);
    const Duration shorter = scaled(waited, 1 - shorteningOf(pace, crowd));
    pace.expected[crowd] = shorter;
    for (std::size_t below = 0; below < crowd; ++below) {
        Duration &expected = pace.expected[below];
        const bool unseen = expected == Duration::zero();
        expected = unseen ? shorter : std::min(expected, shorter);
    }
}

// Seen later than it was done, so nothing is taken off beside what was seen.
void recordLoadSeenDone(LoadTimeModel &pace, int underWay, Duration elapsed) noexcept
{
    if (elapsed >= fetchTime(pace, underWay))
        return;
    for (std::size_t crowd = 0; crowd <= concurrencyClassOf(underWay); ++crowd) {
        Duration &expected = pace.expected[crowd];
        if (expected > Duration::zero())
            expected = std::min(expected, elapsed);
    }
}

bool isUncertain(const LoadTimeModel &pace) noexcept
{
    return pace.onTimeStreak < onTimeAgain;
}

// Each look is a call that is refused, and draws on the retry budget: where the expectation is far
// off, as at the start, four of them reach three times the time that was waited at first.
Duration recheckDelay(Duration waited, int early) noexcept
{
    double share = longerBy - 1;
    for (int time = 1; time < early && share < mostLookShare; ++time)
        share *= 2;
    return std::max(scaled(waited, std::min(share, mostLookShare)), orderWay);
}

} // namespace monsoonbay
