#pragma once

#include <map>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Which slots of an engine are in use, reported by each VM directly to the engine's lease holder.
 *
 * The lease holder reuses a slot for another adapter as soon as it is idle. With outdated reports
 * it would unload an adapter that is in use, after which the engine takes no command until that
 * call has ended; or it would leave slots unused while calls are refused for lack of one.
 */

/** Calls of all VMs at an engine that this VM holds, by adapter. */
std::map<std::string, int> adapterRuns(const GatewayNode &node, const std::string &target);

/** Slots in use at an engine that this VM holds; 0 at others. */
int busySlots(GatewayNode &node, const std::string &target);

/** Schedules a report: calls of this VM have begun or stopped to use an adapter at an engine. */
void markRunsChanged(GatewayNode &node, const std::string &target);

/** Applies another VM's usage report. */
gateway::v1::UseNoted applyUsageReport(GatewayNode &node, const gateway::v1::UseNote &report);

/** Reports this VM's calls to lease holders for as long as the gateway runs. */
asio::awaitable<void> usageReportLoop(GatewayNode &node);

} // namespace monsoonbay
