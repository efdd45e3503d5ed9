#include "core/Time.h"

#include <ctime>

namespace monsoonbay {

// CLOCK_MONOTONIC stops while a VM is suspended, so a suspended owner would resume with a
// lease that looks valid while its successor already sends commands. CLOCK_BOOTTIME keeps counting.
BootClock::time_point BootClock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

} // namespace monsoonbay
