#include "PeerForwarding.h"

#include <algorithm>

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include "CallCancellation.h"
#include "CallRetries.h"
#include "CallerAuthentication.h"
#include "LinkWatch.h"
#include "observe/Events.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

/** A round trip between two VMs takes a few ms; a frozen VM does not answer. */
constexpr Duration offerTimeout = std::chrono::milliseconds(150);

/** With half of all VMs cut off from the targets, one call in sixteen finds no other VM. */
constexpr int maxOffers = 4;

/** Backoff from a VM that is cut off, stopping or silent, as it stays so for a while. */
constexpr Duration refusalBackoff = std::chrono::milliseconds(1000);
/** Backoff from a VM that has many calls or reads its configuration, as it soon accepts again. */
constexpr Duration busyBackoff = std::chrono::milliseconds(100);

/** A call is forwarded after this many targets that only this VM does not reach. */
constexpr int minUnreachable = 2;

/**
 * Forwarded calls that a VM accepts: so many for each of its own, and in any case as many as
 * several VMs have in flight, as it may have few of its own at night, after its start or before its
 * end.
 */
constexpr int forwardedPerOwnCall = 8;
constexpr int minForwarded = 64;

/** A VM that shuts down accepts calls that end within this time; most answers take less. */
constexpr Duration minTimeToFinish = std::chrono::milliseconds(2000);

constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** Where another VM accepts forwarded calls: at the same port as this one. */
Endpoint forwardAddressOf(const GatewayNode &node, const Endpoint &peer)
{
    return {peer.address, node.settings.forwards->port};
}

Duration offerBackoff(ForwardRefusal refusal)
{
    const bool brief = refusal == ForwardRefusal::Busy || refusal == ForwardRefusal::ConfigMismatch;
    return brief ? busyBackoff : refusalBackoff;
}

// By service: a VM may have lost its links to one service and still reach another.
bool isBackedOff(const GatewayNode &node, const Endpoint &peer, const std::string &service)
{
    const auto known = node.forwardPeers.find(peer);
    if (known == node.forwardPeers.end())
        return false;
    const auto until = known->second.notBefore.find(service);
    return until != known->second.notBefore.end() && until->second > BootClock::now();
}

/** How likely a VM is to accept a call; the best come first. */
enum class OfferRank : std::uint8_t {
    Likely,
    Stopping, ///< it accepts calls that it can finish before it ends
    BackedOff, ///< it refused one a moment ago; another refusal takes just a few ms
};

OfferRank offerRank(const GatewayNode &node, const PeerState &peer, const Endpoint &forwards,
                    const std::string &service)
{
    if (isBackedOff(node, forwards, service))
        return OfferRank::BackedOff;
    return peer.stopping ? OfferRank::Stopping : OfferRank::Likely;
}

/** A VM of the best rank, drawn uniformly (reservoir sampling); nullopt if all were tried. */
std::optional<Endpoint> pickPeer(GatewayNode &node, const std::string &service,
                                 const std::vector<Endpoint> &tried)
{
    std::optional<Endpoint> picked;
    OfferRank best = OfferRank::BackedOff;
    std::size_t candidates = 0;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.name.empty())
            continue;
        const Endpoint forwards = forwardAddressOf(node, endpoint);
        if (std::find(tried.begin(), tried.end(), forwards) != tried.end())
            continue;
        const OfferRank rank = offerRank(node, peer, forwards, service);
        if (rank > best)
            continue;
        candidates = rank < best ? 1 : candidates + 1;
        best = rank;
        if (std::uniform_int_distribution<std::size_t>(1, candidates)(node.random) == 1)
            picked = forwards;
    }
    return picked;
}

ForwardedCall forwardedCallOf(const ActiveCall &call)
{
    ForwardedCall forwardedCall;
    forwardedCall.configVersion = call.routes->config().version;
    forwardedCall.service = call.service;
    forwardedCall.workspace = call.workspace;
    forwardedCall.key = call.key;
    forwardedCall.units = call.units;
    forwardedCall.callerAddress = callerAddressOf(call);
    forwardedCall.waited = BootClock::now() - call.arrivedAt;
    forwardedCall.runs = call.runsStarted;
    forwardedCall.hasBody = hasBody(call);
    forwardedCall.origin = call.origin;
    return forwardedCall;
}

/** The request in chunks, so that the receiver cannot run it before all of it was sent. */
std::shared_ptr<TargetRequest> buildOffer(const ActiveCall &call, const CallAnswer &answer)
{
    std::shared_ptr<TargetRequest> request = requestFor(call, sendMetadataOf(call, answer));
    request->erase(http::field::content_length);
    request->chunked(true);
    request->set(http::field::expect, "100-continue");
    writeForwardedCall(*request, forwardedCallOf(call));
    return request;
}

/** The other VM's own answer, as this VM passes it on. */
LocalReply localReplyFrom(const TargetExchange &exchange, const std::string &body)
{
    const nlohmann::json problem = parseJson(body);
    LocalReply own = makeLocalReply(
        exchange.status(), valueOr(problem, "title", std::string("refused")), Duration::zero());
    const auto seconds = exchange.head()[http::field::retry_after];
    if (!seconds.empty())
        own.retryAfter = fromSeconds(std::strtod(std::string(seconds).c_str(), nullptr));
    return own;
}

Counter refusalCounter(ForwardRefusal refusal)
{
    switch (refusal) {
    case ForwardRefusal::Malformed:
        return Counter::ForwardsRefusedMalformed;
    case ForwardRefusal::Stopping:
        return Counter::ForwardsRefusedStopping;
    case ForwardRefusal::LinksLost:
        return Counter::ForwardsRefusedLinksLost;
    case ForwardRefusal::ConfigMismatch:
        return Counter::ForwardsRefusedConfig;
    case ForwardRefusal::Busy:
        return Counter::ForwardsRefusedBusy;
    case ForwardRefusal::None:
        break;
    }
    return Counter::ForwardsRefusedSilent;
}

void recordOffer(GatewayNode &node, const ActiveCall &call, const Endpoint &peer, OfferResult end,
                 ForwardRefusal refusal)
{
    ForwardPeer &known = node.forwardPeers[peer];
    if (end == OfferResult::Accepted) {
        known.notBefore.erase(call.service);
        node.metrics.add(Counter::CallsForwarded);
    } else {
        known.notBefore[call.service] = BootClock::now() + offerBackoff(refusal);
        node.metrics.add(Counter::ForwardsRefused);
        node.metrics.add(refusalCounter(refusal));
    }
    const bool silent = end == OfferResult::NoReply;
    logEvent(EventId::CallForwarded,
             {{"call", call.metadata.attemptId},
              {"service", call.service},
              {"why", areLinksLost(node, call.service) ? "links lost" : "targets not reached"},
              {"peer", peer.text()},
              {"taken", end == OfferResult::Accepted ? "yes" : "no"},
              {"refusal", std::string(silent ? "silent" : refusalName(refusal))}});
}

/** Passes on the answer of a VM that has accepted the call. */
asio::awaitable<AttemptResult> passForwarded(ActiveCall &call, CallAnswer &answer,
                                             TargetExchange &exchange)
{
    const bool mayHaveRunBefore = call.mayHaveRun;
    call.step = CallStep::Running;
    recordAttempt(call);
    ++call.runsStarted;
    call.mayHaveRun = true;
    const bool headReceived = co_await exchange.sendOfferedBody();
    recordArrival(call);
    if (!headReceived)
        co_return AttemptResult::Broken;
    const ForwardReport report = readForwardReport(exchange.head());
    call.runsStarted = std::max(call.runsStarted, report.runs);
    if (report.outcome == ForwardOutcome::FromTarget) {
        const bool inauthentic = exchange.status() < 300 && !exchange.metadata().authentic;
        if (inauthentic) {
            exchange.abandon();
            co_return AttemptResult::Broken;
        }
        const std::function<void()> onPiece = [] {
        };
        co_return co_await passAnswer(call, answer, exchange, onPiece);
    }
    std::string body;
    const BodyEnd end = co_await readFully(call, exchange, body);
    if (end != BodyEnd::Complete)
        exchange.abandon();
    if (end != BodyEnd::Complete || report.outcome == ForwardOutcome::MayHaveRun)
        co_return AttemptResult::Broken;
    call.mayHaveRun = mayHaveRunBefore;
    call.runsStarted = report.runs;
    answer.refusal = localReplyFrom(exchange, body);
    co_return AttemptResult::Refused;
}

} // namespace

bool shouldForwardToPeer(const ActiveCall &call)
{
    if (call.forwarded || !call.node.settings.forwards)
        return false;
    if (areLinksLost(call.node, call.service))
        return !shouldServeItself(call.node, call.service);
    return call.unreachableHere >= minUnreachable && !call.noPeerAccepts;
}

asio::awaitable<AttemptResult> forwardCall(ActiveCall &call, CallAnswer &answer)
{
    GatewayNode &node = call.node;
    answer.refusal = makeLocalReply(
        503, "this VM does not reach the targets, and no other VM takes calls", shortRetryAfter);
    std::vector<Endpoint> tried;
    for (int offer = 0; offer < maxOffers && !call.cancelled(); ++offer) {
        const std::optional<Endpoint> peer = pickPeer(node, call.service, tried);
        if (!peer)
            break;
        tried.push_back(*peer);
        call.step = CallStep::Offering;
        call.servedBy = peer->text();
        TargetExchange exchange(node, *peer, call.metadata.attemptId);
        OfferResult end = OfferResult::NoReply;
        const bool connected = co_await exchange.connect();
        if (connected && !checkCancelled(call)) {
            call.connection = exchange.connection();
            end = co_await exchange.offer(buildOffer(call, answer), offerTimeout);
        }
        if (checkCancelled(call))
            co_return AttemptResult::Refused;
        const ForwardRefusal refusal = end == OfferResult::Declined
            ? parseForwardRefusal(exchange.head())
            : ForwardRefusal::None;
        recordOffer(node, call, *peer, end, refusal);
        if (end != OfferResult::Accepted)
            continue;
        std::optional<LocalReply> keyRefusal = recheckKey(call);
        if (keyRefusal) {
            exchange.abandon();
            answer.refusal = std::move(*keyRefusal);
            co_return AttemptResult::Refused;
        }
        co_return co_await passForwarded(call, answer, exchange);
    }
    call.noPeerAccepts = true;
    node.metrics.add(Counter::ForwardsUnplaced);
    recordNoPeer(node, call.service);
    const bool reachesNone =
        areLinksLost(node, call.service) && !shouldServeItself(node, call.service);
    co_return reachesNone ? AttemptResult::Refused : AttemptResult::Unreachable;
}

ForwardRefusal admitForwarded(const GatewayNode &node,
                              const std::optional<ForwardedCall> &forwardedCall)
{
    if (!forwardedCall)
        return ForwardRefusal::Malformed;
    if (node.shuttingDown && BootClock::now() + minTimeToFinish > node.callsEndBy)
        return ForwardRefusal::Stopping;
    if (areLinksLost(node, forwardedCall->service))
        return ForwardRefusal::LinksLost;
    if (forwardedCall->configVersion != node.routes->config().version)
        return ForwardRefusal::ConfigMismatch;
    const int own = node.callsInFlight - node.forwardedInFlight;
    if (node.forwardedInFlight >= minForwarded + forwardedPerOwnCall * own)
        return ForwardRefusal::Busy;
    return ForwardRefusal::None;
}

} // namespace monsoonbay
