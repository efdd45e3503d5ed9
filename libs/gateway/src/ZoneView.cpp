#include "ZoneView.h"

#include <algorithm>

namespace monsoonbay {

bool isMate(const GatewayNode &node, const PeerState &peer)
{
    return peer.zone == node.settings.zone && !peer.name.empty();
}

int countMates(const GatewayNode &node)
{
    return static_cast<int>(
        std::count_if(node.peers.begin(), node.peers.end(),
                      [&](const auto &entry) { return isMate(node, entry.second); }));
}

bool isReachable(const PeerState &peer, Instant now)
{
    return !peer.stopping && (peer.failures == 0 || now - peer.reportedAt < reporterSilence);
}

RelayRank rankOf(const PeerState &peer)
{
    RelayRank rank;
    rank.storeUnreachable = peer.storeUnreachable;
    rank.capacity = peer.capacity;
    rank.hash = stableHash(peer.name);
    return rank;
}

ZoneMates matesOf(GatewayNode &node, const std::string &zone)
{
    ZoneMates found;
    const Instant now = BootClock::now();
    for (auto &[endpoint, peer] : node.peers) {
        if (peer.zone != zone || peer.name.empty())
            continue;
        ZonePeer mate;
        mate.rank = rankOf(peer);
        mate.reachable = isReachable(peer, now);
        mate.starting = peer.starting;
        mate.holding = peer.holding;
        mate.linksLost = peer.linksLost;
        found.mates.push_back(mate);
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
