#pragma once

#include <optional>

#include "ActiveCall.h"
#include "quota/Admission.h"

namespace monsoonbay {

/** Limits of workspaces over all VMs; see quota/Admission.h. */

/** Takes what the call counts off its workspace's limit; the refusal if it does not fit. */
std::optional<LocalReply> chargeQuota(ActiveCall &call);

/** The call is sent once more although it may have run: it counts once more. */
void chargeQuotaAgain(ActiveCall &call);

/** What was taken last has not run. */
void refundQuota(ActiveCall &call);

/** What all VMs in touch use of a workspace. */
FleetUsage fleetUseOf(GatewayNode &node, const Workspace &workspace, Instant now);

/** What calls of this VM use, by workspace. */
WorkspaceUses ownWorkspaceUses(GatewayNode &node, Instant now);

/** The same of this VM and those of its zone that report to it. */
WorkspaceUses zoneWorkspaceUses(GatewayNode &node, Instant now);

} // namespace monsoonbay
