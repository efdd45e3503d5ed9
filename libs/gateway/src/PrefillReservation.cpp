#include "PrefillReservation.h"

#include <algorithm>
#include <limits>

#include "LeaseKeeping.h"
#include "RelayLoops.h"
#include "SharedEngines.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** News older than this share of an objective are too old to place a call by. */
constexpr double newsShare = 0.125;

/** An answer takes a few ms; a call does not wait for more than this share of its objective. */
constexpr double askShare = 0.05;

/** A holder that did not answer is not asked for this long. */
constexpr Duration afterSilence = std::chrono::seconds(1);

/** Engines that one call asks about; then it takes the best that it knows. */
constexpr std::size_t mostAsked = 3;

/** A call leaves half of the wait that it could bear to calls that bear less. */
constexpr double boundShare = 0.5;

double tokensToRead(const ActiveCall &run, const EngineView &engine)
{
    return std::max(run.facts.promptTokens - engine.cachedTokens, 0.0);
}

/** Tokens that may wait before the call at this engine while there are others to ask. */
double maxAhead(const ActiveCall &run, const EngineView &engine, PrefillStep step)
{
    const EngineWeights &weights = run.node.settings.weights;
    const Duration elapsed = BootClock::now() - run.arrivedAt;
    const double loadMs = step == PrefillStep::Load ? engine.loadMs : 0;
    PrefillBudget bound;
    bound.objectiveLeftMs =
        1000 * (weights.onTimeShare * toSeconds(run.route->latencyObjective) - toSeconds(elapsed));
    bound.ownTokens = tokensToRead(run, engine);
    bound.otherMs = weights.runPenaltyMs * engine.runs + loadMs;
    bound.tokensPerMs = weights.promptTokensPerMs;
    // The engine reads on while the adapter is loaded. Where all engines are late, one that is no
    // worse than it was believed to be is the best.
    return std::max(boundShare * maxTokensAhead(bound) + loadMs * bound.tokensPerMs,
                    engine.waitingTokens);
}

PrefillRequest requestOf(const ActiveCall &run, const EngineView &engine, PrefillStep step)
{
    // An engine that is chosen again after its holder was asked is the best there is.
    const auto &asked = run.prefillAsked;
    const bool askedBefore = std::find(asked.begin(), asked.end(), engine.id) != asked.end();
    const bool stays = step == PrefillStep::SendLoaded || askedBefore || asked.size() >= mostAsked;
    PrefillRequest wanted;
    wanted.tokens = step == PrefillStep::Load ? 0 : tokensToRead(run, engine);
    wanted.maxAhead = stays ? std::numeric_limits<double>::infinity() : maxAhead(run, engine, step);
    return wanted;
}

/** The VM that orders the engine, if it answers; null: nobody can be asked. */
const PeerState *askableHolder(const GatewayNode &node, const std::string &target, Instant now)
{
    const PeerState *holder = holderOf(node, target);
    if (holder == nullptr)
        return nullptr;
    const auto silent = node.prefill.unansweredAt.find(holder->endpoint);
    const bool isSilent =
        silent != node.prefill.unansweredAt.end() && now - silent->second < afterSilence;
    return isSilent ? nullptr : holder;
}

std::uint32_t wireTokens(double tokens)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, most));
}

void noteCounted(GatewayNode &node, const std::string &target, const PrefillReply &reply,
                 double tokens)
{
    PrefillQueue &told = node.prefill.reported[target];
    told.tokens = reply.ahead + (reply.reserved ? tokens : 0);
    told.at = BootClock::now();
}

asio::awaitable<std::optional<PrefillReply>> askHolder(GatewayNode &node, Endpoint holder,
                                                       std::string target, PrefillRequest wanted,
                                                       Duration timeout)
{
    v1::PrefillRequest request;
    request.set_target(target);
    request.set_tokens(wireTokens(wanted.tokens));
    request.set_most_ahead(wireTokens(wanted.maxAhead));
    const auto answer = co_await node.peerLinks.reservePrefill(holder, std::move(request), timeout);
    if (!answer) {
        node.prefill.unansweredAt[holder] = BootClock::now();
        co_return std::nullopt;
    }
    if (!answer->holder())
        co_return std::nullopt;
    PrefillReply reply;
    reply.reserved = answer->reserved();
    reply.ahead = answer->ahead();
    noteCounted(node, target, reply, wanted.tokens);
    co_return reply;
}

// Not given back if the call goes elsewhere after all: the count falls as the engine reads.
PrefillReply reserveHere(GatewayNode &node, const std::string &target, const PrefillRequest &wanted)
{
    return reservePrefill(node.prefill.held[target], wanted,
                          node.settings.weights.promptTokensPerMs, BootClock::now());
}

} // namespace

bool shouldAskLeaseHolders(const GatewayNode &node, const Route &route)
{
    return node.settings.placement.reservePrefill
        && toSeconds(loadReportAge(node)) > newsShare * toSeconds(route.latencyObjective);
}

std::optional<double> reservedPrefillTokens(GatewayNode &node, const std::string &target,
                                            Instant now)
{
    const double pace = node.settings.weights.promptTokensPerMs;
    if (mayCommandNow(node, target)) {
        const auto own = node.prefill.held.find(target);
        if (own != node.prefill.held.end())
            return waitingTokens(own->second, pace, now);
    }
    const auto told = node.prefill.reported.find(target);
    if (told == node.prefill.reported.end() || now - told->second.at > loadReportAge(node))
        return std::nullopt;
    return waitingTokens(told->second, pace, now);
}

asio::awaitable<bool> reservePrefill(ActiveCall &run, const EngineView &engine, PrefillStep step)
{
    GatewayNode &node = run.node;
    if (!shouldAskLeaseHolders(node, *run.route))
        co_return true;
    const PrefillRequest wanted = requestOf(run, engine, step);
    if (step != PrefillStep::SendLoaded)
        run.prefillAsked.push_back(engine.id);
    if (mayCommandNow(node, engine.id))
        co_return reserveHere(node, engine.id, wanted).reserved;
    const PeerState *holder = askableHolder(node, engine.id, BootClock::now());
    if (holder == nullptr)
        co_return true;
    const Endpoint endpoint = holder->endpoint;
    const Duration timeout = fromSeconds(askShare * toSeconds(run.route->latencyObjective));
    const auto reply = co_await askHolder(node, endpoint, engine.id, wanted, timeout);
    co_return !reply || reply->reserved;
}

v1::PrefillReply handlePrefillRequest(GatewayNode &node, const v1::PrefillRequest &request)
{
    v1::PrefillReply answer;
    answer.set_holder(mayCommandNow(node, request.target()));
    if (!answer.holder())
        return answer;
    const PrefillRequest wanted{static_cast<double>(request.tokens()),
                                static_cast<double>(request.most_ahead())};
    const PrefillReply reply = reserveHere(node, request.target(), wanted);
    answer.set_reserved(reply.reserved);
    answer.set_ahead(wireTokens(reply.ahead));
    return answer;
}

} // namespace monsoonbay
