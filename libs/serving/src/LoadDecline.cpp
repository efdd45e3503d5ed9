#include "serving/LoadDecline.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace monsoonbay {

namespace {

/** Without a forecast: by then there is news of the engine's slots from after the decline. */
constexpr Duration unknownRetry = std::chrono::milliseconds(250);

/** Asking again sooner costs more than the wait. */
constexpr Duration leastRetry = std::chrono::milliseconds(20);

/** A holder that goes meanwhile takes its forecast with it; the next one knows nothing of it. */
constexpr Duration longestRetry = std::chrono::milliseconds(1000);

constexpr std::array<std::string_view, 6> reasonNames{
    "not said", "no slot", "queue", "engine silent", "model missing", "not holder"};

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

// An engine whose holder turned out to be another VM is asked as soon as that one is known.
LoadBackoff backoffAfter(const LoadDecline &decline, Instant now) noexcept
{
    LoadBackoff mark;
    mark.reason = decline.reason;
    if (decline.reason == DeclineReason::NotHolder)
        return mark;
    mark.forecast = decline.retryIn > Duration::zero();
    const Duration wait = mark.forecast ? decline.retryIn : unknownRetry;
    mark.until = now + std::clamp(wait, leastRetry, longestRetry);
    return mark;
}

// A queue that is too long for one caller may be short enough for another, whose load begins in its
// turn. A slot, an answer or a model that is missing is so for all.
bool blocksLoadRequest(const LoadBackoff &mark, Instant now, Duration begin) noexcept
{
    if (now >= mark.until)
        return false;
    return mark.reason != DeclineReason::QueueTooLong || mark.until - now > begin;
}

} // namespace monsoonbay
