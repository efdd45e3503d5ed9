#include "serving/LoadDecline.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace monsoonbay {

namespace {

/**
 * Without an estimate: by then updates about the engine's slots from after the decline have
 * arrived.
 */
constexpr Duration defaultRetry = std::chrono::milliseconds(250);

/** Asking again sooner costs more than the wait. */
constexpr Duration minRetry = std::chrono::milliseconds(20);

/** If the lease holder is lost, its estimate is void and the next holder does not know it. */
constexpr Duration maxRetry = std::chrono::milliseconds(1000);

constexpr std::array<std::string_view, 7> reasonNames{
    "not said", "no slot", "queue", "engine silent", "model missing", "not holder", "loading"};

} // namespace

DeclineReason declineReasonOf(std::uint64_t value) noexcept
{
    return value < reasonNames.size() ? static_cast<DeclineReason>(value)
                                      : DeclineReason::Unspecified;
}

std::string_view reasonName(DeclineReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

// No backoff if the lease is held by another VM: that VM is asked as soon as it is known.
LoadBackoff backoffAfter(const LoadDecline &decline, Instant now) noexcept
{
    LoadBackoff backoff;
    backoff.reason = decline.reason;
    if (decline.reason == DeclineReason::NotHolder)
        return backoff;
    backoff.forecast = decline.retryIn > Duration::zero();
    const Duration wait = backoff.forecast ? decline.retryIn : defaultRetry;
    backoff.until = now + std::clamp(wait, minRetry, maxRetry);
    return backoff;
}

// A queue that is too long for one caller may be short enough for another, whose load starts in its
// turn. A missing slot, answer or model affects all callers alike.
bool blocksLoadRequest(const LoadBackoff &backoff, Instant now, Duration begin) noexcept
{
    if (now >= backoff.until)
        return false;
    return backoff.reason != DeclineReason::QueueTooLong || backoff.until - now > begin;
}

} // namespace monsoonbay
