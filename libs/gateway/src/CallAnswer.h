#pragma once

#include <functional>

#include "ActiveCall.h"
#include "CallerStream.h"
#include "TargetExchange.h"

namespace monsoonbay {

/** A target's complete error answer, sent to the caller unless a later attempt does better. */
struct FallbackAnswer
{
    bool present = false;
    HttpReply reply;
    BodyDelimiter delimiter = BodyDelimiter::SelfDelimited;
};

/** The answer to one call, over all its attempts. */
struct CallAnswer
{
    explicit CallAnswer(ActiveCall &call)
        : callerStream(call)
    { }

    CallerStream callerStream;
    FallbackAnswer fallback;
    LocalReply refusal;
};

/** The request to a target or to another VM: the caller's, with `metadata` in its headers. */
std::shared_ptr<TargetRequest> requestFor(const ActiveCall &call, const SendMetadata &metadata);

/** Metadata for the next attempt; the id of the target is left to set. */
SendMetadata sendMetadataOf(const ActiveCall &call, const CallAnswer &answer);

/** How the reading of a whole body ended. */
enum class BodyEnd : std::uint8_t {
    Complete,
    Broken, ///< it broke off
    TooLong, ///< there is more than may be held
};

/** Reads a body to its end, or until more was read than may be held of an answer. */
asio::awaitable<BodyEnd> readFully(ActiveCall &call, TargetExchange &exchange, std::string &body);

/** Passes on the answer whose head was read; calls `onPiece` for each piece of a stream. */
asio::awaitable<AttemptResult> passAnswer(ActiveCall &call, CallAnswer &answer,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece);

/**
 * Ends a call that no attempt completed. A stream that has begun is aborted, so that it does not
 * look complete; a target's own error is passed on unchanged; and `notRun` is promised only if no
 * target may have run the call.
 */
asio::awaitable<void> answerFailure(ActiveCall &call, CallAnswer &answer, LocalReply last);

} // namespace monsoonbay
