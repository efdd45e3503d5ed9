#pragma once

#include <map>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Which slots of an engine are in use, told by each VM straight to the holder of the engine.
 *
 * The holder takes a slot for another adapter as soon as it is idle. With old news it unloads an
 * adapter that is in use, and the engine then takes no order until that call has ended; or it
 * leaves slots unused while callers are refused for want of one.
 */

/** Calls of all gateways at an engine that this one orders, by adapter. */
std::map<std::string, int> adapterRuns(const GatewayNode &node, const std::string &target);

/** Slots in use at an engine that this gateway orders; 0 at others. */
int busySlots(GatewayNode &node, const std::string &target);

/** Own calls at an engine begin or stop to use an adapter: its holder is to know. */
void markRunsChanged(GatewayNode &node, const std::string &target);

/** Takes another VM's word. */
gateway::v1::UseNoted applyUsageReport(GatewayNode &node, const gateway::v1::UseNote &report);

/** Tells holders of own calls for as long as the gateway runs. */
asio::awaitable<void> usageReportLoop(GatewayNode &node);

} // namespace monsoonbay
