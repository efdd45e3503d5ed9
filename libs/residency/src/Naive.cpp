// Reference policy of the differential tests, as simple as possible: every request goes to the
// target with the fewest running requests, whether or not it holds the adapter; each target loads
// what was requested there first, evicts its own least recently used adapter, and needs no permit.
//
// As the router decides the target here, loads are chosen by the wants of each target: the code
// that uses this policy sets Want::origin to the target instead of the entry VM.

#include "PlacementSupport.h"

namespace monsoonbay {

namespace {

std::size_t routeAnywhere(std::span<const RouteCandidate> candidates, double, double)
{
    std::size_t best = 0;
    for (std::size_t index = 1; index < candidates.size(); ++index) {
        if (candidates[index].running < candidates[best].running)
            best = index;
    }
    return best;
}

const TargetView *waitedAt(const PlacementState &state, const Want &want)
{
    const auto found = state.targetIndex.find(TargetId{want.origin.value});
    return found == state.targetIndex.end() ? nullptr : &state.targets[found->second];
}

bool holds(const TargetView &target, AdapterId adapter)
{
    for (const ResidentSlot &slot : target.resident) {
        if (slot.adapter == adapter)
            return true;
    }
    return false;
}

std::optional<SlotChoice> slotAt(const PlacementState &state, const TargetView &target)
{
    const std::size_t index = state.targetIndex.at(target.target);
    if (target.freeSlots() > 0)
        return SlotChoice{index, AdapterId{}};
    const ResidentSlot *oldest = nullptr;
    for (const ResidentSlot &slot : target.resident) {
        if (slot.pins > 0)
            continue;
        const bool older = oldest == nullptr
            || lastRequestOf(state.demand, slot.adapter)
                < lastRequestOf(state.demand, oldest->adapter);
        if (older)
            oldest = &slot;
    }
    if (oldest == nullptr)
        return std::nullopt;
    return SlotChoice{index, oldest->adapter};
}

std::optional<LoadChoice> firstComeAtTarget(const PlacementState &state, Instant now)
{
    std::optional<LoadChoice> first;
    Instant earliest = Instant::max();
    for (const auto &[adapter, set] : state.wants) {
        for (const Want &want : set.wants) {
            const TargetView *target = waitedAt(state, want);
            const bool busy = target == nullptr || !takesLoads(*target, now)
                || !target->loading.empty() || holds(*target, adapter);
            if (busy || want.oldest >= earliest)
                continue;
            const std::optional<SlotChoice> slot = slotAt(state, *target);
            if (!slot)
                continue;
            earliest = want.oldest;
            first = LoadChoice{adapter, *slot, false};
        }
    }
    return first;
}

std::vector<AdapterId> refuseNobody(PlacementState &, Instant)
{
    return {};
}

constexpr PlacementPolicy naive{"naive",           0,       routeAnywhere,
                                firstComeAtTarget, nullptr, refuseNobody};

} // namespace

} // namespace monsoonbay

MONSOONBAY_REGISTER_PLACEMENT(Naive, monsoonbay::naive);
