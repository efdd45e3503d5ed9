#include "RelayLoops.h"

#include <algorithm>

#include "FirstStart.h"
#include "FleetCount.h"
#include "LinkWatch.h"
#include "PeerExchange.h"
#include "SharedEngines.h"
#include "ZonePeers.h"
#include "observe/Events.h"
#include "serving/UpdateAge.h"

namespace monsoonbay {

namespace {

/**
 * Regular reports carry the load of engines; with outdated figures, VMs send too many calls to the
 * same engine. A relay answers all VMs of its zone, so VMs of large zones report less often.
 */
constexpr Duration minReportInterval = std::chrono::milliseconds(60);
constexpr Duration reportIntervalPerZonePeer = std::chrono::milliseconds(8);
/** Between the relays of two zones. Traffic between zones is charged, and grows with the VMs. */
constexpr Duration minZoneInterval = std::chrono::milliseconds(60);
constexpr Duration zoneIntervalPerVm = std::chrono::milliseconds(3);
/** Reports after a change wait this long for further changes. */
constexpr Duration reportBatchDelay = std::chrono::milliseconds(15);
constexpr Duration zonePeerCheckInterval = std::chrono::milliseconds(250);
/** By this time after a start, VMs that can read the store's list of VMs have found each other. */
constexpr Duration listWait = std::chrono::milliseconds(1000);
/** A peer that was silent for this long is removed; the store's list adds it again. */
constexpr Duration forgetAfter = std::chrono::seconds(60);

// A VM that has just started waits for the list of VMs; otherwise it would take itself for the only
// one. When all VMs start at once, the list still grows while they read it.
bool knowsZonePeers(const GatewayNode &node, Instant now)
{
    const bool listMayGrow = mayBeFirstStart(node);
    return (node.vmListRead && !listMayGrow) || now - node.bootedAt > listWait;
}

} // namespace

// When this VM stops being the relay, the VMs that reported to it report to the next relay, and so
// does this VM. If it kept their reports, it would pass them on and they would be counted twice:
// engines would look full, and calls would be refused.
void setRelaying(GatewayNode &node, bool relaying)
{
    if (node.relaying == relaying)
        return;
    rememberUsageOfOthers(node);
    node.relaying = relaying;
    node.listSource = ListSource();
    if (!relaying)
        node.reported = UsageLedger();
    logEvent(EventId::RelayChanged,
             {{"relaying", relaying ? "yes" : "no"}, {"peers", std::to_string(node.peers.size())}});
}

namespace {

void forgetRelay(GatewayNode &node)
{
    if (node.relayState.at == Instant{})
        return;
    rememberUsageOfOthers(node);
    node.relayState = RelayState();
}

Duration reportInterval(const GatewayNode &node)
{
    return std::max(minReportInterval, reportIntervalPerZonePeer * countZonePeers(node));
}

Duration zoneInterval(const GatewayNode &node)
{
    return std::max(minZoneInterval, zoneIntervalPerVm * liveGateways(node));
}

/**
 * Peers of which only the address is known, and that may be asked now. They are needed while this
 * VM starts, or has not read the store's list of VMs.
 */
std::vector<Endpoint> unidentifiedPeers(const GatewayNode &node, Instant now)
{
    std::vector<Endpoint> found;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.name.empty() && !peer.exchangeRunning && now >= peer.retryAt)
            found.push_back(endpoint);
    }
    return found;
}

/** An exchange other than the regular ones with this VM's relay. */
asio::awaitable<void> extraExchange(GatewayNode &node, Endpoint endpoint, bool withUsage)
{
    const bool answered = co_await exchangeWith(node, endpoint, withUsage, false);
    static_cast<void>(answered); // recorded in the peer's state
}

} // namespace

// Updates wait for their VM's next report, and then on average half an interval for the next
// exchange between the relays of two zones.
Duration loadReportAge(const GatewayNode &node)
{
    return reportInterval(node) + zoneInterval(node) / 2;
}

Duration knownLoadAge(const GatewayNode &node, Instant now)
{
    Instant lastReport = node.relayState.at;
    for (const auto &[reporter, report] : node.reported.reports)
        lastReport = std::max(lastReport, report.at);
    const Instant allReportedAt =
        node.fleet.seenAt == Instant{} ? node.bootedAt : node.fleet.seenAt;
    UpdateAgeInputs inputs;
    inputs.regular = loadReportAge(node);
    inputs.sinceLastUpdate = lastReport == Instant{} ? Duration::zero() : now - lastReport;
    inputs.sinceAllReported = now - allReportedAt;
    inputs.vmsReporting = reachableVms(node, now);
    inputs.knownVms = knownVms(node, now);
    return updateAge(inputs);
}

namespace {

/** True if the relay has not sent all of its changes yet. */
bool relayHasMore(const GatewayNode &node)
{
    const auto relay = node.peers.find(node.relayState.relay);
    return node.relayState.at != Instant{} && relay != node.peers.end()
        && relay->second.hasMoreUpdates;
}

} // namespace

asio::awaitable<void> upstreamLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        if (!knowsZonePeers(node, now)) {
            co_await pauseFor(node, reportBatchDelay);
            continue;
        }
        const ZonePeers zone = zonePeersOf(node, node.settings.zone);
        const RelayRank self = ownRank(node);
        setRelaying(node, isRelay(self, isStarting(node), zone.candidates));
        const auto relayIndex = chooseUpstream(self, isStarting(node), zone.candidates);
        if (!relayIndex) {
            forgetRelay(node);
            const bool listSettled = !mayBeFirstStart(node) || now - node.bootedAt > 2 * listWait;
            node.mayHoldLease = node.mayHoldLease || listSettled;
        } else if (!zone.peers[*relayIndex]->exchangeRunning) {
            const Endpoint endpoint = zone.peers[*relayIndex]->endpoint;
            // A relay that gets state from another VM while it starts does not report usage to it:
            // each would count the other's calls as its own.
            const bool answered =
                co_await exchangeWith(node, endpoint, !node.relaying, !node.relaying);
            if (!answered && !node.stopped) {
                co_await pauseFor(node, reportBatchDelay);
                continue;
            }
        }
        if (!relayHasMore(node))
            co_await node.reportDue.wait(reportInterval(node));
        co_await pauseFor(node, reportBatchDelay);
    }
}

namespace {

/** The relay of another zone, or the best-ranked candidate for it; null: none can be reached. */
const PeerState *relayOfZone(GatewayNode &node, const std::string &name)
{
    const Instant now = BootClock::now();
    const auto knownRelay = node.zoneRelays.find(name);
    if (knownRelay != node.zoneRelays.end()) {
        const auto peer = node.peers.find(knownRelay->second);
        if (peer != node.peers.end() && isReachable(peer->second, now))
            return &peer->second;
    }
    const ZonePeers zone = zonePeersOf(node, name);
    const PeerState *best = nullptr;
    for (std::size_t index = 0; index < zone.candidates.size(); ++index) {
        if (!zone.candidates[index].reachable)
            continue;
        if (best == nullptr || ranksBefore(zone.candidates[index].rank, rankOf(*best)))
            best = zone.peers[index];
    }
    return best;
}

} // namespace

asio::awaitable<void> otherZonesLoop(GatewayNode &node)
{
    while (!node.stopped) {
        std::set<std::string> zones;
        for (const auto &[endpoint, peer] : node.peers) {
            if (!peer.zone.empty() && peer.zone != node.settings.zone)
                zones.insert(peer.zone);
        }
        for (const std::string &name : zones) {
            if (!node.relaying)
                break;
            const PeerState *relay = relayOfZone(node, name);
            if (relay == nullptr || relay->exchangeRunning)
                continue;
            spawn(node, "exchange with a zone", extraExchange(node, relay->endpoint, true));
        }
        co_await pauseFor(node, zoneInterval(node));
    }
}

// Probes better-ranked zone peers that failed, as the zone would otherwise keep a weaker relay. A
// relay also probes all zone peers that do not report to it: they may not know it.
asio::awaitable<void> zonePeersLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        for (const Endpoint &seed : node.settings.seeds)
            addPeer(node, seed, SharedVm());
        dropSilent(node.reported, reporterTimeout, now);
        if (node.relayState.at != Instant{} && now - node.relayState.at > reporterTimeout)
            forgetRelay(node);
        markSilentHolders(node, now);
        updateLiveGateways(node, now);
        recountVms(node, now);
        const RelayRank self = ownRank(node);
        std::vector<Endpoint> due;
        for (const auto &[endpoint, peer] : node.peers) {
            if (peer.exchangeRunning || now < peer.retryAt || peer.name.empty())
                continue;
            const bool zonePeer = isZonePeer(node, peer);
            const bool silentReporter = node.relaying && zonePeer
                && now - peer.lastReportAt > listWait && now - peer.lastMessageAt > reporterTimeout;
            const bool failed =
                peer.failures > 0 && (zonePeer ? ranksBefore(rankOf(peer), self) : node.relaying);
            // This VM remains a relay until the better-ranked one has started.
            const bool betterStarting = node.relaying && zonePeer && peer.starting
                && ranksBefore(rankOf(peer), self)
                && now - peer.lastMessageAt > zonePeerCheckInterval;
            const bool maybeBack = zonePeer
                && (peer.storeUnreachable || peer.stopping || peer.starting)
                && now - peer.lastMessageAt > listWait;
            if (silentReporter || failed || betterStarting || maybeBack)
                due.push_back(endpoint);
        }
        if (knowsZonePeers(node, now) && (isStarting(node) || !node.vmListRead)) {
            for (const Endpoint &unidentified : unidentifiedPeers(node, now))
                due.push_back(unidentified);
        }
        for (const Endpoint &endpoint : due)
            spawn(node, "probe", extraExchange(node, endpoint, false));
        std::erase_if(node.peers, [now](const auto &entry) {
            const PeerState &peer = entry.second;
            const Instant last = std::max(peer.lastMessageAt, peer.addedAt);
            return !peer.exchangeRunning && now - last > forgetAfter;
        });
        co_await pauseFor(node, zonePeerCheckInterval);
    }
}

} // namespace monsoonbay
