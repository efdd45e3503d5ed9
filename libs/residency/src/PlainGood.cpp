// Baseline policy, against which the others are measured: routes to the target with the fewest
// running requests among those that hold the adapter, evicts the least recently used adapter over
// all targets, and loads one adapter at a time in order of arrival, for all requests that wait for
// it together. Requests are refused only by their deadline.

#include "PlacementSupport.h"

namespace monsoonbay {

namespace {

std::size_t routeLeastRunning(std::span<const RouteCandidate> candidates, double, double)
{
    std::size_t best = candidates.size();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!candidates[index].resident)
            continue;
        if (best == candidates.size() || candidates[index].running < candidates[best].running)
            best = index;
    }
    return best;
}

std::optional<LoadChoice> firstComeLoad(const PlacementState &state, Instant now)
{
    AdapterId first;
    Instant earliest = Instant::max();
    for (const auto &[adapter, set] : state.wants) {
        if (!mayLoad(state, adapter, now))
            continue;
        const Instant oldest = set.oldest();
        const bool earlier = oldest < earliest || (oldest == earliest && adapter < first);
        if (!earlier)
            continue;
        earliest = oldest;
        first = adapter;
    }
    if (first.value == 0)
        return std::nullopt;
    std::optional<SlotChoice> slot = freeSlot(state, now);
    if (!slot)
        slot = leastRecentSlot(state, now);
    if (!slot)
        return std::nullopt;
    return LoadChoice{first, *slot, false};
}

std::vector<AdapterId> refuseNobody(PlacementState &, Instant)
{
    return {};
}

constexpr PlacementPolicy plainGood{"plain-good",  1,       routeLeastRunning,
                                    firstComeLoad, nullptr, refuseNobody};

} // namespace

} // namespace monsoonbay

MONSOONBAY_REGISTER_PLACEMENT(PlainGood, monsoonbay::plainGood);
