#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/**
 * Evidence of calls that end the targets that run them, and the verdict on it. VMs tell each other
 * the evidence, never the verdict, so that no VM believes a call harmful because others do.
 */

/** A target ended under calls of this VM. */
void recordTargetEnd(GatewayNode &node, const CallEvidence &evidence);

/** A target answered a call whole. */
void recordCompletedCall(ActiveCall &activeCall);

/** Evidence of another VM; call evaluateEvidence() after the last of a batch. */
void addReceivedEvidence(GatewayNode &node, std::uint64_t id, CallEvidence evidence);

/** Judges anew if evidence has come or gone since the last time. */
void evaluateEvidence(GatewayNode &node);

/** Drops evidence that no longer counts, and the oldest of what is too much to keep. */
void pruneEvidence(GatewayNode &node, Instant now);

/** Null: the call may be sent to a target. */
const HarmfulCall *findHarmfulCall(const ActiveCall &activeCall);

} // namespace monsoonbay
