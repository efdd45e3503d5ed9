#pragma once

#include <memory>

#include "GatewayNode.h"

namespace monsoonbay {

/** Adds a peer, or updates what is known of it; empty fields of `vm` are not known. */
void addPeer(GatewayNode &node, const Endpoint &endpoint, const SharedVm &vm);

/**
 * Builds this VM's report to a peer. `withUsage` adds usage of targets and limits: for a zone peer,
 * that of this VM; for a VM of another zone, also that of the zone peers that report to this VM.
 */
std::shared_ptr<gateway::v1::Report> buildReport(GatewayNode &node, const PeerState &peer,
                                                 bool withUsage);

/** Applies a peer's report and answers it with the changes that the peer has not received yet. */
gateway::v1::Digest answerReport(GatewayNode &node, const gateway::v1::Report &report);

/** Applies a peer's answer to a report; `upstream`: the peer is the relay of this VM. */
void applyDigest(GatewayNode &node, const Endpoint &endpoint, const gateway::v1::Digest &digest,
                 bool upstream);

/** Sends a report to a known peer and applies the answer. True if it was answered. */
asio::awaitable<bool> exchangeWith(GatewayNode &node, Endpoint endpoint, bool withUsage,
                                   bool upstream);

} // namespace monsoonbay
