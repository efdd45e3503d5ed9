#pragma once

#include <memory>

#include "GatewayNode.h"

namespace monsoonbay {

/** Adds a gateway, or what is learnt of one; empty parts of `fact` are not known. */
void addPeer(GatewayNode &node, const Endpoint &endpoint, const SharedVm &fact);

/**
 * What this VM tells a peer. To a mate, `withUse` adds its own use of targets and limits; to a VM
 * of another zone, that of all mates that report to it.
 */
std::shared_ptr<gateway::v1::Report> buildReport(GatewayNode &node, const PeerState &peer,
                                                 bool withUse);

/** Takes a peer's report and answers it with what that peer has not seen yet. */
gateway::v1::Digest answerReport(GatewayNode &node, const gateway::v1::Report &report);

/** Takes what a peer answered to a report; `upstream`: it is the relay of this VM. */
void applyDigest(GatewayNode &node, const Endpoint &endpoint, const gateway::v1::Digest &digest,
                 bool upstream);

/** One exchange that this VM begins, with a known peer. True if it was answered. */
asio::awaitable<bool> exchangeWith(GatewayNode &node, Endpoint endpoint, bool withUse,
                                   bool upstream);

} // namespace monsoonbay
