#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "AttemptResult.h"
#include "BodyDelimiter.h"
#include "ForwardedCall.h"
#include "GatewayNode.h"
#include "serving/CallMetadata.h"
#include "serving/PromptPrefixes.h"
#include "serving/ServingConfig.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** Time limit of a write to a caller, which is reached if the caller does not read its answer. */
constexpr Duration callerWriteTimeout = std::chrono::seconds(10);

/** The wait of a call for capacity at an engine. */
struct CapacityWait
{
    Instant since{};
    Instant softDeadline{}; ///< from then on other calls go first
    Instant deadline{}; ///< from then on it is refused
    bool waited = false; ///< it did not find capacity at once
    Duration forecast{}; ///< expected wait when it last found no capacity; zero: not known
};

/** What is being done for a call. */
enum class CallStep : std::uint8_t {
    Accepting, ///< it waits for a configuration, or for its key
    Placing, ///< it waits for a target, or for a load there
    Connecting, ///< to its target
    Offering, ///< to other VMs
    Running, ///< it was sent, to a target or another VM
};

/** Why a call was cancelled before it was answered. */
enum class CancelReason : std::uint8_t { None, CallerLeft, TimedOut };

/** The first cancellation of a call. */
struct Cancellation
{
    CancelReason reason = CancelReason::None;
    Instant at{};
    CallStep step = CallStep::Accepting; ///< under way at that time
};

/** One caller's call while it is being served. */
struct ActiveCall
{
    ActiveCall(GatewayNode &node, boost::beast::tcp_stream &caller, HttpRequest request);

    GatewayNode &node;
    boost::beast::tcp_stream &caller;
    /** Receives what the caller sends before its answer; null: that stays unread. */
    boost::beast::flat_buffer *callerBuffer = nullptr;
    std::size_t heldBytes = 0; ///< by the caller's connection, this call included
    std::size_t heldOfAnswer = 0; ///< the part that is there for its answer
    std::size_t heldAhead = 0; ///< the part that is there for what the caller sends ahead
    std::optional<ConnectionId> callerConnection; ///< nothing: what it holds is not limited
    std::shared_ptr<HttpRequest> request; ///< shared with a write that may outlive an attempt
    std::string host;
    std::string path;
    CallMetadata metadata;
    std::shared_ptr<const RouteTable> routes;
    const Route *route = nullptr;
    std::string service;
    std::optional<KeyDigest> key; ///< nullopt: the route needs none
    std::string workspace; ///< the key's; empty: none
    std::int64_t units = 0; ///< charged to the workspace's limit
    Instant unitsChargedAt{};
    Instant arrivedAt;
    Instant deadline;
    std::optional<ForwardedCall> forwarded; ///< set if another VM forwarded the call
    std::optional<std::string> origin; ///< software version that began its stream

    std::vector<std::string> triedTargets; ///< targets of its attempts, unreachable ones included
    int unreachableHere = 0; ///< of these, targets that only this VM does not reach
    bool noPeerAccepts = false; ///< no other VM accepts it
    bool triesHarmful = false; ///< it was found harmful, and shows whether it still is
    std::vector<std::string> loadDeclinedBy; ///< engines that did not load the adapter when asked
    CapacityWait capacityWait;
    std::vector<std::string> prefillAsked; ///< engines that were asked how many tokens wait there
    std::string adapterMissingAt; ///< engine without the adapter that it was believed to hold
    Duration adapterBelieved{}; ///< time for which its latest target was taken to hold the adapter
    NotRunCause notRunCause = NotRunCause::None; ///< of its latest attempt
    std::vector<PromptPrefix> prefixes; ///< of its prompt, if the service has engines
    double cachedTokens = 0; ///< of its prompt, believed to be cached at its latest engine
    int attempts = 0;
    /** Its latest retry, if that may not have arrived yet. */
    std::optional<GrantedRetry> retry;
    bool awaitsRetry = false; ///< it may be sent again once it has a retry
    Duration placementTime{}; ///< time spent on placement, adapter loads included
    int loads = 0; ///< adapter loads that were waited for
    Duration forecast{}; ///< from the choice of the engine to the first event; zero: none
    Instant forecastAt{}; ///< when that engine was chosen
    Instant firstPieceAt{}; ///< first piece passed to the caller; zero: none yet
    Instant lastPieceAt{};
    Duration longestGap{}; ///< between two pieces
    BodyDelimiter bodyDelimiter =
        BodyDelimiter::SelfDelimited; ///< of the last answer read to its end
    std::size_t trailingBytes = 0; ///< bytes of that answer after its last complete event
    bool mayHaveRun = false;
    int runsStarted = 0; ///< runs that may have begun, other VMs' attempts included
    CallStep step = CallStep::Accepting;
    std::string servedBy; ///< target or VM of the attempt under way; empty: none yet
    Cancellation cancellation;
    bool callerDisconnected = false;
    bool timedOut = false;
    bool ended = false;
    bool answerStarted = false;
    bool writingStream = false; ///< a part of a stream is being written to its caller
    bool cannotContinue = false; ///< a part of its answer was passed on that no other run continues
    bool closeConnection = false; ///< the caller's connection is closed after this call
    TargetConnectionPtr connection; ///< of the attempt under way; closed to cancel it

    bool cancelled() const noexcept
    {
        return this->callerDisconnected || this->timedOut;
    }
};

using ActiveCallPtr = std::shared_ptr<ActiveCall>;

/** Equal for calls that repeat the same work; see CallIdentity. */
CallIdentity identityOf(const ActiveCall &call);

/** Address of the caller, also behind a forwarding VM; the unspecified one if it has gone. */
std::string callerAddressOf(const ActiveCall &call);

/** True if the caller sent a body, even an empty one. */
bool hasBody(const ActiveCall &call);

/** Records the time of a piece of the answer that is passed to the caller now. */
void recordPiece(ActiveCall &call);

/** Time until the deadline, never negative. */
Duration timeLeft(const ActiveCall &call);

/**
 * An answer of this VM instead of a target's. `notRun` in its body promises that the call has not
 * run and never will.
 */
struct LocalReply
{
    int status = 503;
    std::string reason; ///< short, for callers and logs
    Duration retryAfter{}; ///< zero: none
    Duration forecast{}; ///< expected wait for capacity; zero: not known
};

LocalReply makeLocalReply(int status, std::string reason, Duration retryAfter);

/** Sends an answer of this VM to the caller and logs the reason. */
asio::awaitable<void> sendLocalReply(ActiveCall &call, LocalReply answer);

/**
 * Writes a complete answer to the caller; false if the write failed. A VM that forwarded the call
 * is told `outcome` and `delimiter`; to a caller, an answer that only its connection delimited is
 * delimited in the same way.
 */
asio::awaitable<bool> writeAnswer(ActiveCall &call, HttpReply reply,
                                  ForwardOutcome outcome = ForwardOutcome::FromTarget,
                                  BodyDelimiter delimiter = BodyDelimiter::SelfDelimited);

/**
 * From now on any close of the caller's connection resets it. To be called before an answer that
 * the end of the connection delimits: the caller would take a truncated one for complete.
 */
void resetOnClose(ActiveCall &call);

/** All of that answer was written: from now on the connection is closed gracefully again. */
void stopResetOnClose(ActiveCall &call);

/** Resets the caller's connection, which shows the caller that its answer is truncated. */
void abortAnswer(ActiveCall &call);

} // namespace monsoonbay
