#pragma once

#include "Node.h"

namespace monsoonbay {

/** Takes an owner's news of a target into the directory, placement and ownership. */
void applyTargetStatus(Node &node, const v1::TargetNews &news);

/** Carries out a load order on an engine that this VM owns. */
void executeLoad(Node &node, const v1::LoadOrder &order);

/** Tells everyone what is resident on a target that this VM owns. */
void reportTarget(Node &node, TargetId target);

/** Gives all targets up and tells everyone, for a shutdown. */
void releaseTargets(Node &node);

/** Claims targets, renews leases at the engines, and keeps their slots up to date. */
asio::awaitable<void> ownerLoop(Node &node);

} // namespace monsoonbay
