// A decision is on the way of every call of a VM with a tenth of a core.

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
    SpendRecord record;
    Instant now = Instant{} + std::chrono::seconds(1000);
    for (auto _ : state) {
        now += std::chrono::milliseconds(10);
        noteAsked(record, policy, 9190, now);
        FleetUse fleet;
        fleet.use = useOf(record, policy, now);
        const QuotaVerdict verdict = admitCall(record, limit, policy, fleet, 9190, now);
        if (verdict.admitted)
            noteSpent(record, policy, 9190, now);
        benchmark::DoNotOptimize(verdict);
    }
}

BENCHMARK(admit);

} // namespace
