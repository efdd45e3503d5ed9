#pragma once

#include <optional>

#include "residency/PlacementPolicy.h"

namespace monsoonbay {

/** True if the adapter may be loaded now: it is neither resident, loading, nor backing off. */
bool mayLoad(const PlacementState &state, AdapterId adapter, Instant now);

/** True if the target takes load commands now. */
bool takesLoads(const TargetView &target, Instant now);

/** The target with the most free slots; none if all are full. */
std::optional<SlotChoice> freeSlot(const PlacementState &state, Instant now);

/** The least recently requested adapter that is neither pinned nor wanted, over all targets. */
std::optional<SlotChoice> leastRecentSlot(const PlacementState &state, Instant now);

/** True if requests wait for the adapter; its slot must not be evicted. */
bool isWanted(const PlacementState &state, AdapterId adapter);

} // namespace monsoonbay
