#pragma once

#include <compare>

#include "core/Time.h"

namespace monsoonbay {

/**
 * Since when this VM has followed the list of targets without a gap. That something was not seen
 * proves that it was not there only for the time of such a watch.
 */
struct ListWatch
{
    Instant since{}; ///< zero: not followed now, or not yet
    Instant checkedAt{}; ///< zero: never
    bool interrupted = false; ///< it had a gap since the VM's start

    auto operator<=>(const ListWatch &) const = default;
};

/**
 * Checks further apart may miss a version that came and left in between: one that is new beside
 * others starts no streams for as long.
 */
constexpr Duration maxWatchGap = std::chrono::milliseconds(2000);

/** `isCurrent`: the list was read so recently that no change is missing. Call it regularly. */
void checkWatch(ListWatch &watch, bool isCurrent, Instant now) noexcept;

/** True if the list was followed for the whole time from `from` until the latest check. */
bool coversSince(const ListWatch &watch, Instant from) noexcept;

} // namespace monsoonbay
