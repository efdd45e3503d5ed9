#pragma once

#include "GatewayNode.h"
#include "serving/CallMetadata.h"

namespace monsoonbay {

/**
 * Takes what a target says of itself with an answer: that it leaves, which all VMs are told,
 * for how long it wants nothing of this one, and how many calls it takes from all VMs. An answer of
 * another target says nothing of it.
 */
void applyAnswerHints(GatewayNode &node, const std::string &target, const AnswerMetadata &answer);

/** True if the target takes calls of this VM now, by its own words. */
bool takesCalls(GatewayNode &node, const std::string &target, Instant now);

/** A peer knows that the start `startTime` of this target is leaving; 0: it does not say which. */
void markLeavingByPeer(GatewayNode &node, const std::string &target, std::int64_t startTime);

/** The target leaves, by what `source` says: it gets nothing new until it is started anew. */
void markLeaving(GatewayNode &node, const std::string &target, std::string_view source);

} // namespace monsoonbay
