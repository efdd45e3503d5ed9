#include "Refusals.h"

#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace monsoonbay {

namespace {

constexpr Duration row = std::chrono::milliseconds(500);

struct Row
{
    int calls = 0;
    int unfitting = 0;
    std::set<std::size_t> vms;
    std::int64_t units = 0;
    double share = 0;
    double window = 0;
    double allowed = 0;
    double inTouch = 0;
};

void addRefusal(Row &sum, const Refusal &refusal)
{
    ++sum.calls;
    sum.unfitting += refusal.fits ? 0 : 1;
    sum.vms.insert(refusal.vm);
    sum.units += refusal.units;
    sum.share += refusal.share;
    sum.window += refusal.window;
    sum.allowed += refusal.allowed;
    sum.inTouch += refusal.reachableVms;
}

} // namespace

void printRefusals(const FleetScenario &scenario, const std::vector<Refusal> &refusals)
{
    std::map<std::pair<Duration, CallClass>, Row> rows;
    for (const Refusal &refusal : refusals)
        addRefusal(rows[{refusal.at / row * row, refusal.callClass}], refusal);
    std::fprintf(stderr, "%d VMs, %.0f units a second, seed %llu\n", scenario.vms,
                 scenario.limit.ratePerSecond, static_cast<unsigned long long>(scenario.seed));
    for (const auto &[key, sum] : rows)
        std::fprintf(stderr,
                     "%5.1f s %s: %d calls at %zu VMs, %lld units, %d did not fit; means: "
                     "share %.2f, used %.2f of %.2f allowed, %.0f VMs reachable\n",
                     toSeconds(key.first), textOf(key.second).data(), sum.calls, sum.vms.size(),
                     static_cast<long long>(sum.units), sum.unfitting, sum.share / sum.calls,
                     sum.window / sum.calls, sum.allowed / sum.calls, sum.inTouch / sum.calls);
}

} // namespace monsoonbay
