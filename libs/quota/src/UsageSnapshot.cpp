#include "quota/UsageSnapshot.h"

#include <algorithm>
#include <limits>

#include "quota/Admission.h"

namespace monsoonbay {

namespace {

constexpr auto ages = static_cast<std::int64_t>(ageBuckets);

/**
 * Units of age `i` were admitted i - 0.5 to i + 3 parts before the snapshot was written: the newest
 * part may have just begun, and ages reported through two relays are rounded down twice.
 */
constexpr std::int64_t ageUncertainty = 3;

// The maximum usage before the start that is still in the window. Each snapshot holds what all
// reachable VMs admitted, and at least one that permitted more than `shareWithoutSnapshot` was
// fresh at the start; which one is unknown. If the units of all zones' snapshots were added, units
// of an old one would count as expiring after the start although they had expired before it.
double maxUsage(const std::string &workspace, const WorkspaceLimit &limit,
                const QuotaPolicy &policy, const std::vector<UsageSnapshot> &zones, Duration after)
{
    const double usable = usableInWindow(limit, policy);
    double share = shareWithoutSnapshot;
    std::int64_t expired = std::numeric_limits<std::int64_t>::max();
    for (const UsageSnapshot &snapshot : zones) {
        const auto entry = snapshot.find(workspace);
        if (entry == snapshot.end())
            continue;
        share = std::max(share, static_cast<double>(entry->second.percent) / allPercent);
        expired = std::min(expired, minUnitsExpired(entry->second.units, policy, after));
    }
    return std::max(shareWithoutSnapshot * usable, share * usable - static_cast<double>(expired));
}

} // namespace

// As the other VM is running, not all VMs have ended since it read its snapshots: what was used
// since then is known to running VMs.
void adoptSnapshots(StartupSnapshots &own, const StartupSnapshots &peerSnapshots,
                    const QuotaPolicy &policy, Instant now)
{
    const bool isOfStart = peerSnapshots.wereRead && now - peerSnapshots.readAt < policy.window;
    if (isOfStart && (!own.wereRead || peerSnapshots.readAt < own.readAt))
        own = peerSnapshots;
}

// The reader does not know how long before its start the snapshot was written. Beyond
// `permitLifetime` only what `shareWithoutSnapshot` covers was admitted, so longer times need not
// be examined. Within it, the sum is smallest just after another part of the window has passed
// since the write, when one more age may have expired before the start.
std::int64_t minUnitsExpired(const UnitsByAge &units, const QuotaPolicy &policy,
                             Duration after) noexcept
{
    const Duration part = policy.window / ages;
    const std::int64_t halves = 2 * after / part;
    const std::int64_t starts = (permitLifetime + part - Duration(1)) / part;
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (std::int64_t start = 0; start < starts; ++start) {
        const std::int64_t oldest = ages - ageUncertainty - 1 - start;
        const std::int64_t twiceYoungest = 2 * ages + 1 - 2 * start - halves;
        std::int64_t expired = 0;
        for (std::int64_t age = oldest; age >= 0 && 2 * age >= twiceYoungest; --age)
            expired += units[static_cast<std::size_t>(age)];
        lowest = std::min(lowest, expired);
    }
    return lowest;
}

WorkspaceUse assumedUsageAtStart(const std::string &workspace, const WorkspaceLimit &limit,
                                 const QuotaPolicy &policy, const StartupSnapshots &snapshots,
                                 int knownVms, Instant startedAt, Instant now)
{
    WorkspaceUse use;
    if (now - startedAt >= policy.window)
        return use;
    // A snapshot that was read late may have been written after the start.
    const double used = snapshots.wereRead
        ? maxUsage(workspace, limit, policy, snapshots.zones, now - snapshots.readAt)
        : usableInWindow(limit, policy);
    use.unitsInWindow = static_cast<std::int64_t>(used / std::max(knownVms, 1));
    return use;
}

// Without these units in the snapshot, the next start would assume the same usage for another whole
// window. Assumed units that expire before the end of the first window are left out, as they may
// have been used again since.
void addAssumedUnits(UnitsByAge &sum, const std::string &workspace, const WorkspaceLimit &limit,
                     const QuotaPolicy &policy, const StartupSnapshots &snapshots, int knownVms,
                     Instant startedAt, Instant now)
{
    if (now < startedAt || now - startedAt >= policy.window)
        return;
    const WorkspaceUse last =
        assumedUsageAtStart(workspace, limit, policy, snapshots, knownVms, startedAt,
                            startedAt + policy.window - Duration(1));
    sum[static_cast<std::size_t>((now - startedAt) / (policy.window / ages))] += last.unitsInWindow;
}

} // namespace monsoonbay
