#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * The number of VMs, by which shared limits are divided. A VM that counts too few uses more than
 * its share.
 */

/** VMs whose reports arrive now, here or at the relay; including this one. */
int reachableVms(const GatewayNode &node, Instant now);

/** VMs that may run calls, whether they can be reached or not. */
int knownVms(const GatewayNode &node, Instant now);

/** Rank of this VM, by name, among the VMs that it knows by name; from 0. */
int rankAmongVms(const GatewayNode &node);

/** False while this VM has just started and cannot know how many others there are. */
bool knowsFleetSize(const GatewayNode &node, Instant now);

/**
 * True once this VM can report what may have been used of the limits before its start. Until then
 * it is not counted among the VMs whose usage is reported.
 */
bool reportsUsage(const GatewayNode &node, Instant now);

/** Updates the count of reachable VMs; called periodically. */
void recountVms(GatewayNode &node, Instant now);

/** True if this VM's relay has answered recently. */
bool isRelayLive(const GatewayNode &node, Instant now);

} // namespace monsoonbay
