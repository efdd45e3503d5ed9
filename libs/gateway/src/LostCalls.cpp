#include "LostCalls.h"

#include <algorithm>
#include <utility>

#include "HarmfulCallTracking.h"
#include "LinkProbe.h"
#include "LinkWatch.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** When a target ends, all its calls break off together; the probe waits for all of them. */
constexpr Duration lossBatchDelay = std::chrono::milliseconds(20);

/** An answer within a deployment takes a few ms, unless its target is busy. */
constexpr Duration probeTimeout = std::chrono::milliseconds(250);

/** By then, probes of other targets that lost calls at the same time are done. */
constexpr Duration otherProbesWait = std::chrono::milliseconds(150);

/** Other targets of a zone that are asked whether this VM reaches the zone at all. */
constexpr std::size_t maxZoneProbes = 3;

/** The list shows a restart, or that the target is gone, within a few renewals of its entry. */
constexpr Duration maxListDelay = std::chrono::seconds(10);

/** Lost calls that are kept for one target; engines run as many at once. */
constexpr std::size_t maxLostCalls = 256;

/** Calls that a log line names; enough to find a call that several ended targets have in common. */
constexpr std::size_t maxCallsLogged = 16;

std::string callsText(const std::vector<CallIdentity> &calls)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(calls.size(), maxCallsLogged); ++index)
        text += (index == 0 ? "" : " ") + identityText(calls[index]);
    return text;
}

/** How it became known that a target ended. */
enum class EndSeenBy : std::uint8_t { RefusedConnection, List };

std::string_view sourceName(EndSeenBy seenBy) noexcept
{
    return seenBy == EndSeenBy::List ? "list" : "refused connection";
}

// A proxy in front of a target that is down accepts connections, and calls sent there are lost as
// well. If connections are refused now, it was the target that accepted the lost call's one.
bool isEvidence(const LostCall &lost, EndSeenBy seenBy) noexcept
{
    return seenBy == EndSeenBy::RefusedConnection || lost.wasRunning;
}

/**
 * Records as evidence that the target ended during the calls that were lost since `from`.
 * `nextStartTime`: its start time after that; 0: not known.
 */
void recordEnd(GatewayNode &node, const std::string &target, Instant from,
               std::int64_t nextStartTime, EndSeenBy seenBy)
{
    CallEvidence evidence;
    evidence.target = target;
    evidence.nextStartTime = nextStartTime;
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        return;
    for (const LostCall &lost : std::exchange(found->second->lost.calls, {})) {
        if (lost.at < from || !isEvidence(lost, seenBy))
            continue;
        if (evidence.calls.empty())
            evidence.at = lost.at;
        evidence.calls.push_back(lost.call);
    }
    if (evidence.calls.empty())
        return;
    logEvent(EventId::TargetEnded,
             {{"target", target},
              {"seenBy", std::string(sourceName(seenBy))},
              {"callsLost", std::to_string(evidence.calls.size())},
              {"calls", callsText(evidence.calls)}});
    recordTargetEnd(node, evidence);
}

/** Other targets of the same zone, of any service; a random sample. */
std::vector<TargetEntry> sampleZoneOf(GatewayNode &node, const TargetEntry &target)
{
    std::vector<TargetEntry> others;
    for (const auto &[id, record] : node.targetTable.records) {
        if (record.entry.zone == target.zone && id != target.id && mayTakeWork(record))
            others.push_back(record.entry);
    }
    std::vector<TargetEntry> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), maxZoneProbes,
                node.random);
    return chosen;
}

/**
 * True if this VM connects to no other target of that zone either: then the way to the zone is cut,
 * and resets on the way look like targets that refuse connections.
 */
asio::awaitable<bool> isZoneCutOff(GatewayNode &node, TargetEntry target)
{
    if (target.zone.empty() || target.zone == node.settings.zone)
        co_return false;
    const std::vector<TargetEntry> others = sampleZoneOf(node, target);
    for (const TargetEntry &other : others) {
        const ProbeOutcome probe = co_await probeTarget(node, other, probeTimeout);
        if (probe.result != ProbeResult::Unreachable)
            co_return false;
    }
    co_return !others.empty();
}

/**
 * Handles a target that refused a connection after calls were lost there. To a VM that has lost its
 * links, all targets seem to end at once, so this waits for the probes of the others. Calls that
 * were lost because of the links are no evidence. If their zone is cut off, a new start time in the
 * list may still show that they are.
 */
asio::awaitable<void> handleRefusedConnection(GatewayNode &node, TargetEntry entry,
                                              Instant firstLoss)
{
    const std::string target = entry.id;
    co_await pauseFor(node, otherProbesWait);
    const bool cutOff = co_await isZoneCutOff(node, entry);
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        co_return;
    LostCalls &lost = found->second->lost;
    lost.checking = false;
    if (isObservationDoubtful(node, target))
        lost.calls.clear();
    else if (!cutOff)
        recordEnd(node, target, firstLoss, 0, EndSeenBy::RefusedConnection);
}

asio::awaitable<void> probeAfterLoss(GatewayNode &node, TargetEntry entry)
{
    const std::string target = entry.id;
    const Instant firstLoss = BootClock::now() - lossBatchDelay;
    co_await pauseFor(node, lossBatchDelay);
    const ProbeOutcome probe = co_await probeTarget(node, entry, probeTimeout);
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        co_return;
    if (probe.result == ProbeResult::Answered)
        recordLinkSuccess(node, target);
    else if (probe.result != ProbeResult::Silent)
        recordLinkFailure(node, target);
    if (probe.error == asio::error::connection_refused) {
        co_await handleRefusedConnection(node, entry, firstLoss);
        co_return;
    }
    // Other outcomes prove nothing: the link may be the cause of silence, and a connection may have
    // been accepted by a proxy or by a target that restarted at once. Then the list will show it.
    found->second->lost.checking = false;
}

} // namespace

void recordSignOfLife(GatewayNode &node, const std::string &target)
{
    LostCalls &lost = runtimeOf(node, target).lost;
    lost.heardAt = BootClock::now();
    lost.lostAt = Instant{};
}

void recordLostCall(ActiveCall &call, const std::string &target, Instant sentAt)
{
    GatewayNode &node = call.node;
    TargetRuntime &runtime = runtimeOf(node, target);
    // A target that is shutting down ends soon whatever it runs.
    if (runtime.leaving)
        return;
    LostCalls &lost = runtime.lost;
    const Instant now = BootClock::now();
    if (lost.lostAt == Instant{})
        lost.lostAt = now;
    const bool wasRunning = lost.heardAt != Instant{} && sentAt <= lost.lostAt;
    lost.calls.push_back({identityOf(call), now, wasRunning});
    while (lost.calls.size() > maxLostCalls || now - lost.calls.front().at > maxListDelay)
        lost.calls.pop_front();
    if (lost.checking)
        return;
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr) {
        // A silent target is removed from the list before its connections are closed.
        recordEndByList(node, target, 0);
        return;
    }
    lost.checking = true;
    spawn(node, "probe a target after a lost call", probeAfterLoss(node, *entry));
}

void recordEndByList(GatewayNode &node, const std::string &target, std::int64_t nextStartTime)
{
    const auto found = node.targets.find(target);
    if (found == node.targets.end() || found->second->leaving)
        return;
    recordEnd(node, target, BootClock::now() - maxListDelay, nextStartTime, EndSeenBy::List);
}

} // namespace monsoonbay
