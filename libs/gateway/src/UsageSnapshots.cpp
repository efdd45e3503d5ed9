#include "UsageSnapshots.h"

#include <algorithm>

#include "ClassDemandCodec.h"
#include "FirstStart.h"
#include "FleetCount.h"
#include "WorkspaceQuota.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration checkInterval = std::chrono::milliseconds(50);
constexpr Duration idleCheckInterval = std::chrono::milliseconds(250);

bool isLimitedWorkspace(const Workspace &workspace)
{
    return isLimited(workspace.limit);
}

/** A percentage received from another VM, limited to the valid range. */
int decodePercent(std::uint32_t percent)
{
    return static_cast<int>(std::min<std::uint32_t>(percent, allPercent));
}

UnitsByAge decodeUnits(const google::protobuf::RepeatedField<std::uint64_t> &encoded)
{
    UnitsByAge units{};
    const std::size_t count = std::min(units.size(), static_cast<std::size_t>(encoded.size()));
    for (std::size_t age = 0; age < count; ++age)
        units[age] =
            static_cast<std::int64_t>(std::min(encoded[static_cast<int>(age)], maxReportedNumber));
    return units;
}

void encodeUnits(const UnitsByAge &units, google::protobuf::RepeatedField<std::uint64_t> &encoded)
{
    for (const std::int64_t unit : units)
        encoded.Add(static_cast<std::uint64_t>(std::max<std::int64_t>(unit, 0)));
}

enum class UnitsOf : std::uint8_t {
    ThisVm,
    Zone, ///< this VM and the zone peers that report to it
    AllZones, ///< also the other zones that report to it
};

UnitsByAge unitsKnown(GatewayNode &node, const std::string &workspace, UnitsOf scope, Instant now)
{
    const QuotaPolicy &policy = node.settings.quota;
    UnitsByAge units{};
    const auto own = node.spending.find(workspace);
    if (own != node.spending.end())
        units = unitsByAge(own->second, policy, now);
    const Workspace *limited = node.routes->findWorkspace(workspace);
    if (limited != nullptr && !isFirstStart(node) && knowsFleetSize(node, now))
        addAssumedUnits(units, workspace, limited->limit, policy, node.usageSnapshots.atStart,
                        knownVms(node, now), node.bootedAt, now);
    if (scope == UnitsOf::ThisVm)
        return units;
    for (const auto &[reporter, report] : node.reported.reports) {
        const auto found = report.unitsByAge.find(workspace);
        if (found == report.unitsByAge.end())
            continue;
        if (scope == UnitsOf::AllZones || !reporter.starts_with(zoneReporterPrefix))
            addUnits(units, found->second, policy, now - report.at);
    }
    return units;
}

UsagePercents percentsWanted(GatewayNode &node, Instant now)
{
    UsagePercents wanted;
    for (const Workspace &workspace : node.routes->config().workspaces) {
        if (!isLimitedWorkspace(workspace))
            continue;
        const int percent =
            percentNeeded(workspace.limit, node.settings.quota, fleetUsageOf(node, workspace, now));
        if (percent > 0)
            wanted[workspace.name] = percent;
    }
    return wanted;
}

std::vector<std::string> limitedWorkspaces(const GatewayNode &node)
{
    std::vector<std::string> names;
    for (const Workspace &workspace : node.routes->config().workspaces) {
        if (isLimitedWorkspace(workspace))
            names.push_back(workspace.name);
    }
    return names;
}

void logCountedUsage(const GatewayNode &node, const char *source)
{
    std::size_t named = 0;
    for (const UsageSnapshot &snapshot : node.usageSnapshots.atStart.zones)
        named += snapshot.size();
    logEvent(EventId::UseCountedAtStart,
             {{"source", source},
              {"zones", std::to_string(node.usageSnapshots.atStart.zones.size())},
              {"named", std::to_string(named)},
              {"upMs", std::to_string(toMillis(BootClock::now() - node.bootedAt))}});
}

asio::awaitable<void> writeZoneSnapshot(GatewayNode &node)
{
    const Instant began = BootClock::now();
    UsageSnapshot snapshot;
    for (const auto &[workspace, percent] : beginSnapshot(node.usageSnapshots.writer, began))
        snapshot[workspace] = {percent, unitsKnown(node, workspace, UnitsOf::AllZones, began)};
    node.usageSnapshots.permits = permitsOf(node.usageSnapshots.writer);
    const std::string named = std::to_string(snapshot.size());
    const bool done =
        co_await node.platform->writeUsageSnapshot(node.http, node.settings, std::move(snapshot));
    endSnapshot(node.usageSnapshots.writer, done);
    // Another VM may be the relay by now, and its permits may have arrived.
    if (node.relaying)
        node.usageSnapshots.permits = permitsOf(node.usageSnapshots.writer);
    const Duration took = BootClock::now() - began;
    if (done)
        node.metrics.record(Timing::SnapshotAge, toSeconds(took));
    logEvent(done ? EventId::SpendNoted : EventId::SpendNoteFailed,
             {{"named", named},
              {"permitted", std::to_string(node.usageSnapshots.permits.percents.size())},
              {"tookMs", std::to_string(toMillis(took))}});
}

} // namespace

bool keepsUsageSnapshots(const GatewayNode &node)
{
    const auto &workspaces = node.routes->config().workspaces;
    return node.settings.hasQuotaPolicy
        && std::any_of(workspaces.begin(), workspaces.end(), isLimitedWorkspace);
}

double allowedShare(const GatewayNode &node, const std::string &workspace, Instant now)
{
    if (!keepsUsageSnapshots(node))
        return 1;
    return shareAllowed(node.usageSnapshots.permits, workspace, now);
}

// Snapshots that a peer sent already are kept: they are from before this VM's start.
void applyStoredSnapshots(GatewayNode &node, std::vector<UsageSnapshot> snapshots)
{
    const Instant now = BootClock::now();
    if (node.usageSnapshots.atStart.wereRead || isFirstStart(node))
        return;
    node.usageSnapshots.atStart = {true, now, std::move(snapshots)};
    if (!node.usageSnapshots.atStart.zones.empty())
        logCountedUsage(node, "store");
}

void fillUnitsByAge(GatewayNode &node, bool wholeZone, v1::Report &report)
{
    if (!keepsUsageSnapshots(node))
        return;
    const Instant now = BootClock::now();
    const UnitsOf scope = wholeZone ? UnitsOf::Zone : UnitsOf::ThisVm;
    const UsagePercents wanted = percentsWanted(node, now);
    for (v1::WorkspaceUse &message : *report.mutable_workspaces()) {
        if (wanted.count(message.workspace()) > 0)
            encodeUnits(unitsKnown(node, message.workspace(), scope, now),
                        *message.mutable_units_by_age());
    }
}

WorkspaceUnits decodeUnitsByAge(const v1::Report &report)
{
    WorkspaceUnits units;
    for (const v1::WorkspaceUse &message : report.workspaces()) {
        if (message.units_by_age_size() > 0)
            units[message.workspace()] = decodeUnits(message.units_by_age());
    }
    return units;
}

void addUsageUpdates(const GatewayNode &node, const v1::Report &report, bool zonePeer,
                     v1::Digest &digest)
{
    if (!keepsUsageSnapshots(node))
        return;
    const Instant now = BootClock::now();
    const UsagePermits &permits = node.usageSnapshots.permits;
    if (zonePeer && node.usageSnapshots.writes && !permits.percents.empty()) {
        for (const auto &[workspace, percent] : permits.percents) {
            v1::NotedSpend *message = digest.mutable_spend()->add_noted_workspaces();
            message->set_workspace(workspace);
            message->set_percent(static_cast<std::uint32_t>(percent));
        }
        digest.mutable_spend()->set_noted_ago_ms(
            static_cast<std::uint64_t>(toMillis(now - permits.writtenAt)) + 1);
    }
    // Sent only to a VM that has received nothing from this boot yet: it may have started just now.
    const bool startsNow = now - node.bootedAt < node.settings.quota.window;
    if (!startsNow || !node.usageSnapshots.atStart.wereRead || report.known_boot() == node.boot)
        return;
    const Duration readAgo = now - node.usageSnapshots.atStart.readAt;
    digest.mutable_spend()->set_notes_read_ago_ms(static_cast<std::uint64_t>(toMillis(readAgo))
                                                  + 1);
    for (const UsageSnapshot &snapshot : node.usageSnapshots.atStart.zones) {
        v1::ZoneNote *message = digest.mutable_spend()->add_notes_at_start();
        for (const auto &[workspace, usage] : snapshot) {
            v1::NotedSpend *entry = message->add_workspaces();
            entry->set_workspace(workspace);
            entry->set_percent(static_cast<std::uint32_t>(usage.percent));
            encodeUnits(usage.units, *entry->mutable_units_by_age());
        }
    }
}

namespace {

// A message that was in transit for long makes snapshots look more recent than they are, so more of
// their usage counts.
void applyReceivedSnapshots(GatewayNode &node, const v1::SpendNews &updates)
{
    if (updates.notes_read_ago_ms() == 0 || isFirstStart(node))
        return;
    const Instant now = BootClock::now();
    StartupSnapshots received;
    received.wereRead = true;
    received.readAt = now - std::chrono::milliseconds(updates.notes_read_ago_ms() - 1);
    for (const v1::ZoneNote &snapshot : updates.notes_at_start()) {
        UsageSnapshot &zone = received.zones.emplace_back();
        for (const v1::NotedSpend &entry : snapshot.workspaces())
            zone[entry.workspace()] = {decodePercent(entry.percent()),
                                       decodeUnits(entry.units_by_age())};
    }
    const StartupSnapshots before = node.usageSnapshots.atStart;
    adoptSnapshots(node.usageSnapshots.atStart, received, node.settings.quota, now);
    if (node.usageSnapshots.atStart != before)
        logCountedUsage(node, "another VM");
}

} // namespace

void applyUsageUpdates(GatewayNode &node, const v1::Digest &digest, bool ownRelay, Instant askedAt)
{
    if (BootClock::now() - node.bootedAt < node.settings.quota.window)
        applyReceivedSnapshots(node, digest.spend());
    if (!ownRelay)
        return;
    const v1::SpendNews &updates = digest.spend();
    UsagePermits permits;
    permits.writtenAt = askedAt - std::chrono::milliseconds(updates.noted_ago_ms());
    for (const v1::NotedSpend &message : updates.noted_workspaces())
        permits.percents[message.workspace()] = decodePercent(message.percent());
    if (!permits.percents.empty())
        node.metrics.record(Timing::SnapshotAge, toSeconds(BootClock::now() - permits.writtenAt));
    node.usageSnapshots.permits = std::move(permits);
}

asio::awaitable<void> usageSnapshotLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const bool enabled = keepsUsageSnapshots(node);
        const Instant now = BootClock::now();
        if (!enabled || !node.relaying || !knowsFleetSize(node, now)) {
            node.usageSnapshots.writes = false;
            co_await pauseFor(node, enabled ? checkInterval : idleCheckInterval);
            continue;
        }
        if (!node.usageSnapshots.writes)
            startSnapshotWriter(node.usageSnapshots.writer, limitedWorkspaces(node),
                                node.settings.quota, node.bootedAt, now);
        node.usageSnapshots.writes = true;
        updateWantedPercents(node.usageSnapshots.writer, percentsWanted(node, now), now);
        node.usageSnapshots.permits = permitsOf(node.usageSnapshots.writer);
        if (isWriteDue(node.usageSnapshots.writer, now))
            co_await writeZoneSnapshot(node);
        co_await pauseFor(node, checkInterval);
    }
}

} // namespace monsoonbay
