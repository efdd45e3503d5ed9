#include "TargetEnds.h"

#include <algorithm>
#include <utility>

#include "HarmfulWatch.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** The calls of one end break off together; the look at the target waits for all of them. */
constexpr Duration lossGather = std::chrono::milliseconds(20);

/** Links within a deployment take a few ms. */
constexpr Duration lookPatience = std::chrono::milliseconds(250);

/** A target that is silent is told to be gone within some intervals of its entry's renewal. */
constexpr Duration listPatience = std::chrono::seconds(10);

/** Calls of an end that a log line names; enough to find one that several ends have in common. */
constexpr std::size_t mostCallsNamed = 16;

std::string callsText(const std::vector<CallIdentity> &calls)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(calls.size(), mostCallsNamed); ++index)
        text += (index == 0 ? "" : " ") + identityText(calls[index]);
    return text;
}

void noteEnd(GatewayNode &node, const std::string &target, const LostCalls &lost,
             std::string_view seenBy)
{
    logEvent(EventId::TargetEnded,
             {{"target", target},
              {"seenBy", std::string(seenBy)},
              {"callsLost", std::to_string(lost.calls.size())},
              {"calls", callsText(lost.calls)}});
    noteTargetEnded(node, target, lost.calls, lost.at);
}

asio::awaitable<void> lookAt(GatewayNode &node, std::string target, Endpoint endpoint)
{
    co_await pauseFor(node, lossGather);
    ConnectResult result = co_await connectTo(node.context, endpoint, lookPatience);
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        co_return;
    TargetRuntime &runtime = *found->second;
    const LostCalls lost = std::exchange(runtime.lost, LostCalls());
    if (result.connection) {
        // It is well, and the connection serves the next call.
        giveBack(runtime.pool, std::move(result.connection), Duration::zero(), BootClock::now());
        co_return;
    }
    if (result.error == asio::error::connection_refused) {
        noteEnd(node, target, lost, "refused connection");
        co_return;
    }
    // Silence may be the link's; then the list tells.
    runtime.lost = lost;
    runtime.lost.looking = false;
}

} // namespace

void noteLostCall(CallRun &run, const std::string &target)
{
    GatewayNode &node = run.node;
    const TargetEntry *entry = entryOf(node, target);
    // What leaves ends soon whatever it runs.
    if (entry == nullptr || entry->leaving)
        return;
    LostCalls &lost = runtimeOf(node, target).lost;
    const Instant now = BootClock::now();
    if (!lost.looking && now - lost.at > lossGather)
        lost.calls.clear();
    lost.calls.push_back(identityOf(run));
    lost.at = now;
    if (lost.looking)
        return;
    lost.looking = true;
    spawn(node, "look at a target", lookAt(node, target, entry->endpoint));
}

void noteEndByList(GatewayNode &node, const std::string &target)
{
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        return;
    LostCalls &lost = found->second->lost;
    if (lost.calls.empty() || lost.looking || BootClock::now() - lost.at > listPatience)
        return;
    noteEnd(node, target, lost, "list");
    lost = LostCalls();
}

} // namespace monsoonbay
