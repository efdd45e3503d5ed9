#include "serving/ZoneRelay.h"

#include <algorithm>

namespace monsoonbay {

bool ranksBefore(const RelayRank &left, const RelayRank &right) noexcept
{
    if (left.storeUnreachable != right.storeUnreachable)
        return right.storeUnreachable;
    if (left.capacity != right.capacity)
        return left.capacity > right.capacity;
    return left.hash < right.hash;
}

namespace {

/** Peers that have state rank before peers that are starting. */
bool isPreferredUpstream(const ZonePeer &left, const ZonePeer &right) noexcept
{
    if (left.starting != right.starting)
        return right.starting;
    return ranksBefore(left.rank, right.rank);
}

} // namespace

// No VM takes updates from a peer that is starting, so if the VM below it stopped reading the
// store, it would receive nothing until it asks again.
bool isRelay(const RelayRank &self, bool selfStarting, const std::vector<ZonePeer> &peers) noexcept
{
    return std::none_of(peers.begin(), peers.end(), [&](const ZonePeer &peer) {
        const bool sendsUpdates = selfStarting || !peer.starting;
        return peer.reachable && sendsUpdates && ranksBefore(peer.rank, self);
    });
}

std::optional<std::size_t> chooseUpstream(const RelayRank &self, bool selfStarting,
                                          const std::vector<ZonePeer> &peers) noexcept
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        const ZonePeer &peer = peers[index];
        if (!peer.reachable)
            continue;
        const bool above =
            selfStarting != peer.starting ? selfStarting : ranksBefore(peer.rank, self);
        if (!above)
            continue;
        if (!best || isPreferredUpstream(peer, peers[*best]))
            best = index;
    }
    return best;
}

std::vector<std::size_t> chooseLeaseHolders(const std::vector<ZonePeer> &peers,
                                            std::size_t maxHolders)
{
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        if (peers[index].reachable && !peers[index].starting)
            chosen.push_back(index);
    }
    std::sort(chosen.begin(), chosen.end(), [&](std::size_t left, std::size_t right) {
        if (peers[left].linksLost != peers[right].linksLost)
            return peers[right].linksLost;
        if (peers[left].leaseHolder != peers[right].leaseHolder)
            return peers[left].leaseHolder;
        return ranksBefore(peers[left].rank, peers[right].rank);
    });
    if (chosen.size() > maxHolders)
        chosen.resize(maxHolders);
    return chosen;
}

} // namespace monsoonbay
