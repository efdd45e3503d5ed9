#include "GatewayNode.h"

#include <boost/asio/co_spawn.hpp>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** A peer that has been silent for this long counts as gone, or for three times its spacing. */
constexpr Duration peerSilence = std::chrono::milliseconds(2000);

/** Engines keep the weights of 54 adapters by the users' sheets; fewer are counted on here. */
constexpr std::size_t warmRemembered = 40;

constexpr Duration leastSpacing = std::chrono::milliseconds(200);

/**
 * Each VM tells each other one, so the messages grow with the square of the VMs; this spacing for
 * each peer keeps those that a VM sends to other zones at about 40 a second.
 */
constexpr Duration spacingPerPeer = std::chrono::milliseconds(25);

} // namespace

GatewayNode::GatewayNode(const GatewaySettings &settings)
    : settings(settings)
    , platform(findPlatform(settings.platform))
    , context(1)
    , http(this->context)
    , random(std::random_device()())
    , boot(this->random())
    , routes(std::make_shared<RouteTable>())
    , bootedAt(BootClock::now())
    , engineChanged(this->context)
    , newsDue(this->context)
{ }

TargetRuntime &runtimeOf(GatewayNode &node, const std::string &target)
{
    std::unique_ptr<TargetRuntime> &runtime = node.targets[target];
    if (!runtime) {
        runtime = std::make_unique<TargetRuntime>();
        runtime->hash = stableHash(target);
    }
    return *runtime;
}

const TargetEntry *entryOf(const GatewayNode &node, const std::string &target)
{
    const auto found = node.book.records.find(target);
    return found == node.book.records.end() ? nullptr : &found->second.entry;
}

void noteResident(TargetRuntime &runtime, ResidentVersions resident)
{
    for (const auto &[adapter, version] : resident) {
        if (runtime.resident.count(adapter) > 0)
            continue;
        runtime.warm.remove(adapter);
        runtime.warm.push_front(adapter);
        if (runtime.warm.size() > warmRemembered)
            runtime.warm.pop_back();
    }
    runtime.resident = std::move(resident);
}

Duration newsSpacing(const GatewayNode &node) noexcept
{
    return std::max(leastSpacing, spacingPerPeer * static_cast<int>(node.peers.size()));
}

bool isLive(const GatewayNode &node, const PeerState &peer, Instant now) noexcept
{
    const Duration silence = std::max(peerSilence, 3 * newsSpacing(node));
    return peer.heardAt != Instant{} && now - peer.heardAt < silence;
}

int liveGateways(const GatewayNode &node)
{
    const Instant now = BootClock::now();
    int live = 1;
    for (const auto &[endpoint, peer] : node.peers) {
        if (isLive(node, peer, now))
            ++live;
    }
    return live;
}

std::vector<const TargetRecord *> targetsOf(const GatewayNode &node, const std::string &service)
{
    std::vector<const TargetRecord *> found;
    for (const auto &[id, record] : node.book.records) {
        if (record.entry.service == service && mayTakeWork(record))
            found.push_back(&record);
    }
    return found;
}

TargetUse totalUse(const GatewayNode &node, const std::string &target)
{
    TargetUse total;
    const auto add = [&total](const TargetUse &use) {
        total.waitingTokens += use.waitingTokens;
        total.heldTokens += use.heldTokens;
        total.runs += use.runs;
        for (const auto &[adapter, runs] : use.adapterRuns)
            total.adapterRuns[adapter] += runs;
    };
    const auto own = node.targets.find(target);
    if (own != node.targets.end())
        add(own->second->own);
    const Instant now = BootClock::now();
    for (const auto &[endpoint, peer] : node.peers) {
        if (!isLive(node, peer, now))
            continue;
        const auto use = peer.uses.find(target);
        if (use != peer.uses.end())
            add(use->second);
    }
    return total;
}

bool isReady(const GatewayNode &node) noexcept
{
    return !node.shuttingDown && node.routes->config().version > 0;
}

asio::awaitable<void> pauseFor(GatewayNode &node, Duration duration)
{
    asio::steady_timer timer(node.context, duration);
    constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
    co_await timer.async_wait(quietly);
}

void spawn(GatewayNode &node, std::string_view what, asio::awaitable<void> task)
{
    asio::co_spawn(
        node.context, std::move(task), [name = std::string(what)](const std::exception_ptr &error) {
            if (!error)
                return;
            try {
                std::rethrow_exception(error);
            } catch (const std::exception &exception) {
                logEvent(EventId::TaskFailed, {{"task", name}, {"error", exception.what()}});
            }
        });
}

} // namespace monsoonbay
