#pragma once

#include "Node.h"

namespace monsoonbay {

/** Chooses the coordinator of load permits, and its deputy, among the alive entry VMs. */
void updateCoordinator(Node &node, const std::vector<Member> &alive);

/** Applies the wants, demand, verdicts, load commands and results in a peer's message. */
void applyCoordinationUpdates(Node &node, VmId from, const v1::PeerNews &news);

/** Counts a request for the demand estimate. */
void countDemand(Node &node, AdapterId adapter, bool hit);

/** Reports to the coordinator at once which requests wait here for an adapter. */
void reportWant(Node &node, AdapterId adapter);

/** Reports to the coordinator how a commanded load ended. */
void reportLoadResult(Node &node, std::uint64_t permit, const v1::LoadOrder &order,
                      LoadOutcome outcome);

/** Updates the placement's view of a target by the status that its owner reported. */
void placeTarget(Node &node, const TargetStatus &status);

/** Decides on load commands and verdicts and sends them out, if this VM is the coordinator. */
void coordinate(Node &node);

asio::awaitable<void> coordinatorLoop(Node &node);

} // namespace monsoonbay
