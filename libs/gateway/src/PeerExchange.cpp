#include "PeerExchange.h"

#include <algorithm>

#include "AnswerHints.h"
#include "ConfigDownload.h"
#include "EngineCommands.h"
#include "Feeds.h"
#include "FleetCount.h"
#include "LeaseKeeping.h"
#include "LinkWatch.h"
#include "PeerCodec.h"
#include "PrefixSharing.h"
#include "SharedEngines.h"
#include "StateUpdates.h"
#include "UpdateBytes.h"
#include "UsageReports.h"
#include "UsageSnapshots.h"
#include "WorkspaceQuota.h"
#include "ZonePeers.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** A relay answers in a few ms; one that does not answer in this time is skipped. */
constexpr Duration reportTimeout = std::chrono::milliseconds(500);
/** Delay after a failed exchange; it doubles with each further failure. */
constexpr Duration firstRetry = std::chrono::milliseconds(500);
constexpr int maxRetryDoublings = 4;
/** Lease holders per zone; each of them calls the store twice a second for its lease. */
constexpr std::size_t holdersPerZone = 4;
/** Maximum age of lease releases that are passed on; see PartitionLease. */
constexpr Duration maxReleaseAge = std::chrono::seconds(8);

std::string reporterOf(const GatewayNode &node, const v1::Vm &vm)
{
    // A zone is reported by its current relay, whose report replaces that of the previous relay.
    return vm.zone() == node.settings.zone ? decodeEndpoint(vm).text()
                                           : zoneReporterName(vm.zone());
}

/** Usage by this VM's calls in flight, and the busy slots of the engines that it holds. */
TargetUsages ownUsages(GatewayNode &node)
{
    TargetUsages usages;
    const Instant now = BootClock::now();
    for (const auto &[target, runtime] : node.targets) {
        TargetUsage usage = runtime->ownUsage;
        if (!isObservationDoubtful(node, target))
            addHealth(usage, runtime->health, now);
        usage.busySlots = busySlots(node, target);
        if (!isUnused(usage))
            usages[target] = usage;
    }
    return usages;
}

/** The total usage of this VM and of the zone peers that report to it. */
TargetUsages zoneUsages(GatewayNode &node)
{
    TargetUsages usages = ownUsages(node);
    for (const auto &[reporter, report] : node.reported.reports) {
        if (!reporter.starts_with(zoneReporterPrefix))
            addUsages(usages, report.targets);
    }
    return usages;
}

int ownVms(const GatewayNode &node)
{
    return reportsUsage(node, BootClock::now()) ? 1 : 0;
}

int zoneVms(const GatewayNode &node)
{
    int vms = ownVms(node);
    for (const auto &[reporter, report] : node.reported.reports) {
        if (!reporter.starts_with(zoneReporterPrefix))
            vms += report.vms;
    }
    return vms;
}

void addReleases(const GatewayNode &node, Instant now,
                 google::protobuf::RepeatedPtrField<v1::Released> &messages)
{
    for (const PartitionRelease &release : node.lease.releases)
        encodeRelease(release, now, *messages.Add());
    for (const PartitionRelease &release : node.peerReleases)
        encodeRelease(release, now, *messages.Add());
}

void applyReleases(GatewayNode &node,
                   const google::protobuf::RepeatedPtrField<v1::Released> &messages)
{
    const Instant now = BootClock::now();
    std::erase_if(node.peerReleases,
                  [now](const PartitionRelease &old) { return now - old.at > maxReleaseAge; });
    for (const v1::Released &message : messages) {
        const PartitionRelease release = decodeRelease(message, now);
        applyRelease(node.lease, release, node.settings.lease);
        const auto same = [&release](const PartitionRelease &known) {
            return known.partition == release.partition && known.generation == release.generation;
        };
        const bool known = std::any_of(node.peerReleases.begin(), node.peerReleases.end(), same)
            || std::any_of(node.lease.releases.begin(), node.lease.releases.end(), same);
        if (!known && now - release.at <= maxReleaseAge)
            node.peerReleases.push_back(release);
    }
}

/** Time since `at`; at least 1, as 0 stands for "not known". */
std::uint32_t sinceMs(Instant at)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(toMillis(BootClock::now() - at), 1));
}

} // namespace

std::shared_ptr<v1::Report> buildReport(GatewayNode &node, const PeerState &peer, bool withUsage)
{
    auto report = std::make_shared<v1::Report>();
    encodeSelf(node, *report->mutable_from());
    report->set_sequence(++node.reportSequence);
    report->set_known_boot(peer.seenBoot);
    report->set_known_change(peer.seenChange);
    report->set_in_whole(peer.fullSyncRunning);
    report->set_config_version(node.routes->config().version);
    report->set_stopping(node.shuttingDown);
    report->set_starting(isStarting(node));
    report->set_store_away(ownRank(node).storeUnreachable);
    report->set_holding(node.mayHoldLease && !node.leftLeaseGroup && !node.leaseYielded);
    report->set_links_lost(engineLinksLostSince(node).has_value());
    if (node.storeReachedAt != Instant{})
        report->set_store_reached_ago_ms(sinceMs(node.storeReachedAt));
    for (const std::string &target : peer.missingEngines)
        report->add_engines_wanted(target);
    if (!withUsage)
        return report;
    const bool zonePeer = peer.zone == node.settings.zone;
    const Instant now = BootClock::now();
    report->set_carries_use(true);
    addPrefixesToReport(node, peer, zonePeer, now, *report);
    // To a zone peer, a VM reports only its own usage. While many VMs start, they disagree on who
    // the relay is, and two that passed on what they received would add each other's sums again
    // with each report.
    const bool wholeZone = !zonePeer && !peer.zone.empty();
    report->set_vms(static_cast<std::uint32_t>(wholeZone ? zoneVms(node) : ownVms(node)));
    for (const auto &[target, usage] : wholeZone ? zoneUsages(node) : ownUsages(node))
        encodeTargetUsage(target, usage, *report->add_uses());
    for (const auto &[workspace, usage] :
         wholeZone ? zoneWorkspaceUsage(node, now) : ownWorkspaceUsage(node, now))
        encodeWorkspaceUse(workspace, usage, *report->add_workspaces());
    fillUnitsByAge(node, wholeZone, *report);
    for (const auto &[target, entry] : node.shared.engines.all()) {
        const bool held =
            entry.value.holderLive && zoneOfTarget(node, target) == node.settings.zone;
        const bool ours =
            entry.value.holder == node.settings.peers || node.reportedEngines.count(target) > 0;
        if (held && (ours || !zonePeer))
            report->add_holds(target);
    }
    if (!zonePeer)
        return report;
    // The peer's boot is only known from its messages. If it has changed since the last exchange,
    // everything is sent again.
    const std::uint64_t lastSent = peer.sentBoot == peer.boot ? peer.sentChange : 0;
    const auto isOurs = [&](const std::string &target, const EngineRecord &record) {
        return record.holder == node.settings.peers || node.reportedEngines.count(target) > 0;
    };
    std::set<std::string> sentWhole;
    for (const std::string &target : peer.requestedEngines) {
        const EngineRecord *record = node.shared.engines.find(target);
        if (record == nullptr || !isOurs(target, *record))
            continue;
        encodeEngine(target, *record, *report->add_engines());
        sentWhole.insert(target);
    }
    node.shared.engines.since(lastSent, [&](const std::string &target, const EngineRecord &record) {
        if (isOurs(target, record) && sentWhole.count(target) == 0)
            encodeChange(target, node.shared.engines.changeSince(target, lastSent),
                         *report->add_engines());
    });
    node.shared.evidence.since(lastSent, [&](std::uint64_t id, const KnownEvidence &known) {
        if (known.own)
            encodeEvidence(id, known.evidence, now, *report->add_evidence());
    });
    // The relay may have no other way to learn what a target reported only to this VM.
    node.shared.targets.since(lastSent,
                              [&](const std::string &target, const SharedTarget &sharedTarget) {
                                  if (sharedTarget.gone || !sharedTarget.entry.leaving)
                                      return;
                                  v1::Target *leaving = report->add_leaving();
                                  leaving->set_id(target);
                                  leaving->set_born(sharedTarget.entry.startTime);
                              });
    addReleases(node, now, *report->mutable_released());
    return report;
}

namespace {

void recordFailure(PeerState &peer, Instant now)
{
    peer.retryAt = now + firstRetry * (1 << std::min(peer.failures, maxRetryDoublings));
    ++peer.failures;
}

void fillUsage(GatewayNode &node, const PeerState &requestingVm, v1::Digest &digest)
{
    digest.set_carries_use(true);
    TargetUsages others = usagesExcept(node.reported, requestingVm.endpoint.text());
    addUsages(others, node.relayState.others);
    addUsages(others, ownUsages(node));
    for (const auto &[target, usage] : others)
        encodeTargetUsage(target, usage, *digest.add_others());
    digest.set_vms(static_cast<std::uint32_t>(liveGateways(node)));
    WorkspaceUses workspaces = workspacesExcept(node.reported, requestingVm.endpoint.text());
    addUsages(workspaces, ownWorkspaceUsage(node, BootClock::now()));
    for (const auto &[workspace, usage] : workspaces)
        encodeWorkspaceUse(workspace, usage, *digest.add_other_workspaces());
    digest.set_vms_in_touch(static_cast<std::uint32_t>(ownVms(node) + reportedVms(node.reported)));
}

/** Time since this VM's configuration was last confirmed as the newest, plus 1 ms; 0: never. */
std::uint64_t confirmedAgoMs(const GatewayNode &node)
{
    const std::optional<Instant> at = configConfirmedAt(node);
    if (!at)
        return 0;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(toMillis(BootClock::now() - *at), 0))
        + 1;
}

void applyConfirmation(GatewayNode &node, const v1::Digest &digest, Instant askedAt)
{
    if (digest.config_confirmed_ago_ms() == 0)
        return;
    const std::chrono::milliseconds age(digest.config_confirmed_ago_ms());
    recordConfirmation(node.confirmations,
                       confirmationFromAnswer(digest.config_version(), age, askedAt));
    node.confirmed.notifyAll();
}

/** Records the boot that a peer's message is from; the sequence of its reports restarts with it. */
void updateBoot(PeerState &peer, std::uint64_t boot)
{
    if (peer.boot != boot) {
        peer.sequence = 0;
        peer.leftLeaseGroup = false;
    }
    peer.boot = boot;
}

bool isChosenHolder(GatewayNode &node, const Endpoint &requestingVm)
{
    const ZonePeers zone = zonePeersOf(node, node.settings.zone);
    for (const std::size_t index : chooseLeaseHolders(zone.candidates, holdersPerZone - 1)) {
        if (zone.peers[index]->endpoint == requestingVm)
            return true;
    }
    return false;
}

} // namespace

void addPeer(GatewayNode &node, const Endpoint &endpoint, const SharedVm &vm)
{
    if (endpoint == node.settings.peers)
        return;
    const auto [found, added] = node.peers.try_emplace(endpoint);
    PeerState &peer = found->second;
    // Seeds are added before their zone is known. The zone has to be filled in later, as a VM that
    // starts during a network outage waits for confirmations from all VMs of its own zone.
    if (!vm.zone.empty())
        peer.zone = vm.zone;
    if (!vm.name.empty())
        peer.name = vm.name;
    if (vm.capacity > 0)
        peer.capacity = vm.capacity;
    if (!peer.name.empty())
        node.shared.vms.set(endpoint, {peer.name, peer.zone, peer.capacity}, node.shared.counter);
    if (!added)
        return;
    peer.endpoint = endpoint;
    peer.addedAt = BootClock::now();
    peer.knownSince = node.peersKnownSince.try_emplace(endpoint, peer.addedAt).first->second;
}

v1::Digest answerReport(GatewayNode &node, const v1::Report &report)
{
    v1::Digest digest;
    encodeSelf(node, *digest.mutable_from());
    digest.set_starting(isStarting(node));
    digest.set_stopping(node.shuttingDown);
    digest.set_store_away(ownRank(node).storeUnreachable);
    digest.set_relaying(node.relaying);
    if (!node.relaying && node.relayState.at != Instant{}) {
        digest.set_relay_address(node.relayState.relay.address);
        digest.set_relay_port(node.relayState.relay.port);
    }
    digest.set_config_version(node.routes->config().version);
    digest.set_config_confirmed_ago_ms(confirmedAgoMs(node));
    const Endpoint endpoint = decodeEndpoint(report.from());
    if (endpoint == node.settings.peers)
        return digest;
    addPeer(node, endpoint, decodeVm(report.from()));
    PeerState &peer = node.peers[endpoint];
    const bool restarted = peer.boot != report.from().boot();
    updateBoot(peer, report.from().boot());
    // An older report that arrives late must not restore outdated usage.
    if (report.sequence() <= peer.sequence)
        return digest;
    if (restarted)
        logEvent(EventId::MemberAlive, {{"peer", peer.name}, {"at", endpoint.text()}});
    const Instant now = BootClock::now();
    peer.sequence = report.sequence();
    peer.lastMessageAt = now;
    peer.failures = 0;
    peer.stopping = report.stopping();
    // These have to be read from reports, too: a relay sends no requests to zone peers that report
    // to it. Otherwise it treated all zone peers that it had asked during their start as starting
    // permanently, and let only one of 21 VMs hold engines beside itself. When another VM became
    // the relay, three more joined, and no engine got commands for 3 to 6 s.
    peer.starting = report.starting();
    peer.storeUnreachable = report.store_away();
    peer.leaseHolder = report.holding();
    peer.linksLost = report.links_lost();
    recordConfigOffer(node, peer, report.config_version());
    if (report.store_reached_ago_ms() > 0)
        peer.storeReachedAt = now - std::chrono::milliseconds(report.store_reached_ago_ms());
    const bool zonePeer = report.from().zone() == node.settings.zone;
    if (report.carries_use()) {
        peer.lastReportAt = now;
        ReporterUsage usages;
        usages.at = now;
        usages.vms = static_cast<int>(report.vms());
        for (const v1::EngineUse &message : report.uses())
            usages.targets[message.target()] = decodeTargetUsage(message);
        usages.workspaces = decodeWorkspaceUses(report.workspaces(), report.from());
        usages.unitsByAge = decodeUnitsByAge(report);
        // A VM that is not a relay gets the usage of other zones from its relay; a second source
        // would count it twice.
        if (zonePeer || node.relaying)
            applyReport(node.reported, reporterOf(node, report.from()), std::move(usages));
    }
    std::set<std::string> unknown;
    for (const v1::EngineState &state : report.engines()) {
        node.reportedEngines.insert(state.target());
        applyEngineChange(node, unknown, state.target(), decodeChange(state));
    }
    for (const std::string &target : unknown)
        digest.add_engines_wanted(target);
    for (const std::string &target : report.holds())
        applyHolderLiveness(node, report.from().zone(), target);
    for (const v1::Target &leaving : report.leaving())
        markLeavingByPeer(node, leaving.id(), leaving.born());
    applyPeerEvidence(node, report.evidence());
    if (zonePeer) {
        applyReportedPrefixes(node, report);
        applyReleases(node, report.released());
    }

    addStateUpdates(node, report, zonePeer, digest);
    addPrefixesToDigest(node, report, zonePeer, digest);
    addUsageUpdates(node, report, zonePeer, digest);
    if (zonePeer)
        addReleases(node, now, *digest.mutable_released());
    if (zonePeer && report.carries_use()) {
        fillUsage(node, peer, digest);
        digest.set_may_hold(isChosenHolder(node, endpoint));
        digest.set_linked_mates(static_cast<std::uint32_t>(linkedVms(node, endpoint)));
    }
    return digest;
}

namespace {

void recordZoneRelay(GatewayNode &node, const PeerState &peer, const v1::Digest &digest)
{
    if (digest.relaying())
        node.zoneRelays[peer.zone] = peer.endpoint;
    else if (!digest.relay_address().empty())
        node.zoneRelays[peer.zone] = {digest.relay_address(),
                                      static_cast<std::uint16_t>(digest.relay_port())};
    else
        node.zoneRelays.erase(peer.zone);
}

} // namespace

void applyDigest(GatewayNode &node, const Endpoint &endpoint, const v1::Digest &digest,
                 bool upstream)
{
    const Instant now = BootClock::now();
    addPeer(node, endpoint, decodeVm(digest.from()));
    PeerState &peer = node.peers[endpoint];
    updateBoot(peer, digest.from().boot());
    peer.lastMessageAt = now;
    peer.failures = 0;
    peer.starting = digest.starting();
    peer.stopping = digest.stopping();
    peer.storeUnreachable = digest.store_away();
    if (peer.zone != node.settings.zone)
        recordZoneRelay(node, peer, digest);
    recordConfigOffer(node, peer, digest.config_version());
    applyDigestPrefixes(node, peer, digest);
    applyStateUpdates(node, peer, digest, upstream);
    if (peer.zone == node.settings.zone)
        applyReleases(node, digest.released());
    if (!upstream)
        return;
    node.mayHoldLease = node.mayHoldLease || digest.may_hold();
    if (!digest.carries_use())
        return;
    if (node.relayState.relay != endpoint)
        rememberUsageOfOthers(node);
    node.relayState.relay = endpoint;
    node.relayState.at = now;
    node.relayState.vms = static_cast<int>(digest.vms());
    node.relayState.linkedZonePeers = static_cast<int>(digest.linked_mates());
    node.relayState.others.clear();
    for (const v1::EngineUse &message : digest.others())
        node.relayState.others[message.target()] = decodeTargetUsage(message);
    node.relayState.reachableVms = static_cast<int>(digest.vms_in_touch());
    node.relayState.otherWorkspaces = decodeWorkspaceUses(digest.other_workspaces(), digest.from());
}

asio::awaitable<bool> exchangeWith(GatewayNode &node, Endpoint endpoint, bool withUsage,
                                   bool upstream)
{
    PeerState &peer = node.peers.at(endpoint);
    peer.exchangeRunning = true;
    const std::uint64_t lastChange = node.shared.counter.last;
    const std::uint64_t lastPrefix = node.prefixes.log.last;
    const std::shared_ptr<const v1::Report> report = buildReport(node, peer, withUsage);
    countSent(node, peer.zone, bytesOf(*report));
    const Instant sentAt = BootClock::now();
    const auto digest = co_await node.peerLinks.exchange(endpoint, report, reportTimeout);
    const auto found = node.peers.find(endpoint);
    if (found == node.peers.end())
        co_return false;
    PeerState &answered = found->second;
    answered.exchangeRunning = false;
    const Instant now = BootClock::now();
    if (!digest) {
        // The time shows whether the peer was unreachable or its answer was still in transit.
        if (answered.failures == 0)
            logEvent(EventId::MemberSilent,
                     {{"peer", answered.name},
                      {"at", endpoint.text()},
                      {"why", "no answer"},
                      {"waitedMs", std::to_string(toMillis(now - sentAt))}});
        recordFailure(answered, now);
        co_return false;
    }
    const std::uint64_t bootBefore = answered.boot;
    applyDigest(node, endpoint, *digest, upstream);
    applyConfirmation(node, *digest, sentAt);
    applyUsageUpdates(node, *digest, upstream, sentAt);
    if (withUsage && bootBefore == digest->from().boot()) {
        answered.sentBoot = bootBefore;
        answered.sentChange = lastChange;
        answered.sentPrefix = lastPrefix;
    }
    co_return true;
}

} // namespace monsoonbay
