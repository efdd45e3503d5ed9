#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/PendingLoads.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;
const EngineWeights weights;
const auto expectedQuarterSecond = [](const std::string &) {
    return Duration(250ms);
};

EngineView generateEngine(int index)
{
    EngineView view;
    view.id = "e" + std::to_string(index);
    view.slots = 4;
    view.kvTokens = 100000;
    view.runs = *rc::gen::inRange(0, 6);
    view.waitingTokens = *rc::gen::inRange(0, 20000);
    view.usable = *rc::gen::inRange(0, 4) > 0;
    view.hasModel = *rc::gen::inRange(0, 6) > 0;
    view.incomingMs = *rc::gen::inRange(-200, 400);
    return view;
}

} // namespace

// Guards against a call that waits until its deadline for an adapter that never comes: an engine is
// reported to load it, then the load fails or the lease holder is lost, and no further update
// arrives.
Test(pending_loads, an_overdue_load_is_not_waited_for)
{
    PendingLoads loads;
    updatePendingLoads(loads, {"m/a"}, expectedQuarterSecond, start);
    cr_assert(timeUntilLoaded(loads, "m/a", start + 100ms) == Duration(150ms));
    cr_assert(!timeUntilLoaded(loads, "m/b", start));
    updatePendingLoads(loads, {"m/a", "m/b"}, expectedQuarterSecond, start + 200ms);
    cr_assert(timeUntilLoaded(loads, "m/a", start + 200ms) == Duration(50ms),
              "a known load keeps its time");
    cr_assert(timeUntilLoaded(loads, "m/a", start + 300ms) == Duration(0ms),
              "the report may be late");
    cr_assert(!timeUntilLoaded(loads, "m/a", start + 500ms));
    updatePendingLoads(loads, {}, expectedQuarterSecond, start + 500ms);
    updatePendingLoads(loads, {"m/a"}, expectedQuarterSecond, start + 600ms);
    cr_assert(timeUntilLoaded(loads, "m/a", start + 600ms) == Duration(250ms),
              "a new load of the same adapter");
}

// Guards against waiting at an engine that has no capacity or was already tried, and against
// waiting longer than the limit.
Test(pending_loads, the_soonest_pending_load_within_the_limit_is_chosen)
{
    cr_assert(rc::check("incoming", [] {
        std::vector<EngineView> views;
        for (int index = 0; index < 6; ++index)
            views.push_back(generateEngine(index));
        const double waitLimitMs = *rc::gen::inRange(20, 700);
        const auto chosen = chooseLoadingEngine(views, EngineNeed(), {"e0"}, weights, waitLimitMs);
        double minForecast = 1e9;
        for (const EngineView &view : views) {
            const double wait =
                view.waitingTokens / weights.promptTokensPerMs + weights.runPenaltyMs * view.runs;
            const double forecast = view.incomingMs + wait;
            const bool isCandidate =
                view.id != "e0" && view.usable && view.hasModel && view.runs < 4;
            if (isCandidate && view.incomingMs >= 0 && forecast <= waitLimitMs)
                minForecast = std::min(minForecast, forecast);
        }
        RC_ASSERT(chosen.has_value() == (minForecast <= waitLimitMs));
        if (chosen)
            RC_ASSERT(views[*chosen].incomingMs + expectedWaitMs(views[*chosen], weights)
                      == minForecast);
    }));
}
