#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/Time.h"

namespace monsoonbay {

/** Why the lease holder of an engine does not start a load. The values are part of the protocol. */
enum class DeclineReason : std::uint8_t {
    Unspecified = 0,
    NoSlot = 1, ///< all slots are in use by calls
    QueueTooLong = 2, ///< too many other loads go first for the caller's time limit
    EngineSilent = 3, ///< the engine does not answer, or refuses commands
    ModelMissing = 4, ///< the base model is not loaded
    NotHolder = 5, ///< the VM that was asked does not hold the lease on the engine
    Loading = 6, ///< not declined: the load is under way and takes longer than one request may wait
};

/** A declined load request. */
struct LoadDecline
{
    DeclineReason reason = DeclineReason::Unspecified;
    Duration retryIn{}; ///< until a load can start, as estimated by the lease holder; zero: unknown

    auto operator<=>(const LoadDecline &) const = default;
};

/** Backoff of a VM at one engine after a declined load request. */
struct LoadBackoff
{
    Instant until{}; ///< no load requests before this time; zero: no backoff
    DeclineReason reason = DeclineReason::Unspecified;
    bool forecast = false; ///< `until` is the lease holder's estimate of when a load can start

    auto operator<=>(const LoadBackoff &) const = default;
};

/** Decodes a value from the wire; unknown values become `Unspecified`. */
DeclineReason declineReasonOf(std::uint64_t value) noexcept;

/** Text for logs. */
std::string_view reasonName(DeclineReason reason) noexcept;

LoadBackoff backoffAfter(const LoadDecline &decline, Instant now) noexcept;

/**
 * True if a call whose load has to start within `begin` must not request it from the engine now.
 */
bool blocksLoadRequest(const LoadBackoff &backoff, Instant now, Duration begin) noexcept;

} // namespace monsoonbay
