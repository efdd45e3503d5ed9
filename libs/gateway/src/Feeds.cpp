#include "Feeds.h"

#include <algorithm>
#include <set>

#include "CallerMemory.h"
#include "EngineCommands.h"
#include "FirstStart.h"
#include "HarmfulCallTracking.h"
#include "LostCalls.h"
#include "PeerExchange.h"
#include "StoreHistory.h"
#include "StreamResuming.h"
#include "TargetRestarts.h"
#include "UsageSnapshots.h"
#include "ZonePeers.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** Relays of other zones that have to be reachable to report in time what this VM reads late. */
constexpr int minBackupRelays = 2;

/** An entry without its adapters: they change often, and the engine's lease holder reports them. */
TargetEntry withoutAdapters(TargetEntry entry)
{
    entry.adapters.clear();
    return entry;
}

constexpr Duration sweepInterval = std::chrono::milliseconds(200);

// In a large zone, all VMs may notice at the same time that the list is late, and their reads would
// delay it further. This limits them: together they read about as often as one relay does.
bool readsListItself(const GatewayNode &node, Instant now)
{
    if (!isListStale(node.targetTable, now))
        return false;
    const Instant lastOwn = std::max(node.targetTable.lastOwnReadAt, node.bootedAt);
    return now - lastOwn > maxListAge * std::max(countZonePeers(node), 1);
}

void applyTarget(GatewayNode &node, TargetEntry entry)
{
    const std::string id = entry.id;
    if (recordStartTime(node, id, entry.startTime) == StartOrder::Older)
        return;
    const auto known = node.targetTable.records.find(id);
    const bool wasLeaving = known != node.targetTable.records.end() && known->second.entry.leaving;
    // An older entry may be read after a peer reported that the target leaves. It must not replace
    // that report, here or at the VMs that this one reports to.
    entry.leaving = entry.leaving || wasLeaving;
    const bool leaving = entry.leaving;
    const bool isNew = known == node.targetTable.records.end();
    TargetRuntime &runtime = runtimeOf(node, id);
    // The list lags behind what the engine's lease holder reports.
    if (node.shared.engines.find(id) == nullptr) {
        ResidentVersions resident;
        for (const HeldAdapter &held : entry.adapters)
            resident[held.adapter] = held.version;
        setResident(node, id, std::move(resident));
        runtime.models = std::set<std::string>(entry.models.begin(), entry.models.end());
    }
    const bool wasExpired = !isNew && known->second.expiredAt != Instant{};
    const bool sameForPeers = !isNew && !wasExpired && leaving == wasLeaving
        && withoutAdapters(known->second.entry) == withoutAdapters(entry);
    if (!sameForPeers)
        node.shared.targets.set(id, {entry, false}, node.shared.counter);
    if (isNew)
        logEvent(EventId::TargetListed,
                 {{"target", id},
                  {"service", entry.service},
                  {"zone", entry.zone},
                  {"address", entry.endpoint.text()}});
    runtime.leaving = leaving;
    recordListed(node.targetTable, std::move(entry));
    if (leaving && !wasLeaving) {
        logEvent(EventId::TargetLeaving, {{"target", id}, {"source", "list"}});
        node.reportDue.notifyAll();
    }
    if (isNew)
        node.engineChanged.notifyAll();
}

void sweep(GatewayNode &node)
{
    for (const auto &[id, record] : node.targetTable.records) {
        if (record.expiredAt != Instant{})
            node.shared.targets.set(id, {record.entry, false, true}, node.shared.counter);
    }
    for (const std::string &id : removeGone(node.targetTable, BootClock::now())) {
        node.prefill.reported.erase(id);
        node.prefill.held.erase(id);
        logEvent(EventId::TargetGone, {{"target", id}});
        recordEndByList(node, id, 0);
        node.shared.targets.set(id, {TargetEntry(), true}, node.shared.counter);
        node.shared.engines.erase(id);
        node.reportedEngines.erase(id);
        node.reportedRuns.erase(id);
        const auto runtime = node.targets.find(id);
        // Calls in flight there still refer to its counters.
        if (runtime != node.targets.end() && runtime->second->ownUsage.runs == 0)
            node.targets.erase(runtime);
        const auto engine = node.heldEngines.find(id);
        if (engine != node.heldEngines.end() && !engine->second->commandInFlight)
            engine->second->scheduler = AdapterScheduler();
    }
}

/** Decodes and applies a configuration that was read from the store. */
asio::awaitable<std::optional<ConfigProperties>> applyStoredConfig(GatewayNode &node,
                                                                   std::string document)
{
    ConfigDecode decode = [platform = node.platform, base = node.config.newest,
                           document = std::move(document)] {
        return decodeDocument(*platform, base, document);
    };
    const Instant readAt = BootClock::now();
    std::optional<DecodedConfig> decoded = co_await decodeInBackground(node, std::move(decode));
    if (!decoded)
        co_return std::nullopt;
    const ServingConfig &config = decoded->routes->config();
    const ConfigProperties facts{config.version, !config.workspaces.empty()};
    logEvent(EventId::ConfigRead,
             {{"version", std::to_string(config.version)},
              {"peer", "store"},
              {"bytes", std::to_string(decoded->whole.bytes.size())},
              {"plainBytes", std::to_string(decoded->whole.plainBytes)},
              {"changesOnly", "no"},
              {"decodingMs", std::to_string(toMillis(BootClock::now() - readAt))}});
    applyConfig(node, std::move(*decoded), "store");
    co_return facts;
}

} // namespace

void applyConfig(GatewayNode &node, DecodedConfig decoded, const std::string &source)
{
    const std::int64_t before = node.routes->config().version;
    const std::int64_t version = decoded.routes->config().version;
    if (!mayReplace(before, version))
        return;
    const Instant now = BootClock::now();
    const std::uint64_t plainBytes = decoded.whole.plainBytes;
    const std::shared_ptr<const RouteTable> replaced = node.routes;
    node.routes = std::move(decoded.routes);
    watchRoutes(node, before == 0);
    const KeyChanges keys =
        updateKeys(node.keys, replaced->config().workspaces, node.routes->config().workspaces);
    setNewest(node.config, std::move(decoded.whole), now);
    if (decoded.change)
        addCached(node.config, std::move(*decoded.change), now);
    node.unknownKeys.clear();
    node.started.notifyAll();
    node.confirmed.notifyAll();
    logEvent(EventId::ConfigInForce,
             {{"version", std::to_string(version)},
              {"before", std::to_string(before)},
              {"routes", std::to_string(node.routes->config().routes.size())},
              {"bytes", std::to_string(plainBytes)},
              {"keysAdded", std::to_string(keys.added)},
              {"keysTaken", std::to_string(keys.removed)},
              {"source", source}});
}

bool applyPackedConfig(GatewayNode &node, const PackedDocument &packed, const std::string &source)
{
    std::optional<DecodedConfig> decoded = decodeConfig(*node.platform, node.config.newest, packed);
    if (!decoded) {
        logEvent(EventId::DocumentUnreadable, {{"what", "configuration"}, {"source", source}});
        return false;
    }
    applyConfig(node, std::move(*decoded), source);
    return true;
}

void applyPeerTargets(GatewayNode &node, std::vector<TargetEntry> entries)
{
    for (TargetEntry &entry : entries)
        applyTarget(node, std::move(entry));
}

void dropTargetsUnlistedByPeer(GatewayNode &node, const std::set<std::string> &listed)
{
    for (auto &[id, record] : node.targetTable.records)
        record.removed = record.removed || listed.count(id) == 0;
    sweep(node);
}

// This VM's relay reads the list and has already waited for expired entries to come back. A relay
// of another zone may not have seen the same outage.
void dropTargetByPeer(GatewayNode &node, const std::string &target, bool ownRelay)
{
    const auto found = node.targetTable.records.find(target);
    if (found == node.targetTable.records.end())
        return;
    if (ownRelay)
        found->second.removed = true;
    else
        recordRemoved(node.targetTable, target, BootClock::now());
    sweep(node);
}

asio::awaitable<void> followPlatform(GatewayNode &node)
{
    PlatformSink sink;
    sink.config = [&node](std::string document) {
        return applyStoredConfig(node, std::move(document));
    };
    sink.configConfirmed = [&node](std::int64_t version, Instant readBegan) {
        recordConfirmation(node.confirmations, {version, readBegan});
        node.confirmed.notifyAll();
    };
    sink.adapterVersion = [&node](const std::string &adapter, std::int64_t version) {
        applyAdapterVersion(node, adapter, version);
    };
    sink.listRead = [&node] {
        recordListRead(node.targetTable, BootClock::now());
        // The relay may never have known the targets read here, so it would not report their
        // removal: the next complete list from it has to be applied as a whole.
        node.listSource = ListSource();
        node.started.notifyAll();
    };
    sink.target = [&node](TargetEntry entry) {
        applyTarget(node, std::move(entry));
    };
    sink.targetRemoved = [&node](const std::string &id) {
        recordRemoved(node.targetTable, id, BootClock::now());
        sweep(node);
    };
    sink.fullTargetList = [&node](std::vector<TargetEntry> entries,
                                  const std::vector<std::string> &unreadable) {
        for (const TargetEntry &entry : entries)
            applyTarget(node, entry);
        recordFullList(node.targetTable, std::move(entries), unreadable, BootClock::now());
        sweep(node);
    };
    sink.unreadable = [](std::string_view what, const std::string &key) {
        logEvent(EventId::DocumentUnreadable, {{"what", std::string(what)}, {"source", key}});
    };
    sink.listFailed = [&node] {
        recordListFailure(node.targetTable, BootClock::now());
    };
    sink.peer = [&node](PlatformVm vm) {
        addPeer(node, vm.peers, {std::move(vm.name), std::move(vm.zone), vm.capacity});
    };
    sink.usageSnapshots = [&node](std::vector<UsageSnapshot> snapshots) {
        applyStoredSnapshots(node, std::move(snapshots));
    };
    sink.earlierBoots = [&node](bool seen) {
        recordEarlierBoots(node, seen);
        if (isFirstStart(node))
            watchFirstRoutes(node);
    };
    sink.peersRead = [&node] {
        node.vmListRead = true;
    };
    sink.isReading = [&node] {
        return node.relaying;
    };
    sink.isReadingList = [&node] {
        return node.relaying || readsListItself(node, BootClock::now());
    };
    sink.hasBackupRelays = [&node] {
        const auto zones = std::count_if(
            node.reported.reports.begin(), node.reported.reports.end(),
            [&](const auto &report) { return report.first.starts_with(zoneReporterPrefix); });
        return zones >= minBackupRelays;
    };
    sink.ownRecord = [&node](OwnRecord own) {
        node.bootCount = own.bootCount;
    };
    sink.storeReachable = [&node](bool reachable, const std::string &why) {
        recordStoreAnswer(node, reachable, BootClock::now());
        if (reachable == node.storeUp)
            return;
        node.storeUp = reachable;
        logEvent(reachable ? EventId::StoreReachable : EventId::StoreUnreachable, {{"why", why}});
    };
    sink.storeEra = [&node](StoreEra era) {
        return acceptStoreEra(node, era);
    };
    sink.newestStoreEra = [&node] {
        return node.storeEra;
    };
    co_await node.platform->follow(node.http, node.settings, sink);
}

asio::awaitable<void> sweepLoop(GatewayNode &node)
{
    CallerMemoryWatch callerMemory;
    while (!node.stopped) {
        sweep(node);
        watchCallerMemory(node, callerMemory, BootClock::now());
        pruneEvidence(node, BootClock::now());
        forgetUnused(node.prefixes.table, BootClock::now());
        co_await pauseFor(node, sweepInterval);
    }
}

} // namespace monsoonbay
