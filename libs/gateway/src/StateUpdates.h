#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Adds to the answer of a report what its sender has not seen of the shared facts, oldest change
 * first, as much as one answer may carry. `zonePeer`: the sender is of this VM's zone.
 */
void tellNews(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
              gateway::v1::Digest &digest);

/** Takes what tellNews() of another VM added. `ownRelay`: it is the one that this VM reports to. */
void takeNews(GatewayNode &node, PeerState &peer, const gateway::v1::Digest &digest, bool ownRelay);

/** Takes what another VM saw become of calls. */
void applyPeerEvidence(
    GatewayNode &node,
    const google::protobuf::RepeatedPtrField<gateway::v1::CallEvidence> &messages);

} // namespace monsoonbay
