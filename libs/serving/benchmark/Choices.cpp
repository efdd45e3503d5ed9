// Every call waits for a choice of an engine, on VMs that have a tenth of a core.

#include <algorithm>
#include <chrono>
#include <random>

#include <benchmark/benchmark.h>

#include "serving/EngineChoice.h"

namespace {

using namespace monsoonbay;

constexpr int engineCount = 160;
constexpr int adapterSlots = 7;

/** Calls for adapters most of which are resident somewhere; reports the 99th percentile, us. */
void choose(benchmark::State &state, double shortestObjectiveMs)
{
    std::mt19937 random(3);
    std::vector<ResidentVersions> resident(engineCount);
    std::vector<EngineView> views(engineCount);
    for (std::size_t index = 0; index < views.size(); ++index) {
        for (int slot = 0; slot < adapterSlots; ++slot)
            resident[index]["base/adapter-" + std::to_string(random() % 2000)] = 1;
        EngineView &view = views[index];
        view.id = "engine-" + std::to_string(index);
        view.hash = stableHash(view.id);
        view.slots = 64;
        view.kvTokens = 232000;
        view.resident = &resident[index];
        view.waitingTokens = static_cast<double>(random() % 30000);
        view.runs = static_cast<int>(random() % 12);
        view.hasHolder = true;
        view.fetchMs = 288;
        view.loadMs = view.fetchMs;
        view.idleSlots = 4;
        view.jitterMs = static_cast<double>(random() % 300);
    }
    EngineNeed need;
    need.promptTokens = 826;
    need.objectives.firstEventMs = 500;
    need.shortestObjectiveMs = shortestObjectiveMs;
    const EngineWeights weights;
    std::vector<double> times;
    for (auto _ : state) {
        need.adapter = "base/adapter-" + std::to_string(random() % 2000);
        const auto startedAt = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(chooseEngine(views, need, {}, weights));
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        state.SetIterationTime(elapsed.count());
        times.push_back(elapsed.count() * 1e6);
    }
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), at, times.end());
    state.counters["p99_us"] = *at;
}

BENCHMARK_CAPTURE(choose, alike_objectives, 0)->UseManualTime();
BENCHMARK_CAPTURE(choose, different_objectives, 500)->UseManualTime();

} // namespace
