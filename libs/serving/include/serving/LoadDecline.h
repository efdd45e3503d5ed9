#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/Time.h"

namespace monsoonbay {

/** Why the holder of an engine does not begin a load. The values go over the wire. */
enum class DeclineReason : std::uint8_t {
    Unspecified = 0,
    NoSlot = 1, ///< calls use every slot
    QueueTooLong = 2, ///< other loads are ordered first, until it is too late for the caller
    EngineSilent = 3, ///< the engine does not answer or refuses orders
    ModelMissing = 4, ///< its base model is not there
    NotHolder = 5, ///< the VM that was asked may not order the engine
};

/** A load that was declined. */
struct LoadDecline
{
    DeclineReason reason = DeclineReason::Unspecified;
    Duration retryIn{}; ///< until a load could begin, as the holder expects; zero: not known

    auto operator<=>(const LoadDecline &) const = default;
};

/** Until when a VM asks for no load at an engine, after one was declined there. */
struct LoadBackoff
{
    Instant until{}; ///< zero: it may ask
    DeclineReason reason = DeclineReason::Unspecified;
    bool forecast = false; ///< the holder expects that a load could begin then

    auto operator<=>(const LoadBackoff &) const = default;
};

/** A value from the wire; one that is not known here counts as not said. */
DeclineReason declineReasonOf(std::uint64_t value) noexcept;

/** For logs. */
std::string_view reasonName(DeclineReason reason) noexcept;

LoadBackoff backoffAfter(const LoadDecline &decline, Instant now) noexcept;

/** True if the engine is not to be asked now by a call that a load has to begin for in `begin`. */
bool blocksLoadRequest(const LoadBackoff &mark, Instant now, Duration begin) noexcept;

} // namespace monsoonbay
