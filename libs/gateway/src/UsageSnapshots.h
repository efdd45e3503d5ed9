#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Snapshots of workspace usage in the store; see quota/UsageSnapshot.h. */

/** True if some workspace has a limit and the settings have a quota policy. */
bool keepsUsageSnapshots(const GatewayNode &node);

/** The share of a workspace's limit for a window that may be used now. */
double allowedShare(const GatewayNode &node, const std::string &workspace, Instant now);

/** Takes the snapshots that the store held when this VM first read its list of VMs. */
void applyStoredSnapshots(GatewayNode &node, std::vector<UsageSnapshot> snapshots);

/** Adds the units by age of workspaces whose usage has to be in the next snapshot. */
void fillUnitsByAge(GatewayNode &node, bool wholeZone, gateway::v1::Report &report);

WorkspaceUnits decodeUnitsByAge(const gateway::v1::Report &report);

/**
 * Adds the permits and, for a VM that may have just started, the snapshots read at this VM's start.
 * `zonePeer`: the sender of `report` is of this VM's zone.
 */
void addUsageUpdates(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
                     gateway::v1::Digest &digest);

/** Applies what addUsageUpdates() added. `ownRelay`: the digest is of this VM's relay. */
void applyUsageUpdates(GatewayNode &node, const gateway::v1::Digest &digest, bool ownRelay,
                       Instant askedAt);

/** While this VM relays: writes the snapshots of workspace usage for its zone. */
asio::awaitable<void> usageSnapshotLoop(GatewayNode &node);

} // namespace monsoonbay
