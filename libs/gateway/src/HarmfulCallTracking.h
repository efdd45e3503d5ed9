#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/**
 * Evidence of calls that crash the targets that run them, and the verdict on it. VMs exchange the
 * evidence, never the verdict, so that no VM considers a call harmful because others do.
 */

/** Records that a target ended under calls of this VM. */
void recordTargetEnd(GatewayNode &node, const CallEvidence &evidence);

/** Records that a target answered a call completely, as evidence for the call if it is suspect. */
void recordCompletedCall(ActiveCall &call);

/** Adds evidence of another VM; call evaluateEvidence() after the last of a batch. */
void addReceivedEvidence(GatewayNode &node, std::uint64_t id, CallEvidence evidence);

/** Finds the harmful calls anew if evidence was added or dropped since the last time. */
void evaluateEvidence(GatewayNode &node);

/** Drops expired evidence, and the least valuable of what exceeds the bounds on memory. */
void pruneEvidence(GatewayNode &node, Instant now);

/**
 * The verdict on this call if it is harmful; null if it may be sent to a target. Now and then a
 * harmful call is sent to one target all the same, as only its answer can clear it.
 */
const HarmfulCall *findHarmfulCall(ActiveCall &call);

/** Time until this VM next sends such a call to a target. */
Duration untilTrial(const GatewayNode &node, const HarmfulCall &harmful, Instant now);

} // namespace monsoonbay
