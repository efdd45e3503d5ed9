#include "PeerNews.h"

#include "EngineOrders.h"
#include "Feeds.h"
#include "LeaseKeeping.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** Regular news carry load; older load figures let gateways pile onto the same engine. */
constexpr Duration newsEvery = std::chrono::milliseconds(200);
/** News after a change wait this long for further changes. */
constexpr Duration newsGather = std::chrono::milliseconds(15);
constexpr Duration tellTimeout = std::chrono::milliseconds(1000);
/** A peer that was never heard, or fell silent, is forgotten after this. */
constexpr Duration forgetAfter = std::chrono::seconds(30);

void fillVm(v1::Vm &vm, const std::string &name, const Endpoint &endpoint, std::uint64_t boot)
{
    vm.set_name(name);
    vm.set_address(endpoint.address);
    vm.set_port(endpoint.port);
    vm.set_boot(boot);
}

void fillHeld(GatewayNode &node, v1::News &news)
{
    for (const auto &[id, record] : node.book.records) {
        if (!mayOrderNow(node, id))
            continue;
        v1::HeldEngine *engine = news.add_held();
        engine->set_target(id);
        const auto desk = node.desks.find(id);
        if (desk == node.desks.end() || desk->second->desk.sequence < 0)
            continue;
        noteRuns(desk->second->desk, totalUse(node, id).adapterRuns, BootClock::now());
        engine->set_idle_slots(idleSlots(desk->second->desk, BootClock::now()));
        for (const std::string &model : desk->second->desk.models)
            engine->add_models(model);
        for (const auto &[adapter, slot] : desk->second->desk.slots) {
            v1::Slot *told = engine->add_slots();
            told->set_adapter(adapter);
            told->set_version(slot.version);
            told->set_loading(slot.loading);
        }
    }
}

void fillUses(const GatewayNode &node, v1::News &news)
{
    for (const auto &[id, runtime] : node.targets) {
        const TargetUse &use = runtime->own;
        if (use.runs == 0)
            continue;
        v1::EngineUse *told = news.add_uses();
        told->set_target(id);
        told->set_waiting_tokens(use.waitingTokens);
        told->set_held_tokens(use.heldTokens);
        told->set_runs(static_cast<std::uint32_t>(use.runs));
        for (const auto &[adapter, runs] : use.adapterRuns) {
            v1::AdapterUse *adapterUse = told->add_adapters();
            adapterUse->set_adapter(adapter);
            adapterUse->set_runs(static_cast<std::uint32_t>(runs));
        }
    }
}

void fillReleases(const GatewayNode &node, v1::News &news)
{
    const Instant now = BootClock::now();
    for (const Release &release : node.lease.releases) {
        v1::Released *told = news.add_released();
        told->set_partition(release.partition);
        told->set_generation(release.generation);
        const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - release.at);
        told->set_ago_ms(ago.count());
    }
}

// A message that was long under way makes a release look younger than it is, which only lengthens
// the wait.
void takeReleases(GatewayNode &node, const v1::News &news)
{
    const Instant now = BootClock::now();
    for (const v1::Released &told : news.released()) {
        Release release;
        release.partition = told.partition();
        release.generation = told.generation();
        release.at = now - std::chrono::milliseconds(told.ago_ms());
        noteRelease(node.lease, release, node.settings.lease);
    }
}

std::shared_ptr<v1::News> newsOf(GatewayNode &node)
{
    auto news = std::make_shared<v1::News>();
    fillVm(*news->mutable_from(), node.settings.vm, node.settings.peers, node.boot);
    news->set_sequence(++node.newsSequence);
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.heardAt != Instant{})
            fillVm(*news->add_known(), peer.name, endpoint, peer.boot);
    }
    fillHeld(node, *news);
    fillUses(node, *news);
    for (const auto &[id, record] : node.book.records) {
        if (record.entry.leaving)
            news->add_leaving(id);
    }
    news->set_config_version(node.routes->config().version);
    news->set_stopping(node.shuttingDown);
    news->set_zone(node.settings.zone);
    news->set_lease_generation(node.lease.generation);
    news->set_store_away(node.renewalFailing);
    fillReleases(node, *news);
    return news;
}

asio::awaitable<void> tellPeer(GatewayNode &node, Endpoint endpoint, std::shared_ptr<v1::News> news)
{
    PeerState &peer = node.peers[endpoint];
    const bool behind = peer.heardAt != Instant{}
        && peer.configVersion < node.routes->config().version && !node.configDocument.empty();
    if (behind) {
        news = std::make_shared<v1::News>(*news);
        news->set_config(node.configDocument);
    }
    const auto reply = co_await node.links.tell(endpoint, news, tellTimeout);
    const auto found = node.peers.find(endpoint);
    if (found == node.peers.end())
        co_return;
    found->second.telling = false;
    if (!reply)
        co_return;
    found->second.configVersion = reply->config_version();
}

void forgetSilent(GatewayNode &node, Instant now)
{
    std::erase_if(node.peers, [now](const auto &entry) {
        const PeerState &peer = entry.second;
        const Instant last = std::max(peer.heardAt, peer.addedAt);
        return !peer.telling && now - last > forgetAfter;
    });
}

void takeHeld(GatewayNode &node, PeerState &peer, const v1::News &news)
{
    std::unordered_set<std::string> held;
    peer.loads = 0;
    const Instant now = BootClock::now();
    for (const v1::HeldEngine &engine : news.held()) {
        held.insert(engine.target());
        for (const v1::Slot &slot : engine.slots())
            peer.loads += slot.loading() ? 1 : 0;
        const bool toldNothing = engine.slots().empty() && engine.models().empty();
        if (toldNothing || mayOrderNow(node, engine.target()))
            continue;
        TargetRuntime &runtime = runtimeOf(node, engine.target());
        runtime.residentTold = now;
        runtime.idleSlots = engine.idle_slots();
        ResidentVersions resident;
        runtime.models = std::set<std::string>(engine.models().begin(), engine.models().end());
        for (const v1::Slot &slot : engine.slots()) {
            if (!slot.loading())
                resident[slot.adapter()] = slot.version();
        }
        noteResident(runtime, std::move(resident));
    }
    peer.held = std::move(held);
}

void takeUses(PeerState &peer, const v1::News &news)
{
    peer.uses.clear();
    for (const v1::EngineUse &told : news.uses()) {
        TargetUse &use = peer.uses[told.target()];
        use.waitingTokens = told.waiting_tokens();
        use.heldTokens = told.held_tokens();
        use.runs = static_cast<int>(told.runs());
        for (const v1::AdapterUse &adapter : told.adapters())
            use.adapterRuns[adapter.adapter()] = static_cast<int>(adapter.runs());
    }
}

} // namespace

void addPeer(GatewayNode &node, const Endpoint &endpoint, const std::string &zone)
{
    if (endpoint == node.settings.peers)
        return;
    const auto [found, added] = node.peers.try_emplace(endpoint);
    // Seeds are added before their zone is known. A VM of the own zone has to be known as one: a VM
    // that starts during a cut waits until it has heard all of these.
    if (!zone.empty())
        found->second.zone = zone;
    if (!added)
        return;
    found->second.endpoint = endpoint;
    found->second.addedAt = BootClock::now();
    node.newsDue.notifyAll();
}

v1::NewsReply takeNews(GatewayNode &node, const v1::News &news)
{
    v1::NewsReply reply;
    reply.set_config_version(node.routes->config().version);
    const Endpoint endpoint{news.from().address(), static_cast<std::uint16_t>(news.from().port())};
    if (endpoint == node.settings.peers)
        return reply;
    addPeer(node, endpoint, news.zone());
    PeerState &peer = node.peers[endpoint];
    const bool reborn = peer.boot != news.from().boot();
    if (!reborn && news.sequence() <= peer.sequence)
        return reply;
    if (reborn)
        logEvent(EventId::MemberAlive, {{"peer", news.from().name()}, {"at", endpoint.text()}});
    peer.boot = news.from().boot();
    peer.name = news.from().name();
    peer.sequence = news.sequence();
    peer.heardAt = BootClock::now();
    peer.stopping = news.stopping();
    peer.zone = news.zone();
    peer.leaseGeneration = news.lease_generation();
    peer.storeAway = news.store_away();
    if (news.zone() == node.settings.zone)
        takeReleases(node, news);
    peer.configVersion = news.config_version();
    takeHeld(node, peer, news);
    takeUses(peer, news);
    for (const v1::Vm &known : news.known())
        addPeer(node, Endpoint{known.address(), static_cast<std::uint16_t>(known.port())}, {});
    for (const std::string &id : news.leaving())
        noteLeavingByPeer(node, id);
    if (!news.config().empty())
        takeConfigDocument(node, news.config(), "peer " + peer.name);
    reply.set_config_version(node.routes->config().version);
    return reply;
}

namespace {

/** VMs of the own zone hold one another's leases, so they are told at every turn. */
bool isDue(const GatewayNode &node, const PeerState &peer, Instant now)
{
    if (peer.telling)
        return false;
    const bool mate = peer.zone == node.settings.zone || peer.zone.empty();
    return mate || node.newsUrgent || now - peer.toldAt >= newsSpacing(node);
}

} // namespace

void tellAll(GatewayNode &node)
{
    const Instant now = BootClock::now();
    std::vector<Endpoint> endpoints;
    for (auto &[endpoint, peer] : node.peers) {
        if (!isDue(node, peer, now))
            continue;
        peer.telling = true;
        peer.toldAt = now;
        endpoints.push_back(endpoint);
    }
    node.newsUrgent = false;
    if (endpoints.empty())
        return;
    const std::shared_ptr<v1::News> news = newsOf(node);
    for (const Endpoint &endpoint : endpoints)
        spawn(node, "tell peer", tellPeer(node, endpoint, news));
}

void tellUrgently(GatewayNode &node)
{
    node.newsUrgent = true;
    node.newsDue.notifyAll();
}

asio::awaitable<void> newsLoop(GatewayNode &node)
{
    while (!node.stopped) {
        forgetSilent(node, BootClock::now());
        for (const Endpoint &seed : node.settings.seeds)
            addPeer(node, seed, {});
        tellAll(node);
        co_await node.newsDue.wait(newsEvery);
        co_await pauseFor(node, newsGather);
    }
}

} // namespace monsoonbay
