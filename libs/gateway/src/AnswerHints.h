#pragma once

#include "GatewayNode.h"
#include "serving/CallMetadata.h"

namespace monsoonbay {

/**
 * Applies what a target states about itself with an answer: that it is shutting down, which is
 * reported to all VMs, for how long it wants no calls of this VM, and its rate limit for all VMs
 * together. Ignores an answer that another target gave.
 */
void applyAnswerHints(GatewayNode &node, const std::string &target, const AnswerMetadata &answer);

/** True if the target takes calls of this VM now, by what it has stated. */
bool acceptsCalls(GatewayNode &node, const std::string &target, Instant now);

/** A peer reports that the target, if started at `startTime`, is shutting down; 0: not stated. */
void markLeavingByPeer(GatewayNode &node, const std::string &target, std::int64_t startTime);

/** Marks the target as shutting down, by `source`: it gets no new calls until it restarts. */
void markLeaving(GatewayNode &node, const std::string &target, std::string_view source);

} // namespace monsoonbay
