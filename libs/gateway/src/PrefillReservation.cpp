#include "PrefillReservation.h"

#include <algorithm>
#include <limits>

#include "LeaseKeeping.h"
#include "RelayLoops.h"
#include "SharedEngines.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** State updates older than this share of an objective are too old to place a call by. */
constexpr double updateAgeShare = 0.125;

/** A reply takes a few ms; a call waits for at most this share of its objective. */
constexpr double askTimeShare = 0.05;

/** A lease holder that did not answer is not asked again for this long. */
constexpr Duration unansweredBackoff = std::chrono::seconds(1);

/** Engines that one call asks about; after that it takes the best that it knows. */
constexpr std::size_t maxAsked = 3;

/** A call leaves half of the wait that it could tolerate to calls that tolerate less. */
constexpr double waitShare = 0.5;

double tokensToPrefill(const ActiveCall &call, const EngineView &engine)
{
    return std::max(call.metadata.promptTokens - engine.cachedTokens, 0.0);
}

/** Tokens that may wait ahead of the call at this engine while there are others to ask. */
double maxAhead(const ActiveCall &call, const EngineView &engine, PrefillStep step)
{
    const EngineWeights &weights = call.node.settings.weights;
    const Duration elapsed = BootClock::now() - call.arrivedAt;
    const double loadMs = step == PrefillStep::Load ? engine.loadMs : 0;
    PrefillBudget budget;
    budget.objectiveLeftMs =
        1000 * (weights.onTimeShare * toSeconds(call.route->latencyObjective) - toSeconds(elapsed));
    budget.ownTokens = tokensToPrefill(call, engine);
    budget.otherMs = weights.runPenaltyMs * engine.runs + loadMs;
    budget.tokensPerMs = weights.promptTokensPerMs;
    // The engine goes on with its prefill while the adapter is loaded. Where all engines are late,
    // one that is no worse than it was believed to be is the best.
    return std::max(waitShare * maxTokensAhead(budget) + loadMs * budget.tokensPerMs,
                    engine.waitingTokens);
}

PrefillRequest requestOf(const ActiveCall &call, const EngineView &engine, PrefillStep step)
{
    // An engine that is chosen again after its lease holder was asked is the best there is.
    const auto &asked = call.prefillAsked;
    const bool askedBefore = std::find(asked.begin(), asked.end(), engine.id) != asked.end();
    const bool stays = step == PrefillStep::SendLoaded || askedBefore || asked.size() >= maxAsked;
    PrefillRequest wanted;
    wanted.tokens = step == PrefillStep::Load ? 0 : tokensToPrefill(call, engine);
    wanted.maxAhead =
        stays ? std::numeric_limits<double>::infinity() : maxAhead(call, engine, step);
    return wanted;
}

/** The engine's lease holder; null if there is none, or it did not answer recently. */
const PeerState *askableHolder(const GatewayNode &node, const std::string &target, Instant now)
{
    const PeerState *holder = holderOf(node, target);
    if (holder == nullptr)
        return nullptr;
    const auto silent = node.prefill.unansweredAt.find(holder->endpoint);
    const bool isSilent =
        silent != node.prefill.unansweredAt.end() && now - silent->second < unansweredBackoff;
    return isSilent ? nullptr : holder;
}

std::uint32_t wireTokens(double tokens)
{
    constexpr double maxTokens = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, maxTokens));
}

void recordCount(GatewayNode &node, const std::string &target, const PrefillReply &reply,
                 double tokens)
{
    PrefillQueue &count = node.prefill.reported[target];
    count.tokens = reply.ahead + (reply.reserved ? tokens : 0);
    count.at = BootClock::now();
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
    recordCount(node, target, reply, wanted.tokens);
    co_return reply;
}

// Not released if the call goes elsewhere after all: the count falls as the engine reads prompts.
PrefillReply reserveHere(GatewayNode &node, const std::string &target, const PrefillRequest &wanted)
{
    return reservePrefill(node.prefill.held[target], wanted,
                          node.settings.weights.promptTokensPerMs, BootClock::now());
}

} // namespace

bool shouldAskLeaseHolders(const GatewayNode &node, const Route &route)
{
    return node.settings.placement.reservePrefill
        && toSeconds(loadReportAge(node)) > updateAgeShare * toSeconds(route.latencyObjective);
}

std::optional<double> reservedPrefillTokens(GatewayNode &node, const std::string &target,
                                            Instant now)
{
    const double rate = node.settings.weights.promptTokensPerMs;
    if (mayCommandNow(node, target)) {
        const auto own = node.prefill.held.find(target);
        if (own != node.prefill.held.end())
            return waitingTokens(own->second, rate, now);
    }
    const auto count = node.prefill.reported.find(target);
    if (count == node.prefill.reported.end() || now - count->second.at > loadReportAge(node))
        return std::nullopt;
    return waitingTokens(count->second, rate, now);
}

asio::awaitable<bool> reservePrefill(ActiveCall &call, const EngineView &engine, PrefillStep step)
{
    GatewayNode &node = call.node;
    if (!shouldAskLeaseHolders(node, *call.route))
        co_return true;
    const PrefillRequest wanted = requestOf(call, engine, step);
    if (step != PrefillStep::SendLoaded)
        call.prefillAsked.push_back(engine.id);
    if (mayCommandNow(node, engine.id))
        co_return reserveHere(node, engine.id, wanted).reserved;
    const PeerState *holder = askableHolder(node, engine.id, BootClock::now());
    if (holder == nullptr)
        co_return true;
    const Endpoint endpoint = holder->endpoint;
    const Duration timeout = fromSeconds(askTimeShare * toSeconds(call.route->latencyObjective));
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
