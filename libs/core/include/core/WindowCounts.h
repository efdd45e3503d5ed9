#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "core/Time.h"

namespace monsoonbay {

/**
 * Counts in a sliding window that is divided into parts. One more part is kept than the window has,
 * as the newest part is still incomplete: sums cover the window or slightly more.
 */
template <typename Count, std::size_t partsInWindow> struct WindowCounts
{
    static constexpr std::int64_t inWindow = partsInWindow;

    std::array<Count, partsInWindow + 1> parts{};
    std::int64_t newest = 0; ///< number of the newest part, counted from the clock's epoch

    Count &part(std::int64_t number)
    {
        return this->parts[static_cast<std::size_t>(number) % this->parts.size()];
    }

    const Count &part(std::int64_t number) const
    {
        return this->parts[static_cast<std::size_t>(number) % this->parts.size()];
    }
};

/** Number of parts between the newest part and the one that contains `at`. */
template <typename Count, std::size_t partsInWindow>
std::int64_t ageOf(const WindowCounts<Count, partsInWindow> &counts, Duration window, Instant at)
{
    return counts.newest - at.time_since_epoch() / (window / counts.inWindow);
}

/** Advances to `now` and returns its part; parts that have left the window are cleared. */
template <typename Count, std::size_t partsInWindow>
Count &advance(WindowCounts<Count, partsInWindow> &counts, Duration window, Instant now)
{
    const std::int64_t steps = std::min(-ageOf(counts, window, now), counts.inWindow + 1);
    const std::int64_t current = counts.newest - ageOf(counts, window, now);
    for (std::int64_t step = 0; step < steps; ++step)
        counts.part(current - step) = 0;
    counts.newest = std::max(counts.newest, current);
    return counts.part(counts.newest);
}

/** Sum of the parts whose age, in parts before the newest, is `youngest` to `oldest`. */
template <typename Count, std::size_t partsInWindow>
Count sumOf(const WindowCounts<Count, partsInWindow> &counts, std::int64_t youngest = 0,
            std::int64_t oldest = partsInWindow)
{
    // Until a first window has passed since the clock's epoch, there are no older parts.
    const std::int64_t last = std::min({oldest, counts.inWindow, counts.newest});
    Count sum = 0;
    for (std::int64_t age = youngest; age <= last; ++age)
        sum += counts.part(counts.newest - age);
    return sum;
}

} // namespace monsoonbay
