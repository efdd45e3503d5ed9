#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * How many VMs there are, for all that is divided among them: a VM that takes itself for one of
 * fewer than there are uses what belongs to others.
 */

/** VMs that are heard now, this one among them. */
int reachableVms(const GatewayNode &node, Instant now);

/** VMs that may let calls run, whether they are heard or not. */
int knownVms(const GatewayNode &node, Instant now);

/** False while a VM that has just started cannot know how many others there are. */
bool knowsFleetSize(const GatewayNode &node, Instant now);

/**
 * This VM tells what it may have used of the limits before its start; one that does not is not
 * counted among those whose use is told.
 */
bool reportsUsage(const GatewayNode &node, Instant now);

/** Looks how many are in touch; called all the time. */
void recountVms(GatewayNode &node, Instant now);

/** The VM's relay told something lately. */
bool isRelayLive(const GatewayNode &node, Instant now);

} // namespace monsoonbay
