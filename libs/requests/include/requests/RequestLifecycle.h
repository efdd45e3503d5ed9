#pragma once

#include <cstdint>
#include <optional>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Properties of a request that decide how it is retried. */
struct RequestTraits
{
    bool idempotent = true;
    bool resumable = true; ///< the target keeps answers by request id (model engines do)
    Instant deadline{};
};

enum class RequestPhase : std::uint8_t {
    Routing, ///< nothing was sent to a target; it has not run
    Dispatched, ///< a byte may have reached a target
    Ended,
};

/** What to do next with a request. */
enum class NextStep : std::uint8_t {
    Route, ///< find a target, now or after `wait`
    Resume, ///< resume the answer at the same target after the last delivered piece
    Answered,
    Refuse, ///< report to the caller that it did not run
    Fail, ///< report to the caller that it ran or may have run
    Drop, ///< ignore: the event belongs to an earlier attempt or an ended request
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
    ErrorKind kind = ErrorKind::Ok; ///< Ok: the target reports a complete answer
    bool dispatched = false; ///< a byte may have reached the target
    std::uint64_t pieces = 0; ///< pieces of the whole answer, if complete
};

/** Limits retries to a share of the requests, so that they cannot amplify an overload. */
struct RetryBudget
{
    double tokensPerRequest = 0.1;
    double maxTokens = 100;
    double tokens = 10;
};

void addRetryTokens(RetryBudget &budget) noexcept;
bool takeRetry(RetryBudget &budget) noexcept;

/** State machine of one request at its entry VM. Deterministic; it does no I/O itself. */
struct RequestLifecycle
{
    RequestTraits traits;
    RequestPhase phase = RequestPhase::Routing;
    std::uint32_t attempt = 0; ///< number of the current attempt
    std::uint32_t redirects = 0; ///< attempts that ended before dispatch and were routed again
    std::uint32_t resumes = 0;
    std::uint64_t delivered = 0; ///< pieces delivered to the caller, in order, each once
    bool headDelivered = false;
    bool everDispatched = false;
    std::uint64_t dropped = 0; ///< late, duplicate or out-of-order pieces
};

/** Begins an attempt; its number marks all events that belong to it. */
std::uint32_t beginAttempt(RequestLifecycle &life);

/** True if this piece is the next one to deliver to the caller; any other is dropped. */
bool takePiece(RequestLifecycle &life, std::uint32_t attempt, std::uint64_t position);

/** Decides the next step after the end of an attempt. */
RequestStep endAttempt(RequestLifecycle &life, const AttemptEnd &end, RetryBudget &budget,
                       Instant now);

/** Ends a request for which no target was found, or that was refused before dispatch. */
RequestStep endRouting(RequestLifecycle &life, ErrorKind kind);

} // namespace monsoonbay
