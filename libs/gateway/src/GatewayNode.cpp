#include "GatewayNode.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>

#include "PrefixSharing.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** Silent VMs are still counted for this long; a network outage must not speed up exchanges. */
constexpr Duration silentVmsCountFor = std::chrono::seconds(15);

/**
 * Only a relay reads the store. A VM that failed to read it as the relay counts as cut off from it
 * for this long, or until its lease is renewed. This keeps two VMs from taking turns as the relay
 * while the store is unreachable for all.
 */
constexpr Duration storeFailureValidity = std::chrono::seconds(20);

/**
 * Lease holders call the store every 0.5 s and report it 0.1 s later. So a zone peer that the store
 * last answered up to this long before this VM's first failure may still reach it.
 */
constexpr Duration storeReportLag = std::chrono::milliseconds(600);

// A zone peer counts only if it has reported that the store answered it. When peers of unknown
// state counted, too, each of 21 VMs in a zone cut off from the store became the relay for a
// second, in turn: the relay stepped down for the next VM, which had not tried the store yet. Calls
// were refused for 4 s.
bool zonePeerReachesStore(const GatewayNode &node)
{
    return std::any_of(node.peers.begin(), node.peers.end(), [&node](const auto &entry) {
        const PeerState &peer = entry.second;
        const bool zonePeer = peer.zone == node.settings.zone && peer.storeReachedAt != Instant{};
        return zonePeer && peer.storeReachedAt + storeReportLag > node.storeFailingSince;
    });
}

} // namespace

GatewayNode::GatewayNode(const GatewaySettings &settings)
    : settings(settings)
    , platform(findPlatform(settings.platform))
    , callerConnections(limitsFor(withinProcessLimit(settings.resources)))
    , context(1)
    , http(this->context)
    , random(std::random_device()())
    , boot(this->random())
    , routes(std::make_shared<RouteTable>())
    , confirmed(this->context)
    , configOffered(this->context)
    , retryEarned(this->context)
    , resuming(this->context)
    , runsDue(this->context)
    , bootedAt(BootClock::now())
    , started(this->context)
    , engineChanged(this->context)
    , callStartedWaiting(this->context)
    , reportDue(this->context)
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
    const auto found = node.targetTable.records.find(target);
    return found == node.targetTable.records.end() ? nullptr : &found->second.entry;
}

void setResident(GatewayNode &node, const std::string &target, ResidentVersions resident)
{
    TargetRuntime &runtime = runtimeOf(node, target);
    const Instant now = BootClock::now();
    for (const auto &[adapter, version] : resident) {
        runtime.residentSince.try_emplace(adapter, now);
        if (runtime.resident.count(adapter) == 0)
            recordTouch(runtime.copies, adapter);
    }
    std::erase_if(runtime.residentSince,
                  [&resident](const auto &known) { return resident.count(known.first) == 0; });
    for (const auto &[adapter, version] : runtime.resident) {
        const auto kept = resident.find(adapter);
        if (kept == resident.end())
            recordTouch(runtime.copies, adapter);
        if (kept == resident.end() || kept->second != version)
            dropPrefixesOf(node, target, adapter);
    }
    runtime.resident = std::move(resident);
}

Duration timeBelievedResident(GatewayNode &node, const std::string &target,
                              const std::string &adapter)
{
    const auto &since = runtimeOf(node, target).residentSince;
    const auto found = since.find(adapter);
    return found == since.end() ? Duration::zero() : BootClock::now() - found->second;
}

int liveGateways(const GatewayNode &node)
{
    return node.recentVms;
}

void updateLiveGateways(GatewayNode &node, Instant now)
{
    const int fromRelay = node.relayState.at == Instant{} ? 0 : node.relayState.vms;
    const int counted = std::max(1 + reportedVms(node.reported), fromRelay);
    const bool expired = now - node.recentVmsAt > silentVmsCountFor;
    if (counted < node.recentVms && !expired)
        return;
    node.recentVms = counted;
    node.recentVmsAt = now;
}

std::int64_t versionInForce(const GatewayNode &node, const std::string &adapter)
{
    const std::int64_t *version = node.shared.adapterVersions.find(adapter);
    return version == nullptr ? 0 : *version;
}

std::optional<Instant> configConfirmedAt(const GatewayNode &node)
{
    return confirmedAt(node.confirmations, node.routes->config().version);
}

void recordStoreAnswer(GatewayNode &node, bool answered, Instant now)
{
    if (answered) {
        node.storeReachedAt = now;
        node.storeFailedAt = Instant{};
        node.storeFailingSince = Instant{};
        return;
    }
    node.storeFailedAt = now;
    if (node.storeFailingSince == Instant{})
        node.storeFailingSince = now;
}

RelayRank ownRank(const GatewayNode &node)
{
    RelayRank rank;
    const bool failed = node.storeFailedAt != Instant{}
        && BootClock::now() - node.storeFailedAt < storeFailureValidity;
    // A VM that is shutting down is the relay only if no other VM can be.
    rank.storeUnreachable =
        node.shuttingDown || (failed && !node.storeUp && zonePeerReachesStore(node));
    rank.capacity = node.shuttingDown ? 0 : node.settings.capacity;
    rank.hash = stableHash(node.settings.vm);
    return rank;
}

bool isStarting(const GatewayNode &node) noexcept
{
    return node.routes->config().version == 0 || node.targetTable.lastReadAt == Instant{};
}

Instant pausedUntil(const GatewayNode &node, const std::string &target, Instant now)
{
    const auto found = node.targets.find(target);
    if (found == node.targets.end() || found->second->pausedUntil <= now)
        return Instant{};
    return found->second->pausedUntil;
}

std::vector<const TargetRecord *> targetsOf(const GatewayNode &node, const std::string &service)
{
    std::vector<const TargetRecord *> found;
    for (const auto &[id, record] : node.targetTable.records) {
        if (record.entry.service == service && mayTakeWork(record))
            found.push_back(&record);
    }
    return found;
}

TargetUsage othersUsageAt(const GatewayNode &node, const std::string &target)
{
    TargetUsage others;
    const auto fromReports = node.reported.total.find(target);
    if (fromReports != node.reported.total.end())
        addUsage(others, fromReports->second);
    const auto fromRelay = node.relayState.others.find(target);
    if (fromRelay != node.relayState.others.end())
        addUsage(others, fromRelay->second);
    return others;
}

TargetUsage totalLoad(const GatewayNode &node, const std::string &target)
{
    TargetUsage total = othersUsageAt(node, target);
    const auto own = node.targets.find(target);
    if (own == node.targets.end())
        return total;
    addUsage(total, own->second->ownUsage);
    addHealth(total, own->second->health, BootClock::now());
    return total;
}

bool isReady(const GatewayNode &node) noexcept
{
    return !node.shuttingDown && node.routes->config().version > 0;
}

asio::awaitable<void> pauseFor(GatewayNode &node, Duration duration)
{
    asio::steady_timer timer(node.context, duration);
    constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
    co_await timer.async_wait(nothrowAwaitable);
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
