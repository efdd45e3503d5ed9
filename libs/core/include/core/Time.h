#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonbay {

/**
 * The time line of all decisions: it counts through a pause of the VM (CLOCK_BOOTTIME).
 * Decision libraries only take instants as values; only the daemon reads the clock.
 */
struct BootClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using Instant = BootClock::time_point;
using Duration = BootClock::duration;

inline double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

inline std::int64_t toMillis(Duration duration) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Whole milliseconds, as logs tell them. */
inline std::string millisText(Duration duration)
{
    return std::to_string(toMillis(duration));
}

} // namespace monsoonbay
