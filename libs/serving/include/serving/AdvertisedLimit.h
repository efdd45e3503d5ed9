#pragma once

#include <cstdint>
#include <optional>

#include "core/Time.h"
#include "core/WindowCounts.h"

namespace monsoonbay {

/**
 * Calls a second that a target takes from all VMs together, by its own word, and what this VM sends
 * it under that limit.
 *
 * No message is needed: each VM keeps to an even part of the limit. Where that is less than a call
 * in a span, it draws in each span whether it may send one.
 */
struct AdvertisedLimit
{
    static constexpr Duration span = std::chrono::seconds(4); ///< in which a part is counted
    static constexpr std::size_t partsInSpan = 8;

    double perSecond = 0; ///< of all VMs; 0: no limit is named
    WindowCounts<std::uint32_t, partsInSpan> sent;
    std::int64_t drawnWindow = 0; ///< number of the span that the part was last drawn for
    std::uint32_t share = 0; ///< calls of this VM in the span
};

/** Takes the target's newest word; nothing lifts the limit. True if it is a new one. */
bool updateLimit(AdvertisedLimit &limit, std::optional<double> perSecond) noexcept;

/**
 * True if this VM may send the target a call now. `vms`: that may send to it, heard or not; 0: not
 * known, so that none may be sent. `draw`: from 0 to 1, for a new span.
 */
bool admitsCall(AdvertisedLimit &limit, int vms, double draw, Instant now) noexcept;

/** A call goes to the target. */
void recordSent(AdvertisedLimit &limit, Instant now) noexcept;

} // namespace monsoonbay
