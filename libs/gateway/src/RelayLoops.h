#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Makes this VM the relay that reads the store for its zone, or ends that. */
void setRelaying(GatewayNode &node, bool relaying);

/** Approximate age of the known load of engines; it grows with the number of VMs. */
Duration loadReportAge(const GatewayNode &node);

/** Its actual age, also if some or all other VMs do not report; see UpdateAge.h. */
Duration knownLoadAge(const GatewayNode &node, Instant now);

/** Exchanges state with the relay of the zone; chooses another when it falls silent. */
asio::awaitable<void> upstreamLoop(GatewayNode &node);

/** While this VM relays: exchanges state updates with the relays of the other zones. */
asio::awaitable<void> otherZonesLoop(GatewayNode &node);

/** Probes zone peers that were silent, and drops the reports of VMs that fell silent. */
asio::awaitable<void> zonePeersLoop(GatewayNode &node);

} // namespace monsoonbay
