#pragma once

#include "CallRun.h"

namespace monsoonbay {

/**
 * Evidence of calls that end the targets that run them, and the verdict on it. VMs tell each other
 * the evidence, never the verdict, so that no VM believes a call harmful because others do.
 */

/** A target ended under calls of this VM. */
void noteTargetEnded(GatewayNode &node, const CallEvidence &evidence);

/** A target answered a call whole. */
void noteAnsweredCall(CallRun &run);

/** Evidence of another VM; call judgeEvidence() after the last of a batch. */
void takeEvidence(GatewayNode &node, std::uint64_t id, CallEvidence evidence);

/** Judges anew if evidence has come or gone since the last time. */
void judgeEvidence(GatewayNode &node);

/** Drops evidence that no longer counts, and the oldest of what is too much to keep. */
void forgetEvidence(GatewayNode &node, Instant now);

/** Null: the call may be sent to a target. */
const HarmfulCall *harmfulCall(const CallRun &run);

} // namespace monsoonbay
