#include "core/Time.h"

#include <ctime>

namespace monsoonbay {

// CLOCK_MONOTONIC stands still while a VM is suspended, so a paused owner would wake with a
// lease that looks fresh while its successor already orders. CLOCK_BOOTTIME counts the pause.
BootClock::time_point BootClock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

} // namespace monsoonbay
