#pragma once

#include <optional>

#include "residency/PlacementPolicy.h"

namespace monsoonbay {

/** True if the adapter may be loaded now: nowhere resident or loading, not backing off. */
bool mayLoad(const PlacementState &state, AdapterId adapter, Instant now);

/** True if the target takes load orders now. */
bool takesLoads(const TargetView &target, Instant now);

/** A target with a free slot, the one with the fewest residents; none if all are full. */
std::optional<SlotChoice> freeSlot(const PlacementState &state, Instant now);

/** The unpinned resident that was asked for least recently, among `targets`. */
std::optional<SlotChoice> leastRecentSlot(const PlacementState &state, Instant now);

/** True if someone waits for the adapter; such a slot must not be evicted. */
bool isWanted(const PlacementState &state, AdapterId adapter);

} // namespace monsoonbay
