// Cost of an admission decision, which every call takes, on a VM with a tenth of a core.

#include <array>

#include <benchmark/benchmark.h>

#include "quota/Admission.h"

namespace {

using namespace monsoonbay;

void admit(benchmark::State &state)
{
    WorkspaceLimit limit;
    limit.unit = QuotaUnit::Tokens;
    limit.ratePerSecond = 887000;
    limit.burst = 887000;
    const QuotaPolicy policy;
    UsageWindow record;
    Instant now = Instant{} + std::chrono::seconds(1000);
    for (auto _ : state) {
        now += std::chrono::milliseconds(10);
        recordRequested(record, policy, 9190, now);
        FleetUsage fleet;
        fleet.usage = usageOf(record, policy, now);
        const QuotaDecision decision = admitCall(record, limit, policy, fleet, 9190, now);
        if (decision.admitted)
            recordUsage(record, policy, 9190, now);
        benchmark::DoNotOptimize(decision);
    }
}

BENCHMARK(admit);

/** With everything that a call of a workspace with several classes needs. */
void admitByClass(benchmark::State &state)
{
    WorkspaceLimit limit;
    limit.unit = QuotaUnit::Tokens;
    limit.ratePerSecond = 20000;
    limit.burst = 20000;
    const QuotaPolicy policy;
    constexpr std::array<std::int64_t, 4> sizes{9190, 200, 826, 200};
    UsageWindow record;
    Instant now = Instant{} + std::chrono::seconds(1000);
    std::size_t call = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(10);
        const std::int64_t units = sizes[++call % sizes.size()];
        const int rank = units == 826 ? 0 : 1;
        const CallClass callClass = classOf(usageOf(record, policy, now), units, rank);
        recordRequested(record, policy, units, now, callClass);
        FleetUsage fleet;
        fleet.usage = usageOf(record, policy, now);
        const QuotaDecision decision =
            admitCall(record, limit, policy, fleet, units, now, callClass);
        if (decision.admitted)
            recordUsage(record, policy, units, now);
        benchmark::DoNotOptimize(decision);
    }
}

BENCHMARK(admitByClass);

} // namespace
