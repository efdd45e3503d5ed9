#include "serving/PendingLoads.h"

#include <algorithm>
#include <chrono>

namespace monsoonbay {

namespace {

/** The report that a load is done is about as late as the one that it had started. */
constexpr Duration reportDelay = std::chrono::milliseconds(250);

} // namespace

void updatePendingLoads(PendingLoads &loads, const std::set<std::string> &adapters,
                        const std::function<Duration(const std::string &)> &expected, Instant now)
{
    std::erase_if(loads.doneAt,
                  [&adapters](const auto &load) { return adapters.count(load.first) == 0; });
    for (const std::string &adapter : adapters) {
        if (loads.doneAt.count(adapter) == 0)
            loads.doneAt[adapter] = now + expected(adapter);
    }
}

// A load that fails, or whose lease holder is lost, stays listed until the next update about the
// engine. Calls wait for it no longer than it was expected to take.
std::optional<Duration> timeUntilLoaded(const PendingLoads &loads, const std::string &adapter,
                                        Instant now)
{
    const auto load = loads.doneAt.find(adapter);
    if (load == loads.doneAt.end() || now >= load->second + reportDelay)
        return std::nullopt;
    return std::max(load->second - now, Duration::zero());
}

std::optional<std::size_t> chooseLoadingEngine(const std::vector<EngineView> &engines,
                                               const EngineNeed &need,
                                               const std::vector<std::string> &tried,
                                               const EngineWeights &weights, double waitLimitMs)
{
    std::optional<std::size_t> best;
    double bestMs = waitLimitMs;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const EngineView &engine = engines[index];
        const bool wasTried = std::find(tried.begin(), tried.end(), engine.id) != tried.end();
        if (engine.incomingMs < 0 || !engine.usable || !engine.hasModel || wasTried)
            continue;
        const double forecast = engine.incomingMs + expectedWaitMs(engine, weights);
        if (forecast > bestMs || !hasCapacity(engine, need, weights))
            continue;
        best = index;
        bestMs = forecast;
    }
    return best;
}

} // namespace monsoonbay
