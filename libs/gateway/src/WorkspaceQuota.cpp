#include "WorkspaceQuota.h"

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

UsageWindow &recordOf(GatewayNode &node, const std::string &workspace)
{
    const auto [found, added] = node.spending.try_emplace(workspace);
    if (added) {
        found->second.carry = std::uniform_real_distribution<double>(0, 1)(node.random);
        found->second.since = node.bootedAt;
    }
    return found->second;
}

WorkspaceUse ownUseOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    const QuotaPolicy &policy = node.settings.quota;
    WorkspaceUse use;
    const auto found = node.spending.find(workspace.name);
    if (found != node.spending.end())
        use = usageOf(found->second, policy, now);
    const Duration up = now - node.bootedAt;
    if (node.settings.firstStart || up >= 2 * policy.window || !knowsFleetSize(node, now))
        return use;
    const int known = knownVms(node, now);
    if (keepsUsageSnapshots(node))
        addUsage(use,
                 assumedUsageAtStart(workspace.name, workspace.limit, policy, node.spend.atStart,
                                     known, node.bootedAt, now));
    else
        addUsage(use, assumedUsageBeforeStart(workspace.limit, policy, known, up));
    return use;
}

void addUseOf(WorkspaceUse &sum, const WorkspaceUses &uses, const std::string &workspace)
{
    const auto found = uses.find(workspace);
    if (found != uses.end())
        addUsage(sum, found->second);
}

/** What is known of all VMs, but without the use of this one. */
FleetUsage othersUseOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    // A VM that was suspended must not take what it heard before for what there is now.
    dropSilent(node.reported, reporterTimeout, now);
    FleetUsage fleet;
    addUseOf(fleet.usage, node.reported.workspaceTotal, workspace.name);
    if (isRelayLive(node, now))
        addUseOf(fleet.usage, node.relayState.otherWorkspaces, workspace.name);
    fleet.reachableVms = reachableVms(node, now);
    fleet.knownVms = knownVms(node, now);
    fleet.updateAge = loadReportAge(node);
    fleet.allowedShare = allowedShare(node, workspace.name, now);
    return fleet;
}

} // namespace

FleetUsage fleetUseOf(GatewayNode &node, const Workspace &workspace, Instant now)
{
    FleetUsage fleet = othersUseOf(node, workspace, now);
    addUsage(fleet.usage, ownUseOf(node, workspace, now));
    return fleet;
}

namespace {

/** The workspace's own priority is the same for all of its calls. */
int rankOf(const ActiveCall &run)
{
    return run.route == nullptr ? 0 : run.route->priority;
}

Counter refusedOf(CallClass callClass)
{
    const auto first = static_cast<std::size_t>(Counter::OverLimitSmall);
    return static_cast<Counter>(first + indexOf(callClass));
}

void logOverLimit(const ActiveCall &run, const Workspace &workspace, const FleetUsage &fleet,
                  std::int64_t units, CallClass callClass, const QuotaDecision &verdict)
{
    logEvent(EventId::CallOverLimit,
             {{"call", run.facts.attemptId},
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

std::optional<LocalReply> chargeQuota(ActiveCall &run)
{
    GatewayNode &node = run.node;
    const Workspace *workspace = node.routes->findWorkspace(run.workspace);
    if (workspace == nullptr || !isLimited(workspace->limit))
        return std::nullopt;
    if (workspace->limit.unit == QuotaUnit::Tokens && run.facts.tokensMalformed)
        return makeLocalReply(400, "the call's count of tokens is no count", Duration::zero());
    const Instant now = BootClock::now();
    if (!knowsFleetSize(node, now))
        return makeLocalReply(503, "this VM does not know of the others yet", shortRetryAfter);
    const QuotaPolicy &policy = node.settings.quota;
    const std::int64_t units = costOf(workspace->limit, run.facts.tokens);
    UsageWindow &record = recordOf(node, workspace->name);
    FleetUsage fleet = othersUseOf(node, *workspace, now);
    WorkspaceUse before = ownUseOf(node, *workspace, now);
    addUsage(before, fleet.usage);
    const CallClass callClass = classOf(before, units, rankOf(run));
    recordRequested(record, policy, units, now, callClass);
    addUsage(fleet.usage, ownUseOf(node, *workspace, now));
    const QuotaDecision verdict =
        admitCall(record, workspace->limit, policy, fleet, units, now, callClass);
    if (!verdict.admitted) {
        logOverLimit(run, *workspace, fleet, units, callClass, verdict);
        node.metrics.add(Counter::OverLimit);
        node.metrics.add(refusedOf(callClass));
        const double draw = std::uniform_real_distribution<double>(0, 1)(node.random);
        return makeLocalReply(429, "the workspace has used up its limit",
                              withJitter(verdict.retryAfter, draw));
    }
    recordUsage(record, policy, units, now);
    run.units = units;
    run.unitsChargedAt = now;
    return std::nullopt;
}

void chargeQuotaAgain(ActiveCall &run)
{
    if (run.units == 0)
        return;
    run.unitsChargedAt = BootClock::now();
    recordUsage(recordOf(run.node, run.workspace), run.node.settings.quota, run.units,
                run.unitsChargedAt);
}

void refundQuota(ActiveCall &run)
{
    if (run.units == 0)
        return;
    giveBack(recordOf(run.node, run.workspace), run.node.settings.quota, run.units,
             run.unitsChargedAt, BootClock::now());
}

WorkspaceUses ownWorkspaceUses(GatewayNode &node, Instant now)
{
    WorkspaceUses uses;
    for (const Workspace &workspace : node.routes->config().workspaces) {
        if (!isLimited(workspace.limit))
            continue;
        const WorkspaceUse use = ownUseOf(node, workspace, now);
        if (!isUnused(use))
            uses[workspace.name] = use;
    }
    return uses;
}

WorkspaceUses zoneWorkspaceUses(GatewayNode &node, Instant now)
{
    WorkspaceUses uses = ownWorkspaceUses(node, now);
    for (const auto &[reporter, report] : node.reported.reports) {
        if (!reporter.starts_with(zoneReporter))
            addUsages(uses, report.workspaces);
    }
    return uses;
}

} // namespace monsoonbay
