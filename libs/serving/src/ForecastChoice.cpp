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
enum class EngineUse : std::uint8_t {
    None,
    Send, ///< the adapter is resident
    Load, ///< the adapter can be loaded there
};

struct EngineFigures
{
    EngineUse use = EngineUse::None;
    bool meets = false; ///< the forecast meets the call's objective
    double forecast = 0; ///< time to the first event, ms
    double cost = 0; ///< see expectedCostMs()
    int yielding = 0; ///< rank of the engine for a long prompt, by EngineWeights::longPrompts
};

using Figures = boost::container::small_vector<EngineFigures, inlineEngines>;

bool isUsable(const EngineView &engine, const std::vector<std::string> &tried)
{
    return engine.usable && engine.hasModel
        && std::find(tried.begin(), tried.end(), engine.id) == tried.end();
}

/** A prompt is long if its prefill takes more than this share of the shortest objective. */
constexpr double longShare = 0.25;
/** With LongPromptPolicy::ReservedEngines, long prompts avoid one engine in this many. */
constexpr std::uint64_t apartOneIn = 4;

bool isLong(const EngineNeed &need, const EngineWeights &weights)
{
    return need.objectives.firstEventMs > need.shortestObjectiveMs
        && need.promptTokens / weights.promptTokensPerMs > longShare * need.shortestObjectiveMs;
}

int yieldingOf(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights)
{
    if (weights.longPrompts == LongPromptPolicy::Unrestricted || !isLong(need, weights))
        return 0;
    if (weights.longPrompts == LongPromptPolicy::FewestShortRuns)
        return engine.shortObjectiveRuns;
    return engine.hash % apartOneIn == 0 ? 1 : 0;
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

EngineFigures figuresOf(const EngineView &engine, const EngineNeed &need,
                        const EngineWeights &weights, AdapterSearch &search)
{
    EngineFigures figures;
    if (!hasCapacity(engine, need, weights))
        return figures;
    const bool there = search.isAt(engine);
    if (!there && (!engine.hasHolder || engine.idleSlots <= 0))
        return figures;
    figures.use = there ? EngineUse::Send : EngineUse::Load;
    figures.forecast = forecastMs(engine, need, weights, there);
    figures.meets = meetsObjective(figures.forecast, need, weights);
    figures.yielding = yieldingOf(engine, need, weights);
    const bool pauses = need.objectives.pauseMs > 0;
    figures.cost = figures.forecast + (pauses ? expectedPausesMs(engine, need, weights, there) : 0);
    return figures;
}

/** True if `one` is the better choice: by the objective first, then by rank, then by cost. */
bool isBetter(const EngineFigures &one, double oneCost, const EngineFigures &other,
              double otherCost) noexcept
{
    if (one.meets != other.meets)
        return one.meets;
    if (one.meets && one.yielding != other.yielding)
        return one.yielding < other.yielding;
    return oneCost < otherCost;
}

/**
 * The cheapest engine of this use among those that meet the objective, or among all if none does.
 * `jitterMs` decides only between engines that both meet it, or both do not.
 */
template <typename Accepts>
std::optional<std::size_t> leastCost(const std::vector<EngineView> &engines, const Figures &figures,
                                     EngineUse use, Accepts accepts)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (figures[index].use != use || !accepts(engines[index]))
            continue;
        const double cost = figures[index].cost + engines[index].jitterMs;
        if (best && !isBetter(figures[index], cost, figures[*best], bestCost))
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

// The order of PreferredEngine.h, among the engines that meet the objective with the load if there
// are any. A preferred engine or a copy may cost that many load times more than the least busy
// engine only if the call is still on time: one load is half of an objective of 500 ms.
std::optional<std::size_t> firstHome(const std::vector<EngineView> &engines, const Figures &figures,
                                     const EngineNeed &need, const EngineWeights &weights)
{
    bool anyMeets = false;
    for (const EngineFigures &engine : figures)
        anyMeets = anyMeets || (engine.use == EngineUse::Load && engine.meets);
    bool anyOpen = false;
    for (const EngineFigures &engine : figures)
        anyOpen =
            anyOpen || (engine.use == EngineUse::Load && engine.meets && engine.yielding == 0);
    const auto isCandidate = [&](const EngineFigures &engine) {
        return engine.use == EngineUse::Load && (engine.meets || !anyMeets)
            && (weights.longPrompts != LongPromptPolicy::ReservedEngines || !anyOpen
                || engine.yielding == 0);
    };
    auto warm = leastCost(engines, figures, EngineUse::Load,
                          [](const EngineView &engine) { return engine.warm; });
    if (warm && !isCandidate(figures[*warm]))
        warm.reset();
    return choosePreferredEngine(
        engines, need, weights, warm,
        [&](std::size_t index) { return isCandidate(figures[index]); },
        [&](std::size_t index) { return figures[index].cost; });
}

/**
 * Share of the objective that limits the age of state updates in mayBeLate(). If updates are older
 * than the objective, each call would otherwise load a copy, even next to an engine that looks
 * idle.
 */
constexpr double newsShare = 0.5;

// A queue can grow for as long as the state updates are old before this VM learns of it. Once it is
// known to make calls late, a copy is too late for those already on their way there, as a load
// takes as long as the objective of a short call.
bool mayBeLate(const EngineFigures &stay, const EngineNeed &need)
{
    if (!need.mayCopyEarly)
        return false;
    const double objective = need.objectives.firstEventMs;
    return stay.forecast + std::min(need.stateAgeMs, newsShare * objective) > objective;
}

/** A copy is also considered by cost, as without forecasts, so that pauses of other streams count.
 */
bool isCostly(const EngineFigures &stay, const EngineNeed &need, const EngineWeights &weights)
{
    return stay.cost > weights.onTimeShare * need.objectives.firstEventMs;
}

/** True if the adapter should be loaded at `home` although `stay` has it. */
bool copyPays(const EngineFigures &stay, const EngineFigures &home, const EngineView &homeView,
              const EngineNeed &need, const EngineWeights &weights)
{
    if (homeView.idleSlots < idleSlotsForCopy)
        return false;
    if (home.meets && (!stay.meets || mayBeLate(stay, need)))
        return true;
    return isCostly(stay, need, weights)
        && stay.cost > home.cost + weights.copyExtraLoads * homeView.fetchMs;
}

} // namespace

EngineChoice chooseByForecast(const std::vector<EngineView> &engines, const EngineNeed &need,
                              const std::vector<std::string> &tried, const EngineWeights &weights)
{
    Figures figures(engines.size());
    AdapterSearch search(need);
    bool anyUsable = false;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (!isUsable(engines[index], tried))
            continue;
        anyUsable = true;
        figures[index] = figuresOf(engines[index], need, weights, search);
    }
    const auto resident =
        leastCost(engines, figures, EngineUse::Send, [](const EngineView &) { return true; });
    const bool calm = resident && figures[*resident].meets && !mayBeLate(figures[*resident], need)
        && !isCostly(figures[*resident], need, weights);
    if (calm)
        return {EngineStep::Send, *resident};
    const auto home = firstHome(engines, figures, need, weights);
    if (resident) {
        const bool copy =
            home && copyPays(figures[*resident], figures[*home], engines[*home], need, weights);
        return copy ? EngineChoice{EngineStep::Load, *home}
                    : EngineChoice{EngineStep::Send, *resident};
    }
    if (home)
        return {EngineStep::Load, *home};
    return {anyUsable ? EngineStep::Full : EngineStep::None, 0};
}

} // namespace monsoonbay
