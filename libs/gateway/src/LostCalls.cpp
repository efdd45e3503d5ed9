#include "LostCalls.h"

#include <algorithm>
#include <utility>

#include "HarmfulCallTracking.h"
#include "LinkWatch.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** The calls of one end break off together; the look at the target waits for all of them. */
constexpr Duration lossBatchDelay = std::chrono::milliseconds(20);

/** Links within a deployment take a few ms. */
constexpr Duration probeTimeout = std::chrono::milliseconds(250);

/** Within this the looks at other targets that lost calls at the same time are over. */
constexpr Duration otherProbesWait = std::chrono::milliseconds(150);

/** The list tells of a new start, or that the target is gone, within some renewals of its entry. */
constexpr Duration maxListDelay = std::chrono::seconds(10);

/** Lost calls of one target that are kept; as many as engines run at once. */
constexpr std::size_t maxLostCalls = 256;

/** Calls of an end that a log line names; enough to find one that several ends have in common. */
constexpr std::size_t maxCallsLogged = 16;

std::string callsText(const std::vector<CallIdentity> &calls)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(calls.size(), maxCallsLogged); ++index)
        text += (index == 0 ? "" : " ") + identityText(calls[index]);
    return text;
}

/** The target ended under what was lost since `from`. `nextStartTime`: its new start; 0: not known.
 */
void recordEnd(GatewayNode &node, const std::string &target, Instant from,
               std::int64_t nextStartTime, std::string_view seenBy)
{
    CallEvidence evidence;
    evidence.target = target;
    evidence.nextStartTime = nextStartTime;
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        return;
    for (const LostCall &lost : std::exchange(found->second->lost.calls, {})) {
        if (lost.at < from)
            continue;
        if (evidence.calls.empty())
            evidence.at = lost.at;
        evidence.calls.push_back(lost.call);
    }
    if (evidence.calls.empty())
        return;
    logEvent(EventId::TargetEnded,
             {{"target", target},
              {"seenBy", std::string(seenBy)},
              {"callsLost", std::to_string(evidence.calls.size())},
              {"calls", callsText(evidence.calls)}});
    recordTargetEnd(node, evidence);
}

/**
 * The target refused a connection after calls were lost there. At a VM whose links are cut all
 * targets seem to end together, so this waits for what the others come to; calls that were lost to
 * the links are no evidence against anything.
 */
asio::awaitable<void> handleRefusedConnection(GatewayNode &node, std::string target,
                                              Instant firstLoss)
{
    co_await pauseFor(node, otherProbesWait);
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        co_return;
    LostCalls &lost = found->second->lost;
    lost.checking = false;
    if (isObservationDoubtful(node, target))
        lost.calls.clear();
    else
        recordEnd(node, target, firstLoss, 0, "refused connection");
}

asio::awaitable<void> probeTarget(GatewayNode &node, std::string target, Endpoint endpoint)
{
    const Instant firstLoss = BootClock::now() - lossBatchDelay;
    co_await pauseFor(node, lossBatchDelay);
    ConnectResult result = co_await connectTo(node.context, endpoint, probeTimeout);
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        co_return;
    TargetRuntime &runtime = *found->second;
    if (result.connection)
        recordLinkSuccess(node, target);
    else
        recordLinkFailure(node, target);
    if (result.error == asio::error::connection_refused) {
        co_await handleRefusedConnection(node, target, firstLoss);
        co_return;
    }
    runtime.lost.checking = false;
    // Silence may be the link's, and who accepts may only stand before the target or have started
    // anew at once: then the list tells. A connection serves the next call.
    if (result.connection)
        giveBack(runtime.pool, std::move(result.connection), Duration::zero(), BootClock::now());
}

} // namespace

void recordLostCall(ActiveCall &run, const std::string &target)
{
    GatewayNode &node = run.node;
    TargetRuntime &runtime = runtimeOf(node, target);
    // What leaves ends soon whatever it runs.
    if (runtime.leaving)
        return;
    LostCalls &lost = runtime.lost;
    const Instant now = BootClock::now();
    lost.calls.push_back({identityOf(run), now});
    while (lost.calls.size() > maxLostCalls || now - lost.calls.front().at > maxListDelay)
        lost.calls.pop_front();
    if (lost.checking)
        return;
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr) {
        // One that fell silent is off the list before its connections are given up.
        recordEndByList(node, target, 0);
        return;
    }
    lost.checking = true;
    spawn(node, "look at a target", probeTarget(node, target, entry->endpoint));
}

void recordEndByList(GatewayNode &node, const std::string &target, std::int64_t nextStartTime)
{
    const auto found = node.targets.find(target);
    if (found == node.targets.end() || found->second->leaving)
        return;
    recordEnd(node, target, BootClock::now() - maxListDelay, nextStartTime, "list");
}

} // namespace monsoonbay
