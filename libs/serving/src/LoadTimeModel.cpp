#include "serving/LoadTimeModel.h"

#include <algorithm>
#include <chrono>

namespace monsoonbay {

namespace {

/**
 * Assumed until the first observation. A call that arrives too early costs one refusal and corrects
 * the estimate.
 */
constexpr Duration firstGuess = std::chrono::milliseconds(200);

/** The platform states that engines load an adapter that they held recently ten times as fast. */
constexpr int hostCopySpeedup = 10;

/**
 * From the command to the engine and from its answer to the call; a network hop takes 1 to 4 ms.
 */
constexpr Duration orderWay = std::chrono::milliseconds(15);

// The two factors balance when one load in fifty is checked too early, so the expected time is one
// in which 49 of 50 loads are done. An early check has every waiting call refused, and the engine
// also refuses another load while this VM wrongly assumes that it has capacity for one.
constexpr double longerBy = 1.05;
constexpr double shorterBy = 0.001;

/** The delay until the next check is at most this share of the time waited so far. */
constexpr double mostLookShare = 0.5;

/**
 * After this many loads in a row on time, the store is faster or less loaded than it was, and each
 * further load shortens the estimate by more. With one load in fifty early, every second streak
 * gets this long.
 */
constexpr int onTimeLong = 40;
constexpr double lateShorterBy = 0.05;

/**
 * After an early call the estimate counts as uncertain until this many loads in a row were on time.
 */
constexpr int onTimeAgain = 8;

/** Until the first call has arrived too early, nothing shows how far the first guess is off. */
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

// More concurrent loads never make a load faster, so a class without observations takes the time of
// the largest class below it, which is the optimistic side. Such derived values never feed back
// into the estimates; only outcomes of loads do.
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
    // What is too early with this many concurrent loads is also too early with more. Without this,
    // each class would learn from scratch what the one below it already knows.
    std::fill(pace.sawEarlyCall.begin() + static_cast<std::ptrdiff_t>(crowd),
              pace.sawEarlyCall.end(), true);
    pace.onTimeStreak = 0;
}

// A load that is done in time with many concurrent loads would also be with fewer. One that was
// given longer than the current estimate shows nothing: dozens run at once, and if each of them
// shortened the estimate, all of the next ones would be checked too early.
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

// The report comes later than the end of the load, so the estimate is not shortened below
// `elapsed`.
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

// Each check is a call that is refused and uses up retry budget. Where the estimate is far off, as
// after a start, four checks reach three times the first wait.
Duration recheckDelay(Duration waited, int early) noexcept
{
    double share = longerBy - 1;
    for (int time = 1; time < early && share < mostLookShare; ++time)
        share *= 2;
    return std::max(scaled(waited, std::min(share, mostLookShare)), orderWay);
}

} // namespace monsoonbay
