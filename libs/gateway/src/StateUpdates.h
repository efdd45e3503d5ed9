#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Adds to the digest the changes of the shared state that the sender of `report` has not received
 * yet, oldest first, up to the limit of one answer. `zonePeer`: the sender is of this VM's zone.
 */
void addStateUpdates(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
                     gateway::v1::Digest &digest);

/** Applies the changes that another VM added. `ownRelay`: that VM is the relay of this one. */
void applyStateUpdates(GatewayNode &node, PeerState &peer, const gateway::v1::Digest &digest,
                       bool ownRelay);

/** Applies another VM's evidence on calls. */
void applyPeerEvidence(
    GatewayNode &node,
    const google::protobuf::RepeatedPtrField<gateway::v1::CallEvidence> &messages);

} // namespace monsoonbay
