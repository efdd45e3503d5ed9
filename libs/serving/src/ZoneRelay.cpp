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
bool teachesBefore(const ZonePeer &left, const ZonePeer &right) noexcept
{
    if (left.starting != right.starting)
        return right.starting;
    return ranksBefore(left.rank, right.rank);
}

} // namespace

// No VM takes updates from a peer that is starting, so if the VM below it stopped reading the
// store, it would receive nothing until it asks again.
bool isRelay(const RelayRank &self, bool selfStarting, const std::vector<ZonePeer> &mates) noexcept
{
    return std::none_of(mates.begin(), mates.end(), [&](const ZonePeer &mate) {
        const bool teaches = selfStarting || !mate.starting;
        return mate.reachable && teaches && ranksBefore(mate.rank, self);
    });
}

std::optional<std::size_t> chooseUpstream(const RelayRank &self, bool selfStarting,
                                          const std::vector<ZonePeer> &mates) noexcept
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < mates.size(); ++index) {
        const ZonePeer &mate = mates[index];
        if (!mate.reachable)
            continue;
        const bool above =
            selfStarting != mate.starting ? selfStarting : ranksBefore(mate.rank, self);
        if (!above)
            continue;
        if (!best || teachesBefore(mate, mates[*best]))
            best = index;
    }
    return best;
}

std::vector<std::size_t> chooseLeaseHolders(const std::vector<ZonePeer> &mates, std::size_t most)
{
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < mates.size(); ++index) {
        if (mates[index].reachable && !mates[index].starting)
            chosen.push_back(index);
    }
    std::sort(chosen.begin(), chosen.end(), [&](std::size_t left, std::size_t right) {
        if (mates[left].linksLost != mates[right].linksLost)
            return mates[right].linksLost;
        if (mates[left].leaseHolder != mates[right].leaseHolder)
            return mates[left].leaseHolder;
        return ranksBefore(mates[left].rank, mates[right].rank);
    });
    if (chosen.size() > most)
        chosen.resize(most);
    return chosen;
}

} // namespace monsoonbay
