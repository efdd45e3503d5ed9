#pragma once

#include <functional>

#include "ActiveCall.h"
#include "CallerStream.h"
#include "TargetExchange.h"

namespace monsoonbay {

/** An answer that was read whole, to be passed on unless a better one can be had. */
struct FallbackAnswer
{
    bool present = false;
    HttpReply reply;
    BodyDelimiter end = BodyDelimiter::SelfDelimited;
};

/** The answer to one call, over all its sends. */
struct CallAnswer
{
    explicit CallAnswer(ActiveCall &call)
        : callerStream(call)
    { }

    CallerStream callerStream;
    FallbackAnswer fallback;
    LocalReply refusal;
};

/** The request as it goes to a target, or to another VM. */
std::shared_ptr<HttpRequest> requestFor(const ActiveCall &call, const SendMetadata &facts);

/** What a target is told beside the request, but for its id. */
SendMetadata sendFactsOf(const ActiveCall &call, const CallAnswer &answer);

/** The call is sent now, to a target or another VM. */
void recordAttempt(ActiveCall &call);

/** Reads a whole answer; false if it broke off. */
asio::awaitable<bool> readFully(TargetExchange &exchange, std::string &body);

/** Passes the answer on whose head has been read; `onPiece` is called for each piece of a stream.
 */
asio::awaitable<AttemptResult> passAnswer(ActiveCall &call, CallAnswer &answer,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece);

/**
 * The last word to the caller. A stream that has begun can only be broken off, so that it does not
 * look complete; a target's own error goes through unchanged; and "not run" is said only if no
 * target may have run the call.
 */
asio::awaitable<void> answerFailure(ActiveCall &call, CallAnswer &answer, LocalReply last);

} // namespace monsoonbay
