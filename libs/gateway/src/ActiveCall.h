#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

#include "BodyDelimiter.h"
#include "ForwardedCall.h"
#include "GatewayNode.h"
#include "serving/CallMetadata.h"
#include "serving/PromptPrefixes.h"
#include "serving/ServingConfig.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** A caller that takes nothing of its answer for this long is given up. */
constexpr Duration callerWriteTimeout = std::chrono::seconds(10);

/** The wait of a call for a place at an engine. */
struct CapacityWait
{
    Instant since{};
    Instant softDeadline{}; ///< then others go first
    Instant deadline{}; ///< then it is refused
    bool waited = false; ///< it has found no place at once
    Duration forecast{}; ///< until a place was expected when it last found none; zero: not known
};

/** One caller's call while it is being served. */
struct ActiveCall
{
    ActiveCall(GatewayNode &node, boost::beast::tcp_stream &caller, HttpRequest request);

    GatewayNode &node;
    boost::beast::tcp_stream &caller;
    std::shared_ptr<HttpRequest> request; ///< shared with a write that may outlive an attempt
    std::string host;
    std::string path;
    CallMetadata facts;
    std::shared_ptr<const RouteTable> routes;
    const Route *route = nullptr;
    std::string service;
    std::optional<KeyDigest> key; ///< nothing: the route needs none
    std::string workspace; ///< that holds the key; empty: nobody's call
    std::int64_t units = 0; ///< that the call counts against its workspace's limit
    Instant unitsChargedAt{};
    Instant arrivedAt;
    Instant deadline;
    std::optional<ForwardedCall> forwarded; ///< by another VM
    std::optional<std::string> origin; ///< version of software that began its stream

    std::vector<std::string> triedTargets; ///< targets that were sent to, or could not be reached
    int unreachableHere = 0; ///< of these, that other VMs reach
    bool noPeerAccepts = false; ///< no other VM takes it
    std::vector<std::string> loadDeclinedBy; ///< engines that will not load the adapter now
    CapacityWait capacityWait;
    std::vector<std::string> prefillAsked; ///< engines whose holder was asked what waits there
    std::string adapterMissingAt; ///< engine that lacked the adapter which it was taken to hold
    std::vector<PromptPrefix> prefixes; ///< of its prompt, if it goes to engines
    double cachedTokens = 0; ///< of its prompt, believed to be at the engine it was sent to last
    int attempts = 0;
    std::optional<Instant> retryTakenAt; ///< right to a further send that is still to be used
    Duration placementTime{}; ///< time spent on finding targets, loads included
    int loads = 0; ///< adapter loads that were waited for
    Duration forecast{}; ///< expected from the choice of the engine to the first event; zero: none
    Instant forecastAt{}; ///< when that engine was chosen
    Instant firstPieceAt{}; ///< of the answer, towards the caller; zero: none yet
    Instant lastPieceAt{};
    Duration longestGap{}; ///< between two pieces
    BodyDelimiter bodyDelimiter =
        BodyDelimiter::SelfDelimited; ///< by the last answer of a target that ended
    std::size_t trailingBytes = 0; ///< bytes of that answer after its last whole event
    bool mayHaveRun = false;
    int runsStarted = 0; ///< that may have begun, here and at other VMs
    bool callerDisconnected = false;
    bool timedOut = false;
    bool ended = false;
    bool answerStarted = false;
    bool closeConnection = false; ///< the caller's connection ends with this call
    TargetConnectionPtr connection; ///< of the attempt under way; closed to cancel it

    bool cancelled() const noexcept
    {
        return this->callerDisconnected || this->timedOut;
    }
};

using ActiveCallPtr = std::shared_ptr<ActiveCall>;

/** Whether it is the same work as another call; see CallIdentity. */
CallIdentity identityOf(const ActiveCall &call);

/** Where the call's own caller is; empty if it has gone. */
std::string callerAddressOf(const ActiveCall &call);

/** True if the caller sent a body, if only an empty one. */
bool hasBody(const ActiveCall &call);

/** A piece of the answer goes to the caller now. */
void recordPiece(ActiveCall &call);

/** Time until the deadline, never negative. */
Duration timeLeft(const ActiveCall &call);

/** Ends what is under way for the call, whoever waits for it. */
void cancelActiveCall(ActiveCall &call);

/** Notices a caller that closes its connection while its call is being served. */
void watchCaller(const ActiveCallPtr &call);

/** An answer of our own. `notRun` promises that the call has not run and never will. */
struct LocalReply
{
    int status = 503;
    std::string reason; ///< short, for callers and logs
    Duration retryAfter{}; ///< zero: none
    Duration forecast{}; ///< until a place was expected; zero: not known
};

LocalReply makeLocalReply(int status, std::string reason, Duration retryAfter);

/** Answers by ourselves and logs why. */
asio::awaitable<void> sendLocalReply(ActiveCall &call, LocalReply answer);

/**
 * Writes a whole answer to the caller; false if the caller cannot be reached. A VM that forwarded
 * the call learns `outcome` and `end`; a caller whose answer has no end shown gets none shown.
 */
asio::awaitable<bool> writeAnswer(ActiveCall &call, HttpReply reply,
                                  ForwardOutcome outcome = ForwardOutcome::FromTarget,
                                  BodyDelimiter end = BodyDelimiter::SelfDelimited);

/**
 * From now on the caller's connection is reset if it ends, whatever ends it. To be called before an
 * answer that ends with its connection: its caller would take a cut for the end.
 */
void resetOnClose(ActiveCall &call);

/** All of that answer was written: the connection may end in order. */
void closeOrderly(ActiveCall &call);

/** Cuts the answer that is being written, so that its caller sees that it was cut. */
void abortAnswer(ActiveCall &call);

} // namespace monsoonbay
