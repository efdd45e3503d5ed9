#include "serving/ForecastChoice.h"

#include <algorithm>

#include <boost/container/small_vector.hpp>

#include "PreferredEngine.h"
#include "serving/EngineForecast.h"

namespace monsoonbay {

namespace {

/** Engines up to which a decision allocates nothing. */
constexpr std::size_t inlineEngines = 256;

/** What an engine may do for the call. */
enum class EngineUse : std::uint8_t {
    None,
    Send, ///< it has the adapter
    Load, ///< the adapter may be loaded there
};

struct EngineFigures
{
    EngineUse use = EngineUse::None;
    bool meets = false; ///< the call's objective
    double forecast = 0; ///< of the first event, ms
    double cost = 0; ///< see expectedCostMs()
    int yielding = 0; ///< of a long prompt to quick calls; engines with less go first
};

using Figures = boost::container::small_vector<EngineFigures, inlineEngines>;

bool isUsable(const EngineView &engine, const std::vector<std::string> &tried)
{
    return engine.usable && engine.hasModel
        && std::find(tried.begin(), tried.end(), engine.id) == tried.end();
}

/** A prompt whose reading takes more than this share of the least objective is a long one. */
constexpr double longShare = 0.25;
/** Long prompts keep off one engine in so many. */
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
 * hasAdapter() for one need at many engines. Maps of the same size keep a key in the same bucket,
 * so it is hashed only once for all of them.
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

/** True if the first goes before the second; what meets the objective before what does not. */
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
 * The engine of this use that costs least among those that meet the objective, or among all if none
 * does. What can have changed since the news decides among engines of one group only.
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

// The order of homes of HomeOrder.h, among the engines that meet the objective with the load if
// there are any. A home or a copy may be that many loads behind the least busy engine only as long
// as this does not make the call late: for an objective of 500 ms one load is half of it.
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
 * Part of the objective up to which the age of the news counts. With news that are older than the
 * objective, each call would otherwise order a copy, also beside an engine that looks idle.
 */
constexpr double newsShare = 0.5;

// A queue can grow by the age of the news before this VM hears of it. Once it is known to make
// calls late, those on their way there are late as well, for a load lasts as long as the objective
// of a short call.
bool mayBeLate(const EngineFigures &stay, const EngineNeed &need)
{
    if (!need.mayCopyEarly)
        return false;
    const double objective = need.objectives.firstEventMs;
    return stay.forecast + std::min(need.stateAgeMs, newsShare * objective) > objective;
}

/** A copy is weighed by cost, as without forecasts: others' pauses count before the call is late.
 */
bool isCostly(const EngineFigures &stay, const EngineNeed &need, const EngineWeights &weights)
{
    return stay.cost > weights.onTimeShare * need.objectives.firstEventMs;
}

/** True if the adapter is to be loaded at `home` although `stay` has it. */
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
