#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

#include "GatewayNode.h"
#include "serving/CallFacts.h"
#include "serving/ServingConfig.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** A caller that takes nothing of its answer for this long is given up. */
constexpr Duration writePatience = std::chrono::seconds(10);

/** One caller's call while it is being served. */
struct CallRun
{
    CallRun(GatewayNode &node, boost::beast::tcp_stream &caller, HttpRequest request);

    GatewayNode &node;
    boost::beast::tcp_stream &caller;
    std::shared_ptr<HttpRequest> request; ///< shared with a write that may outlive an attempt
    std::string host;
    std::string path;
    CallFacts facts;
    std::shared_ptr<const RouteTable> routes;
    const Route *route = nullptr;
    std::string service;
    std::optional<KeyDigest> key; ///< nothing: the route needs none
    std::string workspace; ///< that holds the key; empty: nobody's call
    std::int64_t units = 0; ///< that the call counts against its workspace's limit
    Instant unitsTakenAt{};
    Instant arrivedAt;
    Instant deadline;

    std::vector<std::string> tried; ///< targets that were sent to, or could not be reached
    std::vector<std::string> unloadable; ///< engines that will not load the adapter now
    std::vector<std::string> prefillAsked; ///< engines whose holder was asked what waits there
    std::string missedAt; ///< engine that lacked the adapter which it was taken to hold
    int sends = 0;
    Duration placing{}; ///< time spent on finding targets, loads included
    int loads = 0; ///< adapter loads that were waited for
    Instant firstPieceAt{}; ///< of the answer, towards the caller; zero: none yet
    Instant lastPieceAt{};
    Duration longestGap{}; ///< between two pieces
    bool mayHaveRun = false;
    bool callerGone = false;
    bool timedOut = false;
    bool ended = false;
    bool answerBegun = false;
    bool closeAfter = false; ///< the caller's connection ends with this call
    TargetConnectionPtr connection; ///< of the attempt under way; closed to cancel it

    bool cancelled() const noexcept
    {
        return this->callerGone || this->timedOut;
    }
};

using CallRunPtr = std::shared_ptr<CallRun>;

/** Whether it is the same work as another call; see CallIdentity. */
CallIdentity identityOf(const CallRun &run);

/** A piece of the answer goes to the caller now. */
void notePiece(CallRun &run);

/** Time until the deadline, never negative. */
Duration timeLeft(const CallRun &run);

/** Ends what is under way for the call, whoever waits for it. */
void cancelRun(CallRun &run);

/** Notices a caller that closes its connection while its call is being served. */
void watchCaller(const CallRunPtr &run);

/** An answer of our own. `notRun` promises that the call has not run and never will. */
struct OwnAnswer
{
    int status = 503;
    std::string reason; ///< short, for callers and logs
    Duration retryAfter{}; ///< zero: none
};

OwnAnswer ownAnswer(int status, std::string reason, Duration retryAfter);

/** Answers by ourselves and logs why. */
asio::awaitable<void> answerOwn(CallRun &run, OwnAnswer answer);

/** Writes a whole answer to the caller; false if the caller cannot be reached. */
asio::awaitable<bool> writeAnswer(CallRun &run, HttpReply reply);

} // namespace monsoonbay
