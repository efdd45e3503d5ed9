#include "PlacementSupport.h"

namespace monsoonbay {

bool mayLoad(const PlacementState &state, AdapterId adapter, Instant now)
{
    if (state.copies.contains(adapter))
        return false;
    const auto backoff = state.backoffs.find(adapter);
    return backoff == state.backoffs.end() || backoff->second.until <= now;
}

bool takesLoads(const TargetView &target, Instant now)
{
    return target.usable && !target.leaving && target.backoffUntil <= now;
}

std::optional<SlotChoice> freeSlot(const PlacementState &state, Instant now)
{
    std::optional<SlotChoice> best;
    int maxFree = 0;
    for (std::size_t index = 0; index < state.targets.size(); ++index) {
        const TargetView &target = state.targets[index];
        if (!takesLoads(target, now) || target.freeSlots() <= maxFree)
            continue;
        maxFree = target.freeSlots();
        best = SlotChoice{index, AdapterId{}};
    }
    return best;
}

bool isWanted(const PlacementState &state, AdapterId adapter)
{
    return state.wants.contains(adapter);
}

std::optional<SlotChoice> leastRecentSlot(const PlacementState &state, Instant now)
{
    std::optional<SlotChoice> best;
    Instant leastRecent = Instant::max();
    for (std::size_t index = 0; index < state.targets.size(); ++index) {
        const TargetView &target = state.targets[index];
        if (!takesLoads(target, now))
            continue;
        for (const ResidentSlot &slot : target.resident) {
            if (slot.pins > 0 || isWanted(state, slot.adapter))
                continue;
            const Instant last = lastRequestOf(state.demand, slot.adapter);
            if (last >= leastRecent)
                continue;
            leastRecent = last;
            best = SlotChoice{index, slot.adapter};
        }
    }
    return best;
}

} // namespace monsoonbay
