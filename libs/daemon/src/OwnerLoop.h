#pragma once

#include "Node.h"

namespace monsoonbay {

/** Applies an owner's status of a target to the directory, placement and ownership. */
void applyTargetStatus(Node &node, const v1::TargetNews &news);

/** Carries out a load command on an engine that this VM owns. */
void executeLoad(Node &node, const v1::LoadOrder &order);

/** Reports the status of a target that this VM owns to all peers. */
void reportTarget(Node &node, TargetId target);

/** Releases all targets and reports that to all peers, for a shutdown. */
void releaseTargets(Node &node);

/** Claims targets, renews leases at the engines, and keeps their slots up to date. */
asio::awaitable<void> ownerLoop(Node &node);

} // namespace monsoonbay
