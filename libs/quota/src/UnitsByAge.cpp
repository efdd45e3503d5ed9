#include "quota/UnitsByAge.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr auto ages = static_cast<std::int64_t>(ageBuckets);
constexpr std::int64_t partsPerAge = static_cast<std::int64_t>(UsageWindow::parts) / ages;
static_assert(partsPerAge * ages == static_cast<std::int64_t>(UsageWindow::parts));

} // namespace

UnitsByAge unitsByAge(UsageWindow &usageWindow, const QuotaPolicy &policy, Instant now)
{
    advance(usageWindow.used, policy.window, now);
    UnitsByAge units{};
    for (std::int64_t age = 0; age < ages; ++age)
        units[static_cast<std::size_t>(age)] =
            sumOf(usageWindow.used, age * partsPerAge, (age + 1) * partsPerAge - 1);
    return units;
}

void addUnits(UnitsByAge &sum, const UnitsByAge &units, const QuotaPolicy &policy, Duration before)
{
    const std::int64_t older = std::max(before, Duration::zero()) / (policy.window / ages);
    for (std::int64_t age = older; age < ages; ++age)
        sum[static_cast<std::size_t>(age)] += units[static_cast<std::size_t>(age - older)];
}

void addUnits(WorkspaceUnits &sums, const WorkspaceUnits &units, const QuotaPolicy &policy,
              Duration before)
{
    for (const auto &[workspace, reported] : units)
        addUnits(sums[workspace], reported, policy, before);
}

} // namespace monsoonbay
