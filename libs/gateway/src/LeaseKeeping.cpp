#include "LeaseKeeping.h"

#include <algorithm>

#include "FleetCount.h"
#include "LinkWatch.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "SharedEngines.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration extendInterval = std::chrono::milliseconds(100);
constexpr Duration renewTimeout = std::chrono::milliseconds(400);
/** While the store is away: words count for a second, so that one of three may be lost. */
constexpr Duration confirmationInterval = std::chrono::milliseconds(250);
constexpr Duration confirmationTimeout = std::chrono::milliseconds(600);
constexpr Duration firstConfirmationInterval = std::chrono::milliseconds(500);
/** At other times words only show that a mate still lives. */
constexpr Duration livenessInterval = std::chrono::seconds(10);
/** A mate that has not answered for this long is gone: cuts of the users' list last 12 s at most.
 */
constexpr Duration goneAfter = std::chrono::seconds(40);
/**
 * A partition goes on to its next holder when its former one has renewed twice: once to learn that
 * it was dealt anew and once to say so. Until that has settled all renew this often, or it takes up
 * to three times the time between renewals in which nobody orders: 1.2 s of each deal.
 */
constexpr Duration settlingRenewInterval = std::chrono::milliseconds(60);
constexpr Duration settlingTime = std::chrono::milliseconds(700);
/** Each attempt is a call to the store; the next renewal may tell that it was in vain. */
constexpr Duration claimRetryDelay = std::chrono::milliseconds(300);
/** Renewals in the time that a lease lasts; one may be lost. */
constexpr int renewalsPerLease = 4;

/** The next holder orders some 4 s after a release; a shorter cut is over before. */
constexpr Duration leaseKeptTime = std::chrono::milliseconds(2500);

/**
 * A holder that is cut off from the store orders on by the word of the VMs it knows. One that has
 * not heard of this VM would not ask it, so a VM that is new waits: until it has heard all VMs of
 * its zone that the store names, or until such a cut would have ended; those of the users' list
 * last 12 s at most.
 */
constexpr Duration newMemberWait = std::chrono::seconds(15);

bool isGone(const PeerState &peer)
{
    return BootClock::now() - std::max(peer.lastHeardAt, peer.leaseConfirmation.askedAt)
        > goneAfter;
}

bool mayBeUnknownToHolder(const GatewayNode &node, Instant now)
{
    // Before it was started anew it ordered, so the others have heard of it and go on asking it at
    // its address. They forget a VM only after it has been down for `goneAfter`.
    if (node.heldBefore)
        return false;
    if (now - node.joinedLeaseAt >= newMemberWait)
        return false;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.zone == node.settings.zone && peer.leaseConfirmation.askedAt == Instant{})
            return true;
    }
    return false;
}

} // namespace

bool mayCommandNow(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || entry->zone != node.settings.zone || node.leftLeaseGroup)
        return false;
    if (mayBeUnknownToHolder(node, BootClock::now()))
        return false;
    const int partition = partitionOf(stableHash(target), node.settings.partitions);
    return mayCommand(node.lease, partition, BootClock::now());
}

namespace {

/** Time until every partition held may be ordered. */
long waitMs(const PartitionLease &lease, Instant now)
{
    Instant last = now;
    for (const auto &[partition, from] : lease.activeFrom)
        last = std::max(last, from);
    return std::chrono::duration_cast<std::chrono::milliseconds>(last - now).count();
}

/** Those of the zone that could be dealt what this VM holds. */
std::vector<PeerLeaseState> confirmationsOfZonePeers(const GatewayNode &node)
{
    std::vector<PeerLeaseState> confirmations;
    for (const auto &[endpoint, peer] : node.peers) {
        const bool zonePeer = peer.zone == node.settings.zone && peer.lastHeardAt != Instant{}
            && !peer.leftLeaseGroup;
        if (zonePeer && !isGone(peer))
            confirmations.push_back(peer.leaseConfirmation.confirmation);
    }
    return confirmations;
}

LeaseRenewal renewalOf(const GatewayNode &node)
{
    LeaseRenewal renewal;
    renewal.group = "monsoonbay-" + node.settings.zone;
    renewal.member = node.settings.vm;
    renewal.generation = node.lease.generation;
    renewal.ttl = node.settings.lease.ttl;
    return renewal;
}

bool isRecordedBy(const HolderRecords &records, const std::string &vm)
{
    return std::any_of(records.byPartition.begin(), records.byPartition.end(),
                       [&vm](const auto &record) { return record.second.vm == vm; });
}

/** Notes in the store what this VM is about to order; see claimsToRecord(). */
asio::awaitable<void> recordClaims(GatewayNode &node)
{
    node.recordingClaims = true;
    const auto records = co_await node.platform->readHolderClaims(node.http, node.settings);
    std::vector<HolderClaim> claims;
    if (records) {
        node.heldBefore = node.heldBefore || isRecordedBy(*records, node.settings.vm);
        claims = claimsToRecord(node.lease, *records, node.settings.vm, node.settings.lease,
                                BootClock::now());
    }
    node.claimRetryAt = BootClock::now() + claimRetryDelay;
    if (claims.empty()) {
        node.recordingClaims = false;
        co_return;
    }
    HolderClaims claimed;
    claimed.generation = node.lease.generation;
    claimed.end = records->logEnd;
    for (const HolderClaim &claim : claims)
        claimed.partitions.push_back(claim.partition);
    const bool added =
        co_await node.platform->recordHolderClaims(node.http, node.settings, claimed);
    node.recordingClaims = false;
    const Instant now = BootClock::now();
    if (added) {
        confirmClaims(node.lease, claims, now);
        node.claimRetryAt = Instant{};
    }
    const auto again = std::count_if(claims.begin(), claims.end(),
                                     [](const HolderClaim &claim) { return claim.resumes; });
    logEvent(EventId::OrdersNoted,
             {{"generation", std::to_string(claimed.generation)},
              {"partitions", std::to_string(claims.size())},
              {"orderedLastByThisVm", std::to_string(again)},
              {"added", added ? "yes" : "no"}});
    node.reportDue.notifyAll();
}

} // namespace

asio::awaitable<void> extendLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const std::size_t before = node.lease.activeFrom.size();
        if (node.renewalFailing)
            extendLease(node.lease, confirmationsOfZonePeers(node), node.settings.lease,
                        BootClock::now());
        if (before > 0 && node.lease.activeFrom.empty())
            logEvent(EventId::LeaseChanged,
                     {{"generation", std::to_string(node.lease.generation)},
                      {"partitions", "0"},
                      {"before", std::to_string(before)},
                      {"why", "the store is away, and not all VMs of the zone say so"}});
        const Instant now = BootClock::now();
        const bool mayRecord = !node.recordingClaims && !node.renewalFailing && !node.leftLeaseGroup
            && now >= node.claimRetryAt;
        if (mayRecord && isWriteDue(node.lease, now))
            spawn(node, "note orders", recordClaims(node));
        retractEngines(node);
        co_await pauseFor(node, extendInterval);
    }
}

bool shouldYieldLease(const GatewayNode &node, Instant now)
{
    const std::optional<Instant> lostSince = engineLinksLostSince(node);
    if (!lostSince || now - *lostSince < leaseKeptTime)
        return false;
    const int linked = isRelayLive(node, now) ? node.relayState.linkedZonePeers
                                              : linkedVms(node, node.settings.peers);
    return linked > 0;
}

namespace {

// As before its end, this VM gives no order from here on; those who are dealt its engines wait as
// long after its release as after any other.
asio::awaitable<void> yieldLease(GatewayNode &node)
{
    const LeaseRenewal renewal = renewalOf(node);
    logEvent(EventId::LeaseChanged,
             {{"generation", std::to_string(node.lease.generation)},
              {"partitions", "0"},
              {"before", std::to_string(node.lease.activeFrom.size())},
              {"why", "the links to engines are lost, and a VM of the zone reaches them"}});
    node.leaseYielded = true;
    node.leaseRenewed = false;
    node.renewalFailing = false;
    dropLease(node.lease, BootClock::now());
    retractEngines(node);
    node.reportDue.notifyAll();
    co_await node.platform->leave(node.http, node.settings, renewal, renewTimeout);
}

} // namespace

asio::awaitable<void> leaseLoop(GatewayNode &node)
{
    Instant assignedAt{};
    while (!node.stopped && !node.leftLeaseGroup) {
        // Without its own record in the store it could not tell its boots apart; see EngineRecord.
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
        node.leaseYielded = false;
        if (node.joinedLeaseAt == Instant{})
            node.joinedLeaseAt = BootClock::now();
        const LeaseRenewal renewal = renewalOf(node);
        const Instant sentAt = BootClock::now();
        auto grant = co_await node.platform->renew(node.http, node.settings, renewal, renewTimeout);
        node.leaseRenewed = grant.has_value();
        node.renewalFailing = !grant;
        if (grant)
            recordStoreAnswer(node, true, BootClock::now());
        if (grant && !node.leftLeaseGroup) {
            const std::size_t before = node.lease.activeFrom.size();
            renewLease(node.lease, *grant, node.settings.lease, sentAt, BootClock::now());
            if (before != node.lease.activeFrom.size())
                logEvent(EventId::LeaseChanged,
                         {{"generation", std::to_string(grant->generation)},
                          {"partitions", std::to_string(grant->partitions.size())},
                          {"ordersAllInMs", std::to_string(waitMs(node.lease, BootClock::now()))},
                          {"before", std::to_string(before)}});
        }
        // What another gateway may have ordered meanwhile is not known here any more.
        for (const auto &[target, engine] : node.heldEngines) {
            if (!mayCommandNow(node, target))
                invalidateSequence(engine->scheduler);
        }
        const Instant now = BootClock::now();
        if (grant && grant->generation != renewal.generation)
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
    const Instant askedAt = BootClock::now();
    const auto confirmation = co_await node.peerLinks.askLeaseConfirmation(
        endpoint, std::move(request), confirmationTimeout);
    const auto found = node.peers.find(endpoint);
    if (!confirmation || found == node.peers.end())
        co_return;
    PeerState &peer = found->second;
    peer.lastHeardAt = BootClock::now();
    peer.leftLeaseGroup = confirmation->left();
    // It counts from the question: the answer may have been under way for long.
    peer.leaseConfirmation.askedAt = askedAt;
    peer.leaseConfirmation.confirmation = {askedAt, confirmation->generation(),
                                           !confirmation->may_hold()};
}

Duration confirmationSpacing(const GatewayNode &node, const PeerState &peer)
{
    if (node.renewalFailing)
        return confirmationInterval;
    return peer.leaseConfirmation.askedAt == Instant{} ? firstConfirmationInterval
                                                       : livenessInterval;
}

} // namespace

asio::awaitable<void> leaseConfirmationLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        std::vector<Endpoint> due;
        for (auto &[endpoint, peer] : node.peers) {
            const bool zonePeer = peer.zone == node.settings.zone && !peer.name.empty();
            if (!zonePeer || node.joinedLeaseAt == Instant{} || node.leftLeaseGroup)
                continue;
            if (now - peer.leaseConfirmation.triedAt < confirmationSpacing(node, peer))
                continue;
            peer.leaseConfirmation.triedAt = now;
            due.push_back(endpoint);
        }
        for (const Endpoint &endpoint : due)
            spawn(node, "ask word", askLeaseConfirmation(node, endpoint));
        co_await pauseFor(node, confirmationInterval);
    }
}

v1::Word answerLeaseConfirmation(GatewayNode &node, const v1::WordRequest &request)
{
    const Endpoint asker = decodeEndpoint(request.from());
    if (asker != node.settings.peers) {
        addPeer(node, asker, decodeVm(request.from()));
        node.peers[asker].lastHeardAt = BootClock::now();
    }
    v1::Word confirmation;
    encodeSelf(node, *confirmation.mutable_from());
    confirmation.set_generation(node.lease.generation);
    // One that does not take part waits like any other before it orders, should it join.
    confirmation.set_may_hold(node.leaseRenewed && !node.leftLeaseGroup);
    confirmation.set_left(node.leftLeaseGroup);
    return confirmation;
}

// A VM that is asked to end goes on ordering its engines until its last call has ended, which can
// take seconds: nobody else could order them for 3.3 s, and if it is back at once, it goes on.
asio::awaitable<void> leaveLease(GatewayNode &node)
{
    const LeaseRenewal renewal = renewalOf(node);
    node.leftLeaseGroup = true;
    dropLease(node.lease, BootClock::now());
    retractEngines(node);
    if (node.joinedLeaseAt == Instant{})
        co_return;
    co_await node.platform->leave(node.http, node.settings, renewal, renewTimeout);
}

} // namespace monsoonbay
