#include "WorkspaceQuota.h"

#include "FirstStart.h"
#include "FleetCount.h"
#include "RelayLoops.h"
#include "UsageSnapshots.h"
#include "ZonePeers.h"
#include "core/Jitter.h"
#include "observe/Events.h"
#include "quota/Admission.h"

namespace monsoonbay {

namespace {

constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

UsageWindow &usageWindowOf(GatewayNode &node, const std::string &workspace)
{
    const auto [found, added] = node.spending.try_emplace(workspace);
    if (added) {
        found->second.carry = std::uniform_real_distribution<double>(0, 1)(node.random);
        found->second.since = node.bootedAt;
    }
    return found->second;
}

WorkspaceUse ownUsageOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    const QuotaPolicy &policy = node.settings.quota;
    WorkspaceUse workspaceUsage;
    const auto found = node.spending.find(workspace.name);
    if (found != node.spending.end())
        workspaceUsage = usageOf(found->second, policy, now);
    const Duration up = now - node.bootedAt;
    if (isFirstStart(node) || up >= 2 * policy.window || !knowsFleetSize(node, now))
        return workspaceUsage;
    const int known = knownVms(node, now);
    if (keepsUsageSnapshots(node))
        addUsage(workspaceUsage,
                 assumedUsageAtStart(workspace.name, workspace.limit, policy,
                                     node.usageSnapshots.atStart, known, node.bootedAt, now));
    else
        addUsage(workspaceUsage, assumedUsageBeforeStart(workspace.limit, policy, known, up));
    return workspaceUsage;
}

void addUsageOf(WorkspaceUse &sum, const WorkspaceUses &usages, const std::string &workspace)
{
    const auto found = usages.find(workspace);
    if (found != usages.end())
        addUsage(sum, found->second);
}

/** Known usage of all other VMs. */
FleetUsage othersUsageOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    // A VM that was suspended must not take reports from before that for current ones.
    dropSilent(node.reported, reporterTimeout, now);
    FleetUsage fleet;
    addUsageOf(fleet.usage, node.reported.workspaceTotal, workspace.name);
    if (isRelayLive(node, now))
        addUsageOf(fleet.usage, node.relayState.otherWorkspaces, workspace.name);
    fleet.reachableVms = reachableVms(node, now);
    fleet.knownVms = knownVms(node, now);
    fleet.updateAge = loadReportAge(node);
    fleet.allowedShare = allowedShare(node, workspace.name, now);
    return fleet;
}

} // namespace

FleetUsage fleetUsageOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    FleetUsage fleet = othersUsageOf(node, workspace, now);
    addUsage(fleet.usage, ownUsageOf(node, workspace, now));
    return fleet;
}

namespace {

/** The route's priority alone: the workspace's own is the same for all of its calls. */
int rankOf(const ActiveCall &call)
{
    return call.route == nullptr ? 0 : call.route->priority;
}

Counter overLimitCounter(CallClass callClass)
{
    const auto first = static_cast<std::size_t>(Counter::OverLimitSmall);
    return static_cast<Counter>(first + indexOf(callClass));
}

void logOverLimit(const ActiveCall &call, const Workspace &workspace, const FleetUsage &fleet,
                  std::int64_t units, CallClass callClass, const QuotaDecision &verdict)
{
    logEvent(EventId::CallOverLimit,
             {{"call", call.metadata.attemptId},
              {"workspace", workspace.name},
              {"units", std::to_string(units)},
              {"class", std::string(textOf(callClass))},
              {"share", std::to_string(verdict.share)},
              {"fits", verdict.fits ? "yes" : "no"},
              {"ratePerSecond",
               std::to_string(static_cast<std::int64_t>(workspace.limit.ratePerSecond))},
              {"window", std::to_string(fleet.usage.unitsInWindow)},
              {"askedPerSecond", std::to_string(fleet.usage.requestedPerSecond)},
              {"vmsInTouch", std::to_string(fleet.reachableVms)},
              {"vmsKnown", std::to_string(fleet.knownVms)},
              {"allowed", std::to_string(fleet.allowedShare)},
              {"newsAgeMs", std::to_string(toMillis(fleet.updateAge))}});
}

} // namespace

std::optional<LocalReply> chargeQuota(ActiveCall &call)
{
    GatewayNode &node = call.node;
    const Workspace *workspace = node.routes->findWorkspace(call.workspace);
    if (workspace == nullptr || !isLimited(workspace->limit))
        return std::nullopt;
    if (workspace->limit.unit == QuotaUnit::Tokens && call.metadata.tokensMalformed)
        return makeLocalReply(400, "the call's token count is malformed", Duration::zero());
    const Instant now = BootClock::now();
    if (!knowsFleetSize(node, now))
        return makeLocalReply(503, "this VM does not know the other VMs yet", shortRetryAfter);
    const QuotaPolicy &policy = node.settings.quota;
    const std::int64_t units = costOf(workspace->limit, call.metadata.tokens);
    UsageWindow &record = usageWindowOf(node, workspace->name);
    FleetUsage fleet = othersUsageOf(node, *workspace, now);
    WorkspaceUse before = ownUsageOf(node, *workspace, now);
    addUsage(before, fleet.usage);
    const CallClass callClass = classOf(before, units, rankOf(call));
    recordRequested(record, policy, units, now, callClass);
    addUsage(fleet.usage, ownUsageOf(node, *workspace, now));
    const QuotaDecision verdict =
        admitCall(record, workspace->limit, policy, fleet, units, now, callClass);
    if (!verdict.admitted) {
        logOverLimit(call, *workspace, fleet, units, callClass, verdict);
        node.metrics.add(Counter::OverLimit);
        node.metrics.add(overLimitCounter(callClass));
        const double draw = std::uniform_real_distribution<double>(0, 1)(node.random);
        return makeLocalReply(429, "the workspace has used up its limit",
                              withJitter(verdict.retryAfter, draw));
    }
    recordUsage(record, policy, units, now);
    call.units = units;
    call.unitsChargedAt = now;
    return std::nullopt;
}

void chargeQuotaAgain(ActiveCall &call)
{
    if (call.units == 0)
        return;
    call.unitsChargedAt = BootClock::now();
    recordUsage(usageWindowOf(call.node, call.workspace), call.node.settings.quota, call.units,
                call.unitsChargedAt);
}

void refundQuota(ActiveCall &call)
{
    if (call.units == 0)
        return;
    giveBack(usageWindowOf(call.node, call.workspace), call.node.settings.quota, call.units,
             call.unitsChargedAt, BootClock::now());
}

WorkspaceUses ownWorkspaceUsage(GatewayNode &node, Instant now)
{
    WorkspaceUses usages;
    for (const Workspace &workspace : node.routes->config().workspaces) {
        if (!isLimited(workspace.limit))
            continue;
        const WorkspaceUse workspaceUsage = ownUsageOf(node, workspace, now);
        if (!isUnused(workspaceUsage))
            usages[workspace.name] = workspaceUsage;
    }
    return usages;
}

WorkspaceUses zoneWorkspaceUsage(GatewayNode &node, Instant now)
{
    WorkspaceUses usages = ownWorkspaceUsage(node, now);
    for (const auto &[reporter, report] : node.reported.reports) {
        if (!reporter.starts_with(zoneReporterPrefix))
            addUsages(usages, report.workspaces);
    }
    return usages;
}

} // namespace monsoonbay
