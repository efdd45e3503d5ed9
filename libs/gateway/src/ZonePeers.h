#pragma once

#include <string>
#include <vector>

#include "GatewayNode.h"

namespace monsoonbay {

/** Reporters that were silent for this long no longer count, and neither does their usage. */
constexpr Duration reporterTimeout = std::chrono::milliseconds(1500);

/** The VMs of one zone as candidates for its relay. */
struct ZonePeers
{
    std::vector<ZonePeer> candidates;
    std::vector<PeerState *> peers; ///< in the same order
};

/** The VMs of a zone that this VM knows by name, without this VM. */
ZonePeers zonePeersOf(GatewayNode &node, const std::string &zone);

/** True for a VM of the own zone that is known by name. */
bool isZonePeer(const GatewayNode &node, const PeerState &peer);

/** Number of other VMs of the own zone that are known. */
int countZonePeers(const GatewayNode &node);

/** True if the peer is not stopping, and has answered the last exchange or reported recently. */
bool isReachable(const PeerState &peer, Instant now);

RelayRank rankOf(const PeerState &peer);

/** The zone of a target; empty if it is not listed. */
std::string zoneOfTarget(const GatewayNode &node, const std::string &target);

} // namespace monsoonbay
