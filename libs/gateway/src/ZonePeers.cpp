#include "ZonePeers.h"

#include <algorithm>

namespace monsoonbay {

bool isZonePeer(const GatewayNode &node, const PeerState &peer)
{
    return peer.zone == node.settings.zone && !peer.name.empty();
}

int countZonePeers(const GatewayNode &node)
{
    return static_cast<int>(
        std::count_if(node.peers.begin(), node.peers.end(),
                      [&](const auto &entry) { return isZonePeer(node, entry.second); }));
}

bool isReachable(const PeerState &peer, Instant now)
{
    return !peer.stopping && (peer.failures == 0 || now - peer.lastReportAt < reporterTimeout);
}

RelayRank rankOf(const PeerState &peer)
{
    RelayRank rank;
    rank.storeUnreachable = peer.storeUnreachable;
    rank.capacity = peer.capacity;
    rank.hash = stableHash(peer.name);
    return rank;
}

ZonePeers zonePeersOf(GatewayNode &node, const std::string &zone)
{
    ZonePeers found;
    const Instant now = BootClock::now();
    for (auto &[endpoint, peer] : node.peers) {
        if (peer.zone != zone || peer.name.empty())
            continue;
        ZonePeer candidate;
        candidate.rank = rankOf(peer);
        candidate.reachable = isReachable(peer, now);
        candidate.starting = peer.starting;
        candidate.leaseHolder = peer.leaseHolder;
        candidate.linksLost = peer.linksLost;
        found.candidates.push_back(candidate);
        found.peers.push_back(&peer);
    }
    return found;
}

std::string zoneOfTarget(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    return entry == nullptr ? std::string() : entry->zone;
}

} // namespace monsoonbay
