#pragma once

#include <cstdint>
#include <optional>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** What the caller asked for, as far as its life depends on it. */
struct RequestTraits
{
    bool idempotent = true;
    bool resumable = true; ///< the target keeps answers by request id (model engines do)
    Instant deadline{};
};

enum class RequestPhase : std::uint8_t {
    Routing, ///< no byte has left; it has not run
    Dispatched, ///< a byte may have reached a target
    Ended,
};

/** What to do next with a request. */
enum class NextStep : std::uint8_t {
    Route, ///< find a target, now or after `wait`
    Resume, ///< take the answer up at the same target from the last piece delivered
    Answered,
    Refuse, ///< tell the caller it did not run
    Fail, ///< tell the caller it ran or may have run
    Drop, ///< the event belongs to an attempt that is over
};

/** A next step with its reason. */
struct RequestStep
{
    NextStep step = NextStep::Drop;
    ErrorKind kind = ErrorKind::Ok;
    Duration wait{};

    auto operator<=>(const RequestStep &) const = default;
};

/** How one attempt at a target ended. */
struct AttemptEnd
{
    std::uint32_t attempt = 0;
    ErrorKind kind = ErrorKind::Ok; ///< Ok: the target says the answer is complete
    bool dispatched = false; ///< a byte may have reached the target
    std::uint64_t pieces = 0; ///< pieces of the whole answer, if complete
};

/** Retries may add a share to the traffic, so that they cannot multiply an overload. */
struct RetryBudget
{
    double tokensPerRequest = 0.1;
    double maxTokens = 100;
    double tokens = 10;
};

void addRetryTokens(RetryBudget &budget) noexcept;
bool takeRetry(RetryBudget &budget) noexcept;

/** Life of one request at its entry VM. Deterministic; the daemon and the tests drive it. */
struct RequestLifecycle
{
    RequestTraits traits;
    RequestPhase phase = RequestPhase::Routing;
    std::uint32_t attempt = 0; ///< number of the attempt under way
    std::uint32_t redirects = 0;
    std::uint32_t resumes = 0;
    std::uint64_t delivered = 0; ///< pieces given to the caller, in order, once
    bool headDelivered = false;
    bool everDispatched = false;
    std::uint64_t dropped = 0; ///< late, duplicate or crossed pieces
};

/** Begins an attempt; its number marks all events that belong to it. */
std::uint32_t beginAttempt(RequestLifecycle &life);

/** True if this piece is the next one to give to the caller; anything else is dropped. */
bool takePiece(RequestLifecycle &life, std::uint32_t attempt, std::uint64_t position);

/** Judges the end of an attempt. */
RequestStep endAttempt(RequestLifecycle &life, const AttemptEnd &end, RetryBudget &budget,
                       Instant now);

/** Judges that no target could be found, or that the request was refused before dispatch. */
RequestStep endRouting(RequestLifecycle &life, ErrorKind kind);

} // namespace monsoonbay
