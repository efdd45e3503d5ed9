#include "serving/ForecastChoice.h"

#include <algorithm>

#include <boost/container/small_vector.hpp>

#include "PreferredEngine.h"
#include "serving/EngineForecast.h"

namespace monsoonbay {

namespace {

/** Number of engines up to which a decision allocates no memory. */
constexpr std::size_t inlineEngines = 256;

/** What an engine can do for the call. */
enum class EngineOption : std::uint8_t {
    None,
    Send, ///< the adapter is resident
    Load, ///< the adapter can be loaded there
};

struct EngineScore
{
    EngineOption option = EngineOption::None;
    bool meets = false; ///< the forecast meets the call's objective
    double forecast = 0; ///< time to the first event, ms
    double cost = 0; ///< see expectedCostMs()
    int rank = 0; ///< for a long prompt, by EngineWeights::longPrompts; lower is better
};

using EngineScores = boost::container::small_vector<EngineScore, inlineEngines>;

bool isUsable(const EngineView &engine, const std::vector<std::string> &tried)
{
    return engine.usable && engine.hasModel
        && std::find(tried.begin(), tried.end(), engine.id) == tried.end();
}

/** A prompt is long if its prefill takes more than this share of the shortest objective. */
constexpr double longShare = 0.25;
/** With LongPromptPolicy::ReservedEngines, long prompts avoid one engine in this many. */
constexpr std::uint64_t avoidOneIn = 4;

bool isLong(const EngineNeed &need, const EngineWeights &weights)
{
    return need.objectives.firstEventMs > need.shortestObjectiveMs
        && need.promptTokens / weights.promptTokensPerMs > longShare * need.shortestObjectiveMs;
}

int rankOf(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights)
{
    if (weights.longPrompts == LongPromptPolicy::Unrestricted || !isLong(need, weights))
        return 0;
    if (weights.longPrompts == LongPromptPolicy::FewestShortRuns)
        return engine.shortObjectiveRuns;
    return engine.hash % avoidOneIn == 0 ? 1 : 0;
}

/**
 * hasAdapter() for one call at many engines. Maps with the same bucket count keep a key in the same
 * bucket, so the key is hashed only once for all of them.
 */
class AdapterSearch
{
public:
    explicit AdapterSearch(const EngineNeed &need)
        : need(need)
    { }

    bool isAt(const EngineView &engine)
    {
        if (this->need.adapter.empty())
            return true;
        if (engine.resident == nullptr)
            return false;
        const ResidentVersions &resident = *engine.resident;
        if (resident.bucket_count() != this->buckets) {
            this->buckets = resident.bucket_count();
            this->bucket = resident.bucket(this->need.adapter);
        }
        return std::any_of(
            resident.begin(this->bucket), resident.end(this->bucket), [this](const auto &held) {
                return held.first == this->need.adapter && held.second >= this->need.version;
            });
    }

private:
    const EngineNeed &need;
    std::size_t buckets = 0;
    std::size_t bucket = 0;
};

EngineScore scoreOf(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights,
                    AdapterSearch &search)
{
    EngineScore score;
    if (!hasCapacity(engine, need, weights))
        return score;
    const bool there = search.isAt(engine);
    if (!there && (!engine.hasHolder || engine.idleSlots <= 0))
        return score;
    score.option = there ? EngineOption::Send : EngineOption::Load;
    score.forecast = forecastMs(engine, need, weights, there);
    score.meets = meetsObjective(score.forecast, need, weights);
    score.rank = rankOf(engine, need, weights);
    const bool pauses = need.objectives.pauseMs > 0;
    score.cost = score.forecast + (pauses ? expectedPausesMs(engine, need, weights, there) : 0);
    return score;
}

/** True if `one` is the better choice: by the objective first, then by rank, then by cost. */
bool isBetter(const EngineScore &one, double oneCost, const EngineScore &other,
              double otherCost) noexcept
{
    if (one.meets != other.meets)
        return one.meets;
    if (one.meets && one.rank != other.rank)
        return one.rank < other.rank;
    return oneCost < otherCost;
}

/**
 * The cheapest engine with this option among those that meet the objective, or among all if none
 * does. `jitterMs` decides only between engines that both meet it, or both do not.
 */
template <typename Accepts>
std::optional<std::size_t> leastCost(const std::vector<EngineView> &engines,
                                     const EngineScores &scores, EngineOption option,
                                     Accepts accepts)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (scores[index].option != option || !accepts(engines[index]))
            continue;
        const double cost = scores[index].cost + engines[index].jitterMs;
        if (best && !isBetter(scores[index], cost, scores[*best], bestCost))
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

// The order of PreferredEngine.h, among the engines that meet the objective with the load if there
// are any. A preferred engine or a copy may cost that many load times more than the least busy
// engine only if the call is still on time: one load is half of an objective of 500 ms.
std::optional<std::size_t> preferredEngine(const std::vector<EngineView> &engines,
                                           const EngineScores &scores, const EngineNeed &need,
                                           const EngineWeights &weights)
{
    bool anyMeets = false;
    for (const EngineScore &engine : scores)
        anyMeets = anyMeets || (engine.option == EngineOption::Load && engine.meets);
    bool anyOpen = false;
    for (const EngineScore &engine : scores)
        anyOpen =
            anyOpen || (engine.option == EngineOption::Load && engine.meets && engine.rank == 0);
    const auto isCandidate = [&](const EngineScore &engine) {
        return engine.option == EngineOption::Load && (engine.meets || !anyMeets)
            && (weights.longPrompts != LongPromptPolicy::ReservedEngines || !anyOpen
                || engine.rank == 0);
    };
    auto warm = leastCost(engines, scores, EngineOption::Load,
                          [](const EngineView &engine) { return engine.warm; });
    if (warm && !isCandidate(scores[*warm]))
        warm.reset();
    return choosePreferredEngine(
        engines, need, weights, warm, [&](std::size_t index) { return isCandidate(scores[index]); },
        [&](std::size_t index) { return scores[index].cost; });
}

/**
 * Share of the objective that limits the age of state updates in mayBeLate(). If updates are older
 * than the objective, each call would otherwise load a copy, even next to an engine that looks
 * idle.
 */
constexpr double maxStateAgeShare = 0.5;

// A queue can grow for as long as the state updates are old before this VM learns of it. Once it is
// known to make calls late, a copy is too late for those already on their way there, as a load
// takes as long as the objective of a short call.
bool mayBeLate(const EngineScore &current, const EngineNeed &need)
{
    if (!need.mayCopyEarly)
        return false;
    const double objective = need.objectives.firstEventMs;
    return current.forecast + std::min(need.stateAgeMs, maxStateAgeShare * objective) > objective;
}

/** A copy is also considered by cost, as without forecasts, so that pauses of other streams count.
 */
bool isCostly(const EngineScore &current, const EngineNeed &need, const EngineWeights &weights)
{
    return current.cost > weights.onTimeShare * need.objectives.firstEventMs;
}

/** True if the adapter should be loaded at `preferred` although `current` has it. */
bool copyPays(const EngineScore &current, const EngineScore &preferred,
              const EngineView &preferredView, const EngineNeed &need, const EngineWeights &weights)
{
    if (preferredView.idleSlots < idleSlotsForCopy)
        return false;
    if (preferred.meets && (!current.meets || mayBeLate(current, need)))
        return true;
    return isCostly(current, need, weights)
        && current.cost > preferred.cost + weights.copyExtraLoads * preferredView.fetchMs;
}

} // namespace

EngineChoice chooseByForecast(const std::vector<EngineView> &engines, const EngineNeed &need,
                              const std::vector<std::string> &tried, const EngineWeights &weights)
{
    EngineScores scores(engines.size());
    AdapterSearch search(need);
    bool anyUsable = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (!isUsable(engines[index], tried))
            continue;
        anyUsable = true;
        scores[index] = scoreOf(engines[index], need, weights, search);
    }
    const auto resident =
        leastCost(engines, scores, EngineOption::Send, [](const EngineView &) { return true; });
    const bool onTime = resident && scores[*resident].meets && !mayBeLate(scores[*resident], need)
        && !isCostly(scores[*resident], need, weights);
    if (onTime)
        return {EngineStep::Send, *resident};
    const auto preferred = preferredEngine(engines, scores, need, weights);
    if (resident) {
        const bool copy = preferred
            && copyPays(scores[*resident], scores[*preferred], engines[*preferred], need, weights);
        return copy ? EngineChoice{EngineStep::Load, *preferred}
                    : EngineChoice{EngineStep::Send, *resident};
    }
    if (preferred)
        return {EngineStep::Load, *preferred};
    return {anyUsable ? EngineStep::Full : EngineStep::None, 0};
}

} // namespace monsoonbay
