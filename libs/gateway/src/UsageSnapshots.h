#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Notes of the use of workspaces in the store; see quota/UsageSnapshot.h. */

/** False where there are no limits, or the settings do not say how they are to be kept. */
bool keepsUsageSnapshots(const GatewayNode &node);

/** The part of what may be used in a window that is let run now. */
double allowedShare(const GatewayNode &node, const std::string &workspace, Instant now);

/** What the store held when this VM read its list of VMs first. */
void applyStoredSnapshots(GatewayNode &node, std::vector<UsageSnapshot> snapshots);

/** Adds the units by age of workspaces whose use is to be noted. */
void fillUnitsByAge(GatewayNode &node, bool wholeZone, gateway::v1::Report &report);

WorkspaceUnits decodeUnitsByAge(const gateway::v1::Report &report);

/** `zonePeer`: the asker is of this VM's zone. */
void addUsageUpdates(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
                     gateway::v1::Digest &digest);

/** `ownRelay`: the digest is of the VM that this one reports to. */
void applyUsageUpdates(GatewayNode &node, const gateway::v1::Digest &digest, bool ownRelay,
                       Instant askedAt);

/** While this VM relays: notes the use of workspaces for its zone. */
asio::awaitable<void> usageSnapshotLoop(GatewayNode &node);

} // namespace monsoonbay
