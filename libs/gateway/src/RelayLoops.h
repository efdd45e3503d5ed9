#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** This VM begins or ends to read the store for its zone. */
void setRelaying(GatewayNode &node, bool relaying);

/** How old what this VM knows of the load of engines is, about: it grows with the VMs. */
Duration loadReportAge(const GatewayNode &node);

/** How old it really is, if some or all other VMs are not heard; see NewsAge.h. */
Duration knownLoadAge(const GatewayNode &node, Instant now);

/** Reports to the relay of the zone and learns from it; finds another when it falls silent. */
asio::awaitable<void> upstreamLoop(GatewayNode &node);

/** While this VM relays: exchanges news with the relays of the other zones. */
asio::awaitable<void> otherZonesLoop(GatewayNode &node);

/** Looks for mates that were silent, and drops what silent ones had reported. */
asio::awaitable<void> zonePeersLoop(GatewayNode &node);

} // namespace monsoonbay
