#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"
#include "core/WindowCounts.h"

namespace monsoonbay {

/**
 * Rate limit, in calls a second from all VMs together, that a target advertises, and what this VM
 * has sent to it.
 *
 * No messages are exchanged for it: each VM keeps to an equal share of the limit. A fractional
 * share is rounded up or down at random in each window.
 */
struct AdvertisedLimit
{
    static constexpr Duration span = std::chrono::seconds(4); ///< window in which calls are counted
    static constexpr std::size_t partsInSpan = 8;

    double perSecond = 0; ///< over all VMs; 0: no limit is advertised
    WindowCounts<std::uint32_t, partsInSpan> sent;
    std::int64_t drawnWindow = 0; ///< number of the window that `share` was last drawn for
    std::uint32_t share = 0; ///< calls that this VM may send in the window
};

/** Applies the target's newest limit; nothing removes it. True if the limit has changed. */
bool updateLimit(AdvertisedLimit &limit, std::optional<double> perSecond) noexcept;

/**
 * True if this VM may send the target a call now. `vms` is the number of VMs that may send to it,
 * including those that this VM does not hear from; with 0 (unknown) no call is admitted. `draw` is
 * a random number in [0, 1) that rounds the share of a new window.
 */
bool admitsCall(AdvertisedLimit &limit, int vms, double draw, Instant now) noexcept;

/** Counts a call sent to the target. */
void recordSent(AdvertisedLimit &limit, Instant now) noexcept;

} // namespace monsoonbay
