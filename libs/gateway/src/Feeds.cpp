#include "Feeds.h"

#include "EngineOrders.h"
#include "PeerNews.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** With this many peers heard lately, news that this VM reads late reaches it through them. */
constexpr int backingPeers = 2;

constexpr Duration sweepEvery = std::chrono::milliseconds(500);

/** Word of the VM that orders an engine goes before the engine's own entry, which lags, for this.
 */
constexpr Duration holderWordHolds = std::chrono::milliseconds(1500);

void takeConfig(GatewayNode &node, ServingConfig config, std::string document,
                const std::string &source)
{
    const std::int64_t before = node.routes->config().version;
    if (!mayReplace(before, config.version))
        return;
    const std::int64_t version = config.version;
    node.routes = std::make_shared<RouteTable>(std::move(config));
    node.configDocument = std::move(document);
    logEvent(EventId::ConfigInForce,
             {{"version", std::to_string(version)},
              {"before", std::to_string(before)},
              {"routes", std::to_string(node.routes->config().routes.size())},
              {"source", source}});
    tellUrgently(node);
}

void takeTarget(GatewayNode &node, TargetEntry entry)
{
    const std::string id = entry.id;
    const bool leaving = entry.leaving;
    const auto known = node.book.records.find(id);
    const bool wasLeaving = known != node.book.records.end() && known->second.entry.leaving;
    const bool isNew = known == node.book.records.end();
    TargetRuntime &runtime = runtimeOf(node, id);
    const bool holderSpoke = runtime.residentTold != Instant{}
        && BootClock::now() - runtime.residentTold < holderWordHolds;
    if (!holderSpoke) {
        ResidentVersions resident;
        for (const HeldAdapter &held : entry.adapters)
            resident[held.adapter] = held.version;
        noteResident(runtime, std::move(resident));
        runtime.models = std::set<std::string>(entry.models.begin(), entry.models.end());
    }
    if (isNew)
        logEvent(EventId::TargetListed,
                 {{"target", id},
                  {"service", entry.service},
                  {"zone", entry.zone},
                  {"address", entry.endpoint.text()}});
    noteListed(node.book, std::move(entry));
    if (leaving && !wasLeaving) {
        logEvent(EventId::TargetLeaving, {{"target", id}, {"source", "list"}});
        tellUrgently(node);
    }
    if (isNew)
        node.engineChanged.notifyAll();
}

void sweep(GatewayNode &node)
{
    for (const std::string &id : dropGone(node.book, BootClock::now())) {
        logEvent(EventId::TargetGone, {{"target", id}});
        const auto runtime = node.targets.find(id);
        // Calls that are under way there still hold on to its counts.
        if (runtime != node.targets.end() && runtime->second->own.runs == 0)
            node.targets.erase(runtime);
        const auto desk = node.desks.find(id);
        if (desk != node.desks.end() && !desk->second->ordering)
            desk->second->desk = OrderDesk();
    }
}

} // namespace

void takeConfigDocument(GatewayNode &node, const std::string &document, const std::string &source)
{
    ServingConfig config;
    if (!node.platform->readConfig(document, config)) {
        logEvent(EventId::DocumentUnreadable, {{"what", "configuration"}, {"source", source}});
        return;
    }
    takeConfig(node, std::move(config), document, source);
}

void noteLeavingByPeer(GatewayNode &node, const std::string &target)
{
    const auto found = node.book.records.find(target);
    if (found == node.book.records.end() || found->second.entry.leaving)
        return;
    found->second.entry.leaving = true;
    logEvent(EventId::TargetLeaving, {{"target", target}, {"source", "peer"}});
}

asio::awaitable<void> followPlatform(GatewayNode &node)
{
    PlatformSink sink;
    sink.config = [&node](ServingConfig config, std::string document) {
        takeConfig(node, std::move(config), std::move(document), "store");
    };
    sink.adapterVersion = [&node](const std::string &adapter, std::int64_t version) {
        noteAdapterVersion(node, adapter, version);
    };
    sink.listRead = [&node] {
        noteListRead(node.book, BootClock::now());
    };
    sink.target = [&node](TargetEntry entry) {
        takeTarget(node, std::move(entry));
    };
    sink.targetRemoved = [&node](const std::string &id) {
        noteRemoved(node.book, id, BootClock::now());
        sweep(node);
    };
    sink.wholeList = [&node](std::vector<TargetEntry> entries) {
        for (const TargetEntry &entry : entries)
            takeTarget(node, entry);
        noteWholeList(node.book, std::move(entries), BootClock::now());
        sweep(node);
    };
    sink.peer = [&node](const Endpoint &endpoint, const std::string &zone) {
        addPeer(node, endpoint, zone);
    };
    sink.isBacked = [&node] {
        return liveGateways(node) > backingPeers;
    };
    sink.orderedBefore = [&node](std::int64_t generation) {
        node.orderedBefore = generation;
    };
    sink.storeReachable = [&node](bool reachable, const std::string &why) {
        if (reachable == node.storeUp)
            return;
        node.storeUp = reachable;
        logEvent(reachable ? EventId::StoreReachable : EventId::StoreUnreachable, {{"why", why}});
    };
    co_await node.platform->follow(node.http, node.settings, sink);
}

asio::awaitable<void> sweepLoop(GatewayNode &node)
{
    while (!node.stopped) {
        sweep(node);
        co_await pauseFor(node, sweepEvery);
    }
}

} // namespace monsoonbay
