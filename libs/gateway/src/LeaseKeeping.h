#pragma once

#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** True if this VM holds the lease for the engine and may send commands to it now. */
bool mayCommandNow(const GatewayNode &node, const std::string &target);

/** The lease partition of an engine. */
int leasePartitionOf(const GatewayNode &node, const std::string &target);

/** Joins the lease group and renews the lease until this VM leaves the group or stops. */
asio::awaitable<void> leaseLoop(GatewayNode &node);

/**
 * While the store cannot be reached: extends the lease as long as all zone peers allow it, or drops
 * it in time. Also records the lease holder in the store when that is due.
 */
asio::awaitable<void> extendLoop(GatewayNode &node);

/** Requests lease confirmations from zone peers: whether they may hold what this VM holds. */
asio::awaitable<void> leaseConfirmationLoop(GatewayNode &node);

/** Answers a zone peer's request for a lease confirmation. */
gateway::v1::Word answerLeaseConfirmation(GatewayNode &node,
                                          const gateway::v1::WordRequest &request);

/**
 * True if this VM should leave its engines to zone peers, because it does not reach them and a zone
 * peer does. As long as it kept the lease, all loads there would wait in vain.
 */
bool shouldYieldLease(const GatewayNode &node, Instant now);

/** True if this VM, which yielded its lease, should leave it to those that hold it now. */
bool shouldStayOut(const GatewayNode &node, Instant now);

/** Releases the lease for good, so that the next lease holder need not wait for it to expire. */
asio::awaitable<void> leaveLease(GatewayNode &node);

} // namespace monsoonbay
