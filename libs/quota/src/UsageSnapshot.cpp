#include "quota/UsageSnapshot.h"

#include <algorithm>
#include <limits>

#include "quota/Admission.h"

namespace monsoonbay {

namespace {

constexpr auto ages = static_cast<std::int64_t>(ageBuckets);

/**
 * Units of age `i` were let run i - 0.5 to i + 3 parts before the note was written: the newest part
 * of a record may have just begun, and what is told by way of two relays is rounded down twice.
 */
constexpr std::int64_t widthOfAge = 3;

// Each note holds what all VMs in touch let run, and at least one that permitted more than
// `shareWithoutSnapshot` is fresh; which one is not known. Taken together, the units of an old note
// and of a fresh one would be counted as leaving although the old ones had left before the start.
double mostUsed(const std::string &workspace, const WorkspaceLimit &limit,
                const QuotaPolicy &policy, const std::vector<UsageSnapshot> &zones, Duration after)
{
    const double usable = usableInWindow(limit, policy);
    double share = shareWithoutSnapshot;
    std::int64_t left = std::numeric_limits<std::int64_t>::max();
    for (const UsageSnapshot &note : zones) {
        const auto noted = note.find(workspace);
        if (noted == note.end())
            continue;
        share = std::max(share, static_cast<double>(noted->second.percent) / allPercent);
        left = std::min(left, minUnitsExpired(noted->second.units, policy, after));
    }
    return std::max(shareWithoutSnapshot * usable, share * usable - static_cast<double>(left));
}

} // namespace

// As the other VM is up, not all VMs have ended since it read them: what was used since then is
// known to VMs that are up.
void adoptSnapshots(StartupSnapshots &own, const StartupSnapshots &told, const QuotaPolicy &policy,
                    Instant now)
{
    const bool isOfStart = told.wereRead && now - told.readAt < policy.window;
    if (isOfStart && (!own.wereRead || told.readAt < own.readAt))
        own = told;
}

// The reader does not know how long before its start the note was written. After `permitLifetime`
// only what `shareWithoutSnapshot` covers was let run, so that no longer time has to be looked at.
// Within it the sum is least just after a part of the note's time has passed, when one more age may
// have left before the start.
std::int64_t minUnitsExpired(const UnitsByAge &units, const QuotaPolicy &policy,
                             Duration after) noexcept
{
    const Duration part = policy.window / ages;
    const std::int64_t halves = 2 * after / part;
    const std::int64_t starts = (permitLifetime + part - Duration(1)) / part;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (std::int64_t start = 0; start < starts; ++start) {
        const std::int64_t oldest = ages - widthOfAge - 1 - start;
        const std::int64_t twiceYoungest = 2 * ages + 1 - 2 * start - halves;
        std::int64_t left = 0;
        for (std::int64_t age = oldest; age >= 0 && 2 * age >= twiceYoungest; --age)
            left += units[static_cast<std::size_t>(age)];
        least = std::min(least, left);
    }
    return least;
}

WorkspaceUse assumedUsageAtStart(const std::string &workspace, const WorkspaceLimit &limit,
                                 const QuotaPolicy &policy, const StartupSnapshots &notes,
                                 int knownVms, Instant startedAt, Instant now)
{
    WorkspaceUse use;
    if (now - startedAt >= policy.window)
        return use;
    // A note that was read late may have been written after the start.
    const double used = notes.wereRead
        ? mostUsed(workspace, limit, policy, notes.zones, now - notes.readAt)
        : usableInWindow(limit, policy);
    use.unitsInWindow = static_cast<std::int64_t>(used / std::max(knownVms, 1));
    return use;
}

// A note that did not tell when this leaves would have the next start count it for a whole window
// more. What has left before the window is over may have been used again since, so it is not told.
void addAssumedUnits(UnitsByAge &sum, const std::string &workspace, const WorkspaceLimit &limit,
                     const QuotaPolicy &policy, const StartupSnapshots &notes, int knownVms,
                     Instant startedAt, Instant now)
{
    if (now < startedAt || now - startedAt >= policy.window)
        return;
    const WorkspaceUse last =
        assumedUsageAtStart(workspace, limit, policy, notes, knownVms, startedAt,
                            startedAt + policy.window - Duration(1));
    sum[static_cast<std::size_t>((now - startedAt) / (policy.window / ages))] += last.unitsInWindow;
}

} // namespace monsoonbay
