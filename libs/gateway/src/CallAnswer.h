#pragma once

#include <functional>

#include "CallRun.h"
#include "StreamRelay.h"
#include "TargetExchange.h"

namespace monsoonbay {

/** An answer that was read whole, to be passed on unless a better one can be had. */
struct KeptAnswer
{
    bool there = false;
    HttpReply reply;
    AnswerEnd end = AnswerEnd::Framing;
};

/** The answer to one call, over all its sends. */
struct CallAnswer
{
    explicit CallAnswer(CallRun &run)
        : relay(run)
    { }

    StreamRelay relay;
    KeptAnswer kept;
    OwnAnswer refusal;
};

/** The request as it goes to a target, or to another VM. */
std::shared_ptr<HttpRequest> requestFor(const CallRun &run, const SendMetadata &facts);

/** What a target is told beside the request, but for its id. */
SendMetadata sendFactsOf(const CallRun &run, const CallAnswer &answer);

/** The call is sent now, to a target or another VM. */
void noteSend(CallRun &run);

/** Reads a whole answer; false if it broke off. */
asio::awaitable<bool> readWhole(TargetExchange &exchange, std::string &body);

/** Passes the answer on whose head has been read; `pieceCame` is called for each piece of a stream.
 */
asio::awaitable<SendEnd> passAnswer(CallRun &run, CallAnswer &answer, TargetExchange &exchange,
                                    const std::function<void()> &pieceCame);

/**
 * The last word to the caller. A stream that has begun can only be broken off, so that it does not
 * look complete; a target's own error goes through unchanged; and "not run" is said only if no
 * target may have run the call.
 */
asio::awaitable<void> giveUp(CallRun &run, CallAnswer &answer, OwnAnswer last);

} // namespace monsoonbay
