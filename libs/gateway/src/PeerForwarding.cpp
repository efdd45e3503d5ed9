#include "PeerForwarding.h"

#include <algorithm>

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include "CallerAuthentication.h"
#include "LinkWatch.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

/** One hop between two VMs and back takes a few ms; a frozen one does not answer. */
constexpr Duration offerPatience = std::chrono::milliseconds(150);

/** With half of all VMs cut off, one call in sixteen meets no other one. */
constexpr int mostOffers = 4;

/** A VM that is cut off, stopping or silent stays so for a while. */
constexpr Duration afterRefusal = std::chrono::milliseconds(1000);
/** One that has many calls, or reads its configuration, soon has room again. */
constexpr Duration afterBusy = std::chrono::milliseconds(100);

/** A call takes another way after this many targets that only this VM does not reach. */
constexpr int leastUnreached = 2;

/** Forwarded calls that a VM takes beside a few, for each of its own. */
constexpr int forwardedForEachOwn = 8;
constexpr int forwardedAtLeast = 16;

constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** Where another VM takes forwarded calls: at the same port as this one. */
Endpoint forwardsOf(const GatewayNode &node, const Endpoint &peer)
{
    return {peer.address, node.settings.forwards->port};
}

Duration restAfter(ForwardRefusal refusal)
{
    const bool brief = refusal == ForwardRefusal::Busy || refusal == ForwardRefusal::ConfigMismatch;
    return brief ? afterBusy : afterRefusal;
}

// A VM may have lost its links to one service and serve another.
bool isLeftOut(const GatewayNode &node, const Endpoint &peer, const std::string &service)
{
    const auto known = node.forwardPeers.find(peer);
    if (known == node.forwardPeers.end())
        return false;
    const auto until = known->second.notBefore.find(service);
    return until != known->second.notBefore.end() && until->second > BootClock::now();
}

/** Some VM that may take a call, drawn evenly; nothing: there is none. */
std::optional<Endpoint> drawPeer(GatewayNode &node, const std::string &service,
                                 const std::vector<Endpoint> &tried, bool leftOutToo)
{
    std::optional<Endpoint> drawn;
    std::size_t seen = 0;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.name.empty() || peer.stopping)
            continue;
        const Endpoint forwards = forwardsOf(node, endpoint);
        if (std::find(tried.begin(), tried.end(), forwards) != tried.end())
            continue;
        if (!leftOutToo && isLeftOut(node, forwards, service))
            continue;
        ++seen;
        if (std::uniform_int_distribution<std::size_t>(1, seen)(node.random) == 1)
            drawn = forwards;
    }
    return drawn;
}

ForwardedCall forwardedCallOf(const ActiveCall &run)
{
    ForwardedCall call;
    call.configVersion = run.routes->config().version;
    call.service = run.service;
    call.workspace = run.workspace;
    call.key = run.key;
    call.units = run.units;
    call.callerAddress = callerAddressOf(run);
    call.waited = BootClock::now() - run.arrivedAt;
    call.runs = run.runsStarted;
    call.hasBody = hasBody(run);
    call.origin = run.origin;
    return call;
}

/** The request, so that the receiver cannot run it before all of it was sent. */
std::shared_ptr<HttpRequest> offerFor(const ActiveCall &run, const CallAnswer &answer)
{
    std::shared_ptr<HttpRequest> request = requestFor(run, sendFactsOf(run, answer));
    request->erase(http::field::content_length);
    request->chunked(true);
    request->set(http::field::expect, "100-continue");
    writeForwardedCall(*request, forwardedCallOf(run));
    return request;
}

/** The answer of the other VM itself, as this one gives it on. */
LocalReply localReplyFrom(const TargetExchange &exchange, const std::string &body)
{
    const nlohmann::json problem = nlohmann::json::parse(body, nullptr, false);
    const bool named = problem.is_object() && problem.contains("title");
    LocalReply own = makeLocalReply(exchange.status(),
                                    named ? problem.value("title", std::string()) : "not taken",
                                    Duration::zero());
    const auto seconds = exchange.head()[http::field::retry_after];
    if (!seconds.empty())
        own.retryAfter = fromSeconds(std::strtod(std::string(seconds).c_str(), nullptr));
    return own;
}

void noteOffer(GatewayNode &node, const ActiveCall &run, const Endpoint &peer, OfferResult end,
               ForwardRefusal refusal)
{
    ForwardPeer &known = node.forwardPeers[peer];
    if (end == OfferResult::Accepted) {
        known.notBefore.erase(run.service);
        node.metrics.add(Counter::CallsForwarded);
    } else {
        known.notBefore[run.service] = BootClock::now() + restAfter(refusal);
        node.metrics.add(Counter::ForwardsRefused);
    }
    const bool silent = end == OfferResult::NoReply;
    logEvent(EventId::CallForwarded,
             {{"call", run.facts.attemptId},
              {"service", run.service},
              {"why", areLinksLost(node, run.service) ? "links lost" : "targets not reached"},
              {"peer", peer.text()},
              {"taken", end == OfferResult::Accepted ? "yes" : "no"},
              {"refusal", std::string(silent ? "silent" : refusalName(refusal))}});
}

/** Passes on the answer of a VM that has taken the call. */
asio::awaitable<AttemptResult> passForwarded(ActiveCall &run, CallAnswer &answer,
                                             TargetExchange &exchange)
{
    const bool mayHaveRunBefore = run.mayHaveRun;
    recordAttempt(run);
    ++run.runsStarted;
    run.mayHaveRun = true;
    const bool headed = co_await exchange.sendOfferedBody();
    if (!headed)
        co_return AttemptResult::Broken;
    const ForwardReport report = readForwardReport(exchange.head());
    run.runsStarted = std::max(run.runsStarted, report.runs);
    if (report.outcome == ForwardOutcome::FromTarget) {
        const bool spoiled = exchange.status() < 300 && !exchange.facts().authentic;
        if (spoiled) {
            exchange.abandon();
            co_return AttemptResult::Broken;
        }
        const std::function<void()> onPiece = [] {
        };
        co_return co_await passAnswer(run, answer, exchange, onPiece);
    }
    std::string body;
    const bool whole = co_await readFully(exchange, body);
    if (!whole || report.outcome == ForwardOutcome::MayHaveRun)
        co_return AttemptResult::Broken;
    run.mayHaveRun = mayHaveRunBefore;
    run.runsStarted = report.runs;
    answer.refusal = localReplyFrom(exchange, body);
    co_return AttemptResult::Refused;
}

} // namespace

bool shouldForwardToPeer(const ActiveCall &run)
{
    if (run.forwarded || !run.node.settings.forwards)
        return false;
    if (areLinksLost(run.node, run.service))
        return true;
    return run.unreachableHere >= leastUnreached && !run.noPeerAccepts;
}

asio::awaitable<AttemptResult> forwardCall(ActiveCall &run, CallAnswer &answer)
{
    GatewayNode &node = run.node;
    answer.refusal = makeLocalReply(
        503, "this VM does not reach the targets, and no other VM takes calls", shortRetryAfter);
    std::vector<Endpoint> tried;
    for (int offer = 0; offer < mostOffers && !run.cancelled(); ++offer) {
        std::optional<Endpoint> peer = drawPeer(node, run.service, tried, false);
        // With few VMs all may be left out for a moment; a refusal is an answer of a few ms.
        if (!peer)
            peer = drawPeer(node, run.service, tried, true);
        if (!peer)
            break;
        tried.push_back(*peer);
        TargetExchange exchange(node, *peer, run.facts.attemptId);
        OfferResult end = OfferResult::NoReply;
        const bool connected = co_await exchange.connect();
        if (connected && !run.cancelled()) {
            run.connection = exchange.connection();
            end = co_await exchange.offer(offerFor(run, answer), offerPatience);
        }
        if (run.cancelled())
            co_return AttemptResult::Refused;
        const ForwardRefusal refusal = end == OfferResult::Declined
            ? parseForwardRefusal(exchange.head())
            : ForwardRefusal::None;
        noteOffer(node, run, *peer, end, refusal);
        if (end != OfferResult::Accepted)
            continue;
        std::optional<LocalReply> keyRefusal = recheckKey(run);
        if (keyRefusal) {
            exchange.abandon();
            answer.refusal = std::move(*keyRefusal);
            co_return AttemptResult::Refused;
        }
        co_return co_await passForwarded(run, answer, exchange);
    }
    run.noPeerAccepts = true;
    co_return areLinksLost(node, run.service) ? AttemptResult::Refused : AttemptResult::Unreachable;
}

ForwardRefusal admitForwarded(const GatewayNode &node, const std::optional<ForwardedCall> &call)
{
    if (!call)
        return ForwardRefusal::Malformed;
    if (node.shuttingDown)
        return ForwardRefusal::Stopping;
    if (areLinksLost(node, call->service))
        return ForwardRefusal::LinksLost;
    if (call->configVersion != node.routes->config().version)
        return ForwardRefusal::ConfigMismatch;
    const int own = node.callsInFlight - node.forwardedInFlight;
    if (node.forwardedInFlight >= forwardedAtLeast + forwardedForEachOwn * own)
        return ForwardRefusal::Busy;
    return ForwardRefusal::None;
}

} // namespace monsoonbay
