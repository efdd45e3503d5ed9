#pragma once

#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** True if this gateway may order it now. */
bool mayCommandNow(const GatewayNode &node, const std::string &target);

/** Renews the lease for as long as the gateway runs. */
asio::awaitable<void> leaseLoop(GatewayNode &node);

/** Lets the lease go on, or drops it in time, while the store cannot be reached. */
asio::awaitable<void> extendLoop(GatewayNode &node);

/** Asks the other VMs of the zone whether they may hold what this VM holds, as often as needed. */
asio::awaitable<void> leaseConfirmationLoop(GatewayNode &node);

/** What this VM answers to that. */
gateway::v1::Word answerLeaseConfirmation(GatewayNode &node,
                                          const gateway::v1::WordRequest &request);

/**
 * True if this VM is to let mates order its engines: it does not reach them, and a mate does. All
 * who want a load there would wait in vain for as long as it holds on to them.
 */
bool shouldYieldLease(const GatewayNode &node, Instant now);

/** Gives the lease back, so that another gateway need not wait for its end. */
asio::awaitable<void> leaveLease(GatewayNode &node);

} // namespace monsoonbay
