#pragma once

#include <array>
#include <compare>
#include <cstddef>

#include "core/Time.h"

namespace monsoonbay {

/**
 * Classes of "loads under way over all engines". Each reaches half as far again as the one before,
 * so that within one a crowded store's time differs little, and 24 classes reach over 10,000.
 */
constexpr std::size_t concurrencyClasses = 24;

/**
 * Expected times of loads, learnt from what becomes of them: whether a call that comes when its
 * load is due is taken, or comes too early.
 */
struct LoadTimeModel
{
    std::array<Duration, concurrencyClasses> expected{}; ///< by class; zero: nothing was seen yet
    int onTimeStreak = 0; ///< loads in a row that were done when they were expected
    std::array<bool, concurrencyClasses> sawEarlyCall{}; ///< by class: some call has come too early

    auto operator<=>(const LoadTimeModel &) const = default;
};

/** Class of a number of loads under way, the load in question counted. */
std::size_t concurrencyClassOf(int underWay) noexcept;

/** Expected time of a load from the weight store. */
Duration fetchTime(const LoadTimeModel &pace, int underWay) noexcept;

/** Expected time of a load from the engine's own memory. */
Duration hostCopyTime(const LoadTimeModel &pace) noexcept;

/** A call that came `waited` after its load was ordered was refused: it was not done yet. */
void recordEarlyCall(LoadTimeModel &pace, int underWay, Duration waited) noexcept;

/** A load was done `waited` after it was ordered. */
void recordLoadOnTime(LoadTimeModel &pace, int underWay, Duration waited) noexcept;

/** A load with `underWay` loads under way was seen to be done after `elapsed`, or before. */
void recordLoadSeenDone(LoadTimeModel &pace, int underWay, Duration elapsed) noexcept;

/** True if calls came too early lately, or nothing was seen yet. */
bool isUncertain(const LoadTimeModel &pace) noexcept;

/** When to look again at a load that was not done after `waited`, the `early`th time it was not. */
Duration recheckDelay(Duration waited, int early) noexcept;

} // namespace monsoonbay
