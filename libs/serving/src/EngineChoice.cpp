#include "serving/EngineChoice.h"

#include <algorithm>
#include <limits>

#include "PreferredEngine.h"
#include "serving/ForecastChoice.h"

namespace monsoonbay {

namespace {

bool isTried(const std::vector<std::string> &tried, const std::string &id)
{
    return std::find(tried.begin(), tried.end(), id) != tried.end();
}

/**
 * Index of the cheapest engine that `accepts` admits; nullopt if there is none.
 *
 * The known load is as old as the last state updates. Without a random part, all VMs would send
 * their calls to the engine that looked best a moment ago, and then all to the next one. Engines
 * that differ by less than what can have changed since are equally good, so `jitterMs` decides.
 */
template <typename Accepts>
std::optional<std::size_t> leastCost(const std::vector<EngineView> &engines, const EngineNeed &need,
                                     const EngineWeights &weights, Accepts accepts)
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (!accepts(engines[index]))
            continue;
        const double cost = expectedCostMs(engines[index], need, weights) + engines[index].jitterMs;
        if (cost >= bestCost)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

std::optional<std::size_t> preferredEngine(const std::vector<EngineView> &engines,
                                           const EngineNeed &need, const EngineWeights &weights,
                                           const std::vector<bool> &eligible)
{
    const auto warm = leastCost(engines, need, weights, [&](const EngineView &engine) {
        return engine.warm && eligible[static_cast<std::size_t>(&engine - engines.data())];
    });
    return choosePreferredEngine(
        engines, need, weights, warm, [&](std::size_t index) { return eligible[index]; },
        [&](std::size_t index) { return expectedCostMs(engines[index], need, weights); });
}

} // namespace

double expectedWaitMs(const EngineView &engine, const EngineWeights &weights) noexcept
{
    return engine.waitingTokens / weights.promptTokensPerMs + weights.runPenaltyMs * engine.runs;
}

double expectedPausesMs(const EngineView &engine, const EngineNeed &need,
                        const EngineWeights &weights, bool there) noexcept
{
    const double uncachedTokens = need.promptTokens - (there ? engine.cachedTokens : 0);
    const double prefillBudget =
        weights.promptTokensPerMs * weights.pauseShare * need.objectives.pauseMs;
    const double excess = std::max(engine.waitingTokens + uncachedTokens - prefillBudget, 0.0);
    return weights.pausePenaltyMs * engine.runs * excess / prefillBudget;
}

double expectedCostMs(const EngineView &engine, const EngineNeed &need,
                      const EngineWeights &weights)
{
    const bool there = hasAdapter(engine, need);
    const double uncachedTokens = need.promptTokens - (there ? engine.cachedTokens : 0);
    return expectedWaitMs(engine, weights) + uncachedTokens / weights.promptTokensPerMs
        + expectedPausesMs(engine, need, weights, there) + (there ? 0 : engine.loadMs);
}

bool hasCapacity(const EngineView &engine, const EngineNeed &need,
                 const EngineWeights &weights) noexcept
{
    if (engine.runs >= engine.slots)
        return false;
    const double wanted = need.promptTokens + need.outputTokens;
    return engine.runs == 0 || engine.heldTokens + wanted <= weights.memoryShare * engine.kvTokens;
}

bool hasAdapter(const EngineView &engine, const EngineNeed &need)
{
    if (need.adapter.empty())
        return true;
    if (engine.resident == nullptr)
        return false;
    // For so few entries, find() compares the keys of the whole map; a bucket has fewer.
    const ResidentVersions &resident = *engine.resident;
    const std::size_t bucket = resident.bucket(need.adapter);
    return std::any_of(resident.begin(bucket), resident.end(bucket), [&need](const auto &held) {
        return held.first == need.adapter && held.second >= need.version;
    });
}

EngineChoice chooseEngine(const std::vector<EngineView> &engines, const EngineNeed &need,
                          const std::vector<std::string> &tried, const EngineWeights &weights)
{
    if (need.shortestObjectiveMs > 0)
        return chooseByForecast(engines, need, tried, weights);
    const auto usable = [&](const EngineView &engine) {
        return engine.usable && engine.hasModel && !isTried(tried, engine.id);
    };
    const auto ready = [&](const EngineView &engine) {
        return usable(engine) && hasCapacity(engine, need, weights) && hasAdapter(engine, need);
    };
    const std::optional<std::size_t> resident = leastCost(engines, need, weights, ready);
    if (need.adapter.empty()) {
        if (resident)
            return {EngineStep::Send, *resident};
    }
    std::vector<bool> loadable(engines.size(), false);
    bool anyUsable = false;
    bool anyLoadable = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const EngineView &engine = engines[index];
        anyUsable = anyUsable || usable(engine);
        loadable[index] = !need.adapter.empty() && usable(engine) && engine.hasHolder
            && engine.idleSlots > 0 && hasCapacity(engine, need, weights)
            && !hasAdapter(engine, need);
        anyLoadable = anyLoadable || loadable[index];
    }
    const std::optional<std::size_t> preferred =
        anyLoadable ? preferredEngine(engines, need, weights, loadable) : std::nullopt;
    if (resident) {
        const double residentCost = expectedCostMs(engines[*resident], need, weights);
        const bool copyPays = preferred
            && residentCost > weights.onTimeShare * need.objectives.firstEventMs
            && engines[*preferred].idleSlots >= idleSlotsForCopy
            && residentCost > expectedCostMs(engines[*preferred], need, weights)
                    + weights.copyExtraLoads * engines[*preferred].fetchMs;
        return copyPays ? EngineChoice{EngineStep::Load, *preferred}
                        : EngineChoice{EngineStep::Send, *resident};
    }
    if (preferred)
        return {EngineStep::Load, *preferred};
    return {anyUsable ? EngineStep::Full : EngineStep::None, 0};
}

} // namespace monsoonbay
