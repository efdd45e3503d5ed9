#include "LeaseKeeping.h"

#include "PeerNews.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr Duration extendEvery = std::chrono::milliseconds(100);
constexpr Duration renewTimeout = std::chrono::milliseconds(400);
/** Renewals in the time that a lease lasts; one may be lost. */
constexpr int renewalsPerLease = 4;

/**
 * A holder that is cut off from the store orders on by the word of the VMs it knows. One that has
 * not heard of this VM would not ask it, so a VM that is new waits: until it has heard all VMs of
 * its zone that the store names, or until such a cut would have ended; those of the users' list
 * last 12 s at most.
 */
constexpr Duration newcomerWait = std::chrono::seconds(15);

bool mayBeUnknownToHolder(const GatewayNode &node, Instant now)
{
    if (now - node.bootedAt >= newcomerWait)
        return false;
    for (const auto &[endpoint, peer] : node.peers) {
        if (peer.zone == node.settings.zone && peer.heardAt == Instant{})
            return true;
    }
    return false;
}

} // namespace

bool mayOrderNow(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || entry->zone != node.settings.zone || node.shuttingDown)
        return false;
    if (mayBeUnknownToHolder(node, BootClock::now()))
        return false;
    const int partition = partitionOf(stableHash(target), node.settings.partitions);
    return mayOrder(node.lease, partition, BootClock::now());
}

namespace {

/** Time until every partition held may be ordered. */
long waitMs(const HolderLease &lease, Instant now)
{
    Instant last = now;
    for (const auto &[partition, from] : lease.orderFrom)
        last = std::max(last, from);
    return std::chrono::duration_cast<std::chrono::milliseconds>(last - now).count();
}

std::vector<MateWord> matesOf(const GatewayNode &node)
{
    std::vector<MateWord> mates;
    for (const auto &[endpoint, peer] : node.peers) {
        const bool mate =
            peer.zone == node.settings.zone && peer.heardAt != Instant{} && !peer.stopping;
        if (mate)
            mates.push_back({peer.heardAt, peer.leaseGeneration, peer.storeAway});
    }
    return mates;
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

/** Notes in the store that all partitions held are ordered, so that a restart need not wait. */
asio::awaitable<void> noteOrdering(GatewayNode &node)
{
    const std::int64_t generation = node.lease.generation;
    const bool due = node.notedOrdering != generation && ordersAll(node.lease, BootClock::now());
    if (!due)
        co_return;
    const bool done = co_await node.platform->noteOrdering(node.http, node.settings, generation);
    if (done)
        node.notedOrdering = generation;
}

} // namespace

asio::awaitable<void> extendLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const std::size_t before = node.lease.orderFrom.size();
        if (node.renewalFailing)
            extendLease(node.lease, matesOf(node), node.settings.lease, BootClock::now());
        if (before > 0 && node.lease.orderFrom.empty())
            logEvent(EventId::LeaseChanged,
                     {{"generation", std::to_string(node.lease.generation)},
                      {"partitions", "0"},
                      {"before", std::to_string(before)},
                      {"why", "the store is away, and not all VMs of the zone say so"}});
        co_await pauseFor(node, extendEvery);
    }
}

asio::awaitable<void> leaseLoop(GatewayNode &node)
{
    while (!node.stopped && !node.shuttingDown) {
        const LeaseRenewal renewal = renewalOf(node);
        const Instant sentAt = BootClock::now();
        auto grant = co_await node.platform->renew(node.http, node.settings, renewal, renewTimeout);
        node.renewalFailing = !grant;
        if (grant && !node.shuttingDown) {
            const std::size_t before = node.lease.orderFrom.size();
            grant->orderedIn = node.orderedBefore;
            renewLease(node.lease, *grant, node.settings.lease, sentAt, BootClock::now());
            if (before != node.lease.orderFrom.size())
                logEvent(EventId::LeaseChanged,
                         {{"generation", std::to_string(grant->generation)},
                          {"partitions", std::to_string(grant->partitions.size())},
                          {"ordersAllInMs", std::to_string(waitMs(node.lease, BootClock::now()))},
                          {"before", std::to_string(before)}});
        }
        if (grant && !node.shuttingDown)
            spawn(node, "note ordering", noteOrdering(node));
        // What another gateway may have ordered meanwhile is not known here any more.
        for (const auto &[target, desk] : node.desks) {
            if (!mayOrderNow(node, target))
                forgetSequence(desk->desk);
        }
        co_await pauseFor(node, node.settings.lease.ttl / renewalsPerLease);
    }
}

asio::awaitable<void> leaveLease(GatewayNode &node)
{
    const LeaseRenewal renewal = renewalOf(node);
    dropLease(node.lease, BootClock::now());
    tellUrgently(node);
    co_await node.platform->leave(node.http, node.settings, renewal, renewTimeout);
}

} // namespace monsoonbay
