#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Adds a gateway, or what is learnt of one; empty parts of `fact` are not known. */
void addPeer(GatewayNode &node, const Endpoint &endpoint, const VmFact &fact);

/** Takes a peer's report and answers it with what that peer has not seen yet. */
gateway::v1::Digest answerReport(GatewayNode &node, const gateway::v1::Report &report);

/** Takes what a peer answered to a report; `upstream`: it is the relay of this VM. */
void takeDigest(GatewayNode &node, const Endpoint &endpoint, const gateway::v1::Digest &digest,
                bool upstream);

/** Reports to the relay of the zone and learns from it; finds another when it falls silent. */
asio::awaitable<void> upstreamLoop(GatewayNode &node);

/** While this VM relays: exchanges news with the relays of the other zones. */
asio::awaitable<void> otherZonesLoop(GatewayNode &node);

/** Looks for mates that were silent, and drops what silent ones had reported. */
asio::awaitable<void> matesLoop(GatewayNode &node);

} // namespace monsoonbay
