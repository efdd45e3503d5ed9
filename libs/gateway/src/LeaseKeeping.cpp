#include "LeaseKeeping.h"

#include <algorithm>

#include "FleetCount.h"
#include "LinkWatch.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "SharedEngines.h"
#include "StoreHistory.h"
#include "ZonePeers.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration extendInterval = std::chrono::milliseconds(100);
constexpr Duration renewTimeout = std::chrono::milliseconds(400);
/** While renewals fail: confirmations are valid for a second, so that one of three may be lost. */
constexpr Duration confirmationInterval = std::chrono::milliseconds(250);
constexpr Duration confirmationTimeout = std::chrono::milliseconds(600);
constexpr Duration firstConfirmationInterval = std::chrono::milliseconds(500);
/** At other times, confirmations only show that a zone peer is still alive. */
constexpr Duration livenessInterval = std::chrono::seconds(10);
/**
 * A partition moves to its next holder after the former one has renewed twice: once to learn of the
 * new assignment, and once to acknowledge it. Until the assignment has settled, all members renew
 * at this interval. Otherwise engines would get no commands for up to three renewal intervals: 1.2
 * s for each new assignment.
 */
constexpr Duration settlingRenewInterval = std::chrono::milliseconds(60);
constexpr Duration settlingTime = std::chrono::milliseconds(700);
/** Each attempt is a call to the store; the next renewal may show that it was pointless. */
constexpr Duration claimRetryDelay = std::chrono::milliseconds(300);
/** Renewals per lease duration; one of them may be lost. */
constexpr int renewalsPerLease = 4;

/**
 * The lease is kept through link losses up to this long. The next holder waits 3.3 s from the last
 * command of this one, and needs up to 0.6 s of that to be assigned the partitions.
 */
constexpr Duration leaseKeptTime = std::chrono::milliseconds(2000);

/**
 * After it has yielded its lease, a VM leaves it to the others for this long, as each handover
 * leaves engines without commands for 3.3 s.
 */
constexpr Duration rejoinDelay = std::chrono::seconds(60);

// Peers whose zone is not known are left out: these are seeds that the store's list does not name,
// so they were never holders.
ZoneMembers membersOfZone(const GatewayNode &node)
{
    ZoneMembers members;
    members.listRead = node.vmListRead;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.zone != node.settings.zone)
            continue;
        const PeerLeaseConfirmation &answers = peer.leaseConfirmation;
        members.others.push_back({peer.knownSince, peer.lastMessageAt, answers.report,
                                  answers.firstAnswerAt, peer.name});
    }
    return members;
}

LeaseGroupView leaseGroupOf(const GatewayNode &node)
{
    return {node.settings.vm, node.joinedLeaseGroupAt, membersOfZone(node)};
}

} // namespace

int leasePartitionOf(const GatewayNode &node, const std::string &target)
{
    return partitionOf(stableHash(target), node.settings.partitions);
}

bool mayCommandNow(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || entry->zone != node.settings.zone || node.leftLeaseGroup)
        return false;
    const auto held = node.heldEngines.find(target);
    if (held != node.heldEngines.end() && held->second->unreachable)
        return false;
    const int partition = leasePartitionOf(node, target);
    return mayCommand(node.lease, partition, BootClock::now());
}

namespace {

/** A generation for log events, as "ERA/NUMBER". */
std::string describe(const LeaseGeneration &generation)
{
    return std::to_string(generation.era) + "/" + std::to_string(generation.number);
}

/** Time until commands may be sent in every partition held, by what is known so far. */
long waitMs(const GatewayNode &node, Instant now)
{
    const LeaseGroupView group = leaseGroupOf(node);
    Instant last = now;
    for (const auto &[partition, from] : node.lease.activeFrom)
        last = std::max(last, commandableFrom(node.lease, partition, group, node.settings.lease));
    return std::chrono::duration_cast<std::chrono::milliseconds>(last - now).count();
}

LeaseRenewal renewalOf(const GatewayNode &node)
{
    LeaseRenewal renewal;
    renewal.group = "monsoonbay-" + node.settings.zone;
    renewal.member = node.settings.vm;
    // A number of an earlier era would confirm an assignment of this one that this VM does not
    // know.
    if (node.lease.generation.era == node.storeEra.value_or(0))
        renewal.generation = node.lease.generation.number;
    renewal.ttl = node.settings.lease.ttl;
    return renewal;
}

/** The latest holder records that claims are based on, as "PARTITION VM GENERATION, ...". */
std::string describeLast(const std::vector<HolderClaim> &claims)
{
    std::string text;
    for (const HolderClaim &claim : claims) {
        text += text.empty() ? "" : ", ";
        text += std::to_string(claim.partition) + " " + claim.last.vm + " "
            + describe(claim.last.generation);
    }
    return text;
}

/** Logs for how long this VM sends no commands yet, and after which former holders. */
void logWait(const GatewayNode &node, const HolderRecords &records)
{
    std::set<std::string> formerHolders;
    for (const auto &[partition, last] : node.lease.lastRecords) {
        if (last && node.lease.recorded.count(partition) == 0)
            formerHolders.insert(last->vm + " " + describe(last->generation));
    }
    std::string text;
    for (const std::string &holder : formerHolders)
        text += (text.empty() ? "" : ", ") + holder;
    logEvent(EventId::OrdersWait,
             {{"generation", describe(node.lease.generation)},
              {"readInEra", std::to_string(records.era)},
              {"formerHolders", text},
              {"waitMs", std::to_string(waitMs(node, BootClock::now()))}});
}

/** Records in the store which partitions this VM is about to command; see claimsToRecord(). */
asio::awaitable<void> recordClaims(GatewayNode &node)
{
    node.recordingClaims = true;
    const auto records = co_await node.platform->readHolderClaims(node.http, node.settings);
    std::vector<HolderClaim> claims;
    if (records) {
        claims = claimsToRecord(node.lease, *records, leaseGroupOf(node), node.settings.lease,
                                BootClock::now());
    }
    node.claimRetryAt = BootClock::now() + claimRetryDelay;
    if (claims.empty()) {
        if (records)
            logWait(node, *records);
        node.recordingClaims = false;
        co_return;
    }
    HolderClaims claimed;
    claimed.generation = node.lease.generation;
    claimed.end = records->logEnd;
    for (const HolderClaim &claim : claims)
        claimed.partitions.push_back(claim.partition);
    const ClaimResult result =
        co_await node.platform->recordHolderClaims(node.http, node.settings, claimed);
    node.recordingClaims = false;
    const Instant now = BootClock::now();
    if (result.added) {
        confirmClaims(node.lease, claims, result.era.value_or(0), now);
        node.claimRetryAt = Instant{};
    }
    const auto again = std::count_if(claims.begin(), claims.end(),
                                     [](const HolderClaim &claim) { return claim.resumes; });
    logEvent(EventId::OrdersNoted,
             {{"generation", describe(claimed.generation)},
              {"partitions", std::to_string(claims.size())},
              {"orderedLastByThisVm", std::to_string(again)},
              {"lastRecords", describeLast(claims)},
              {"readInEra", std::to_string(records->era)},
              {"answeredInEra", describeEra(result.era)},
              {"added", result.added ? "yes" : "no"}});
    node.reportDue.notifyAll();
}

} // namespace

namespace {

bool lacksRecords(const PartitionLease &lease)
{
    return lease.recorded.size() < lease.activeFrom.size();
}

} // namespace

asio::awaitable<void> extendLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const std::size_t before = node.lease.activeFrom.size();
        if (node.renewalFailing)
            extendLease(node.lease, membersOfZone(node), node.settings.lease, BootClock::now());
        if (before > 0 && node.lease.activeFrom.empty())
            logEvent(EventId::LeaseChanged,
                     {{"generation", describe(node.lease.generation)},
                      {"partitions", "0"},
                      {"before", std::to_string(before)},
                      {"why", "store unreachable, and not confirmed by all VMs of the zone"}});
        const Instant now = BootClock::now();
        const bool mayRecord = !node.recordingClaims && !node.renewalFailing && !node.leftLeaseGroup
            && now >= node.claimRetryAt;
        if (mayRecord && lacksRecords(node.lease)
            && isWriteDue(node.lease, leaseGroupOf(node), node.settings.lease, now))
            spawn(node, "record lease holder", recordClaims(node));
        retractEngines(node);
        co_await pauseFor(node, extendInterval);
    }
}

namespace {

/** True unless most engines that this VM commands still answer it, on open connections. */
bool reachesFewHeldEngines(const GatewayNode &node)
{
    std::size_t commanded = 0;
    std::size_t unreachable = 0;
    for (const auto &[target, engine] : node.heldEngines) {
        const TargetEntry *entry = entryOf(node, target);
        if (entry == nullptr || entry->zone != node.settings.zone)
            continue;
        const int partition = leasePartitionOf(node, target);
        commanded += node.lease.activeFrom.count(partition);
        unreachable += engine->unreachable ? node.lease.activeFrom.count(partition) : 0;
    }
    return 2 * unreachable >= commanded;
}

} // namespace

bool shouldYieldLease(const GatewayNode &node, Instant now)
{
    const std::optional<Instant> lostSince = engineLinksLostSince(node);
    if (!lostSince || now - *lostSince < leaseKeptTime || !reachesFewHeldEngines(node))
        return false;
    const int linked = isRelayLive(node, now) ? node.relayState.linkedZonePeers
                                              : linkedVms(node, node.settings.peers);
    return linked > 0;
}

namespace {

// From here on this VM sends no command, as after leaveLease(). The VMs that are assigned its
// engines wait as long after this release as after any other.
asio::awaitable<void> yieldLease(GatewayNode &node)
{
    const LeaseRenewal renewal = renewalOf(node);
    logEvent(EventId::LeaseChanged,
             {{"generation", describe(node.lease.generation)},
              {"partitions", "0"},
              {"before", std::to_string(node.lease.activeFrom.size())},
              {"why", "links to engines are lost, and another VM of the zone reaches them"}});
    node.leaseYielded = true;
    node.leaseYieldedAt = BootClock::now();
    node.leaseRenewed = false;
    node.renewalFailing = false;
    dropLease(node.lease, BootClock::now());
    retractEngines(node);
    node.reportDue.notifyAll();
    co_await node.platform->leave(node.http, node.settings, renewal, renewTimeout);
}

/** True if another VM commands engines of this zone. */
bool hasOtherHolder(const GatewayNode &node)
{
    const auto &records = node.shared.engines.all();
    return std::any_of(records.begin(), records.end(), [&node](const auto &entry) {
        const EngineRecord &record = entry.second.value;
        return record.holderLive && record.holder != node.settings.peers
            && zoneOfTarget(node, entry.first) == node.settings.zone;
    });
}

} // namespace

bool shouldStayOut(const GatewayNode &node, Instant now)
{
    return node.leaseYielded && now - node.leaseYieldedAt < rejoinDelay && hasOtherHolder(node);
}

asio::awaitable<void> leaseLoop(GatewayNode &node)
{
    Instant assignedAt{};
    while (!node.stopped && !node.leftLeaseGroup) {
        // Without its boot count from the store, this VM could not order its records after those of
        // its earlier boots; see EngineRecord.
        if (!node.mayHoldLease || node.bootCount == 0) {
            co_await pauseFor(node, extendInterval);
            continue;
        }
        if (shouldYieldLease(node, BootClock::now())) {
            if (!node.leaseYielded)
                co_await yieldLease(node);
            co_await pauseFor(node, extendInterval);
            continue;
        }
        if (shouldStayOut(node, BootClock::now())) {
            co_await pauseFor(node, extendInterval);
            continue;
        }
        node.leaseYielded = false;
        if (node.joinedLeaseGroupAt == Instant{})
            node.joinedLeaseGroupAt = BootClock::now();
        const LeaseRenewal renewal = renewalOf(node);
        const LeaseGeneration generationBefore = node.lease.generation;
        const Instant sentAt = BootClock::now();
        RenewalResult result =
            co_await node.platform->renew(node.http, node.settings, renewal, renewTimeout);
        if (!acceptStoreEra(node, result.era))
            result.grant.reset();
        const std::optional<LeaseGrant> &grant = result.grant;
        node.leaseRenewed = grant.has_value();
        node.renewalFailing = !grant;
        if (grant)
            recordStoreAnswer(node, true, BootClock::now());
        if (grant && !node.leftLeaseGroup) {
            const std::size_t before = node.lease.activeFrom.size();
            renewLease(node.lease, *grant, node.settings.lease, sentAt, BootClock::now());
            if (before != node.lease.activeFrom.size())
                logEvent(EventId::LeaseChanged,
                         {{"generation", describe(grant->generation)},
                          {"partitions", std::to_string(grant->partitions.size())},
                          {"ordersAllInMs", std::to_string(waitMs(node, BootClock::now()))},
                          {"before", std::to_string(before)}});
        }
        // Another VM may have commanded these engines meanwhile, so their sequence is unknown.
        for (const auto &[target, engine] : node.heldEngines) {
            if (!mayCommandNow(node, target))
                invalidateSequence(engine->scheduler);
        }
        const Instant now = BootClock::now();
        if (grant && grant->generation != generationBefore)
            assignedAt = now;
        const bool settling = now - assignedAt < settlingTime;
        co_await pauseFor(
            node, settling ? settlingRenewInterval : node.settings.lease.ttl / renewalsPerLease);
    }
}

namespace {

asio::awaitable<void> askLeaseConfirmation(GatewayNode &node, Endpoint endpoint)
{
    v1::WordRequest request;
    encodeSelf(node, *request.mutable_from());
    const Instant requestedAt = BootClock::now();
    const auto confirmation = co_await node.peerLinks.askLeaseConfirmation(
        endpoint, std::move(request), confirmationTimeout);
    const auto found = node.peers.find(endpoint);
    if (!confirmation || found == node.peers.end())
        co_return;
    PeerState &peer = found->second;
    peer.lastMessageAt = BootClock::now();
    peer.leftLeaseGroup = confirmation->left();
    PeerLeaseConfirmation &answers = peer.leaseConfirmation;
    if (!answers.report)
        answers.firstAnswerAt = peer.lastMessageAt;
    // It is valid from the time of the request, as the answer may have been in transit for long.
    answers.report = {requestedAt, toGeneration(confirmation->generation()),
                      !confirmation->may_hold(), confirmation->left()};
}

Duration confirmationSpacing(const GatewayNode &node, const PeerState &peer)
{
    if (node.renewalFailing)
        return confirmationInterval;
    return peer.leaseConfirmation.report ? livenessInterval : firstConfirmationInterval;
}

} // namespace

asio::awaitable<void> leaseConfirmationLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        std::vector<Endpoint> due;
        for (auto &[endpoint, peer] : node.peers) {
            const bool zonePeer = peer.zone == node.settings.zone && !peer.name.empty();
            if (!zonePeer || node.joinedLeaseGroupAt == Instant{} || node.leftLeaseGroup)
                continue;
            if (now - peer.leaseConfirmation.triedAt < confirmationSpacing(node, peer))
                continue;
            peer.leaseConfirmation.triedAt = now;
            due.push_back(endpoint);
        }
        for (const Endpoint &endpoint : due)
            spawn(node, "request lease confirmation", askLeaseConfirmation(node, endpoint));
        co_await pauseFor(node, confirmationInterval);
    }
}

v1::Word answerLeaseConfirmation(GatewayNode &node, const v1::WordRequest &request)
{
    const Endpoint requestingVm = decodeEndpoint(request.from());
    if (requestingVm != node.settings.peers) {
        addPeer(node, requestingVm, decodeVm(request.from()));
        node.peers[requestingVm].lastMessageAt = BootClock::now();
    }
    v1::Word confirmation;
    encodeSelf(node, *confirmation.mutable_from());
    confirmation.set_generation(toNumber(node.lease.generation));
    // A VM that is not a member now waits like any other before it sends commands, should it join.
    confirmation.set_may_hold(node.leaseRenewed && !node.leftLeaseGroup);
    confirmation.set_left(node.leftLeaseGroup);
    return confirmation;
}

// Called only after the last call has ended, or at the shutdown limit, which can take seconds.
// Until then a VM that shuts down keeps sending commands: nobody else could command its engines
// for 3.3 s, and if it is back at once, it just continues.
asio::awaitable<void> leaveLease(GatewayNode &node)
{
    const LeaseRenewal renewal = renewalOf(node);
    node.leftLeaseGroup = true;
    dropLease(node.lease, BootClock::now());
    retractEngines(node);
    if (node.joinedLeaseGroupAt == Instant{})
        co_return;
    co_await node.platform->leave(node.http, node.settings, renewal, renewTimeout);
}

} // namespace monsoonbay
