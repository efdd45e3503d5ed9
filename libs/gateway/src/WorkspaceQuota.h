#pragma once

#include <optional>

#include "ActiveCall.h"
#include "quota/Admission.h"

namespace monsoonbay {

/** Limits of workspaces over all VMs; see quota/Admission.h. */

/** Charges the call to its workspace's limit; a refusal if it does not fit. */
std::optional<LocalReply> chargeQuota(ActiveCall &call);

/** Charges once more a call that is sent again although it may have run. */
void chargeQuotaAgain(ActiveCall &call);

/** Refunds the latest charge, of an attempt that has not run. */
void refundQuota(ActiveCall &call);

/** What all reachable VMs use of a workspace's limit. */
FleetUsage fleetUsageOf(GatewayNode &node, const Workspace &workspace, Instant now);

/** Usage by calls of this VM, by workspace. */
WorkspaceUses ownWorkspaceUsage(GatewayNode &node, Instant now);

/** The same for this VM and those of its zone that report to it. */
WorkspaceUses zoneWorkspaceUsage(GatewayNode &node, Instant now);

} // namespace monsoonbay
