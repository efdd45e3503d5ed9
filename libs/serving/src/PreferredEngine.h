#pragma once

#include <algorithm>
#include <limits>
#include <optional>

#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * Index of the adapter's preferred engine among the candidates; nullopt if there is none. `warm` is
 * preferred to all others if it costs little more than the cheapest.
 *
 * Rendezvous hashing gives each adapter an order of engines that all VMs agree on without a
 * message. Loading at the first of them that is not much more expensive than the cheapest keeps an
 * adapter's calls, its copies in host memory and the cached prefixes of its prompts together, also
 * when the adapter comes back later. An engine that held the adapter recently goes first: a load
 * there is fast and fetches no weights.
 */
template <typename Candidate, typename Cost>
std::optional<std::size_t>
choosePreferredEngine(const std::vector<EngineView> &engines, const EngineNeed &need,
                      const EngineWeights &weights, std::optional<std::size_t> warm,
                      Candidate isCandidate, Cost costOf)
{
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (isCandidate(index))
            least = std::min(least, costOf(index));
    }
    if (warm && costOf(*warm) <= least + weights.maxWarmExtraLoads * engines[*warm].fetchMs)
        return warm;
    const std::uint64_t key = stableHash(need.adapter);
    std::optional<std::size_t> best;
    std::uint64_t bestScore = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (!isCandidate(index))
            continue;
        if (costOf(index) > least + weights.maxSpillLoads * engines[index].fetchMs)
            continue;
        const std::uint64_t score = rendezvousScore(key, engines[index].hash);
        if (best && score <= bestScore)
            continue;
        best = index;
        bestScore = score;
    }
    return best;
}

} // namespace monsoonbay
