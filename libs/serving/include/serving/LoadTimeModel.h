#pragma once

#include <array>
#include <compare>
#include <cstddef>

#include "core/Time.h"

namespace monsoonbay {

/**
 * Number of classes by which concurrent loads (over all engines) are grouped. Each class reaches
 * 1.5 times as far as the one before, so load times within a class differ little also when the
 * weight store is saturated; 24 classes cover more than 10,000 loads.
 */
constexpr std::size_t concurrencyClasses = 24;

/**
 * Expected load times, learnt from outcomes: when reports show that loads are done, and whether a
 * call that arrives when its load is due is accepted or refused because the load is not done.
 */
struct LoadTimeModel
{
    std::array<Duration, concurrencyClasses> expected{}; ///< by class; zero: no observation yet
    int onTimeStreak = 0; ///< consecutive loads that were done when expected
    std::array<Duration, concurrencyClasses>
        refusedAfter{}; ///< by class: longest wait after which a call arrived before its load was
                        ///< done; zero: none did

    auto operator<=>(const LoadTimeModel &) const = default;
};

/** Class of a number of concurrent loads, including the load in question. */
std::size_t concurrencyClassOf(int concurrentLoads) noexcept;

/** Expected time to load an adapter from the weight store. */
Duration fetchTime(const LoadTimeModel &times, int concurrentLoads) noexcept;

/**
 * True if observed loads show that one is done by fetchTime(). If not, that is only a guess, which
 * may be far too short.
 */
bool isFetchTimeKnown(const LoadTimeModel &times, int concurrentLoads) noexcept;

/** Time of a load without concurrent ones; a guess if there was none yet. */
Duration shortestFetchTime(const LoadTimeModel &times) noexcept;

/** Expected time to load an adapter that the engine still has in host memory. */
Duration hostCopyTime(const LoadTimeModel &times) noexcept;

/** A call was refused `waited` after its load was accepted, as the load was not done yet. */
void recordEarlyCall(LoadTimeModel &times, int concurrentLoads, Duration waited) noexcept;

/** A load was done by `waited` after it was accepted. */
void recordLoadOnTime(LoadTimeModel &times, int concurrentLoads, Duration waited) noexcept;

/**
 * A report showed that a load with `concurrentLoads` concurrent loads was done at most `elapsed`
 * after it was accepted.
 */
void recordLoadSeenDone(LoadTimeModel &times, int concurrentLoads, Duration elapsed) noexcept;

/** As recordLoadSeenDone(), of a load that took longer than expected, or of which nothing was
 * known.
 */
void recordAwaitedLoadDone(LoadTimeModel &times, int concurrentLoads, Duration elapsed) noexcept;

/** True if calls recently arrived too early, or there are no observations yet. */
bool isUncertain(const LoadTimeModel &times) noexcept;

/**
 * Delay until the next check of a load that was not done after `waited`, found so for the `early`th
 * time.
 */
Duration recheckDelay(Duration waited, int early) noexcept;

} // namespace monsoonbay
