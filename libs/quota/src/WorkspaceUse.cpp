#include "quota/WorkspaceUse.h"

#include <algorithm>
#include <numeric>

namespace monsoonbay {

namespace {

/** A call is small if it costs at most the mean divided by this. */
constexpr double smallDivisor = 8;

constexpr int lastRank = 2;

} // namespace

// The mean covers the calls at all VMs: a VM often has one call of a workspace in a window, or
// none, and would take its own small calls for typical ones.
CallClass classOf(const WorkspaceUse &use, std::int64_t units, int rank) noexcept
{
    const std::int64_t calls = std::accumulate(use.callsInWindowByClass.begin(),
                                               use.callsInWindowByClass.end(), std::int64_t{1});
    const auto cost = static_cast<double>(units);
    const double mean =
        (static_cast<double>(use.requestedInWindow) + cost) / static_cast<double>(calls);
    if (cost * smallDivisor <= mean)
        return CallClass::Small;
    const int counted = std::clamp(rank, 0, lastRank);
    return static_cast<CallClass>(static_cast<int>(CallClass::Rank0) + counted);
}

bool isUnused(const WorkspaceUse &use) noexcept
{
    return use == WorkspaceUse();
}

void addUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept
{
    sum.unitsInWindow += use.unitsInWindow;
    sum.requestedPerSecond += use.requestedPerSecond;
    sum.requestedInWindow += use.requestedInWindow;
    for (std::size_t index = 0; index < callClassCount; ++index) {
        sum.requestedByClass[index] += use.requestedByClass[index];
        sum.callsInWindowByClass[index] += use.callsInWindowByClass[index];
    }
}

void subtractUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept
{
    sum.unitsInWindow -= use.unitsInWindow;
    sum.requestedPerSecond -= use.requestedPerSecond;
    sum.requestedInWindow -= use.requestedInWindow;
    for (std::size_t index = 0; index < callClassCount; ++index) {
        sum.requestedByClass[index] -= use.requestedByClass[index];
        sum.callsInWindowByClass[index] -= use.callsInWindowByClass[index];
    }
}

} // namespace monsoonbay
