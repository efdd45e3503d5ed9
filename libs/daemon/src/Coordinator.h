#pragma once

#include "Node.h"

namespace monsoonbay {

/** Chooses who gives out load permits among the entry VMs that are alive. */
void updateCoordinator(Node &node, const std::vector<Member> &alive);

/** Takes wants, demand, verdicts, orders and results out of a peer's message. */
void applyCoordinationUpdates(Node &node, VmId from, const v1::PeerNews &news);

/** Counts a request for the demand estimate. */
void countDemand(Node &node, AdapterId adapter, bool hit);

/** Tells the coordinator at once who waits here for an adapter. */
void reportWant(Node &node, AdapterId adapter);

/** Tells the coordinator how an ordered load ended. */
void reportLoadResult(Node &node, std::uint64_t permit, const v1::LoadOrder &order,
                      LoadOutcome outcome);

/** The placement's view of a target from its owner's news. */
void placeTarget(Node &node, const TargetStatus &status);

/** Decides and sends out orders and verdicts, if this VM coordinates. */
void coordinate(Node &node);

asio::awaitable<void> coordinatorLoop(Node &node);

} // namespace monsoonbay
