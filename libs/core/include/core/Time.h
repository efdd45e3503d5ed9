#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonbay {

/**
 * The clock of all decisions: it keeps counting while the VM is suspended (CLOCK_BOOTTIME).
 * Decision libraries take instants as arguments; only the daemon reads the clock.
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

/** Whole milliseconds, for logs. */
inline std::string millisText(Duration duration)
{
    return std::to_string(toMillis(duration));
}

} // namespace monsoonbay
