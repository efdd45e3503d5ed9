#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "quota/UnitsByAge.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Part of what may be used in a window that is let run without a note in the store. */
constexpr double shareWithoutSnapshot = 0.5;

/** More than that is let run for as long after the request began that wrote the note. */
constexpr Duration permitLifetime = std::chrono::seconds(2);

/** Notes and permits name parts of what may be used in a window in these. */
constexpr int allPercent = 100;

/** What a note holds of one workspace. */
struct SnapshotEntry
{
    int percent =
        allPercent; ///< of what may be used in a window; use stays below until the next note
    UnitsByAge units{}; ///< let run by all VMs in touch, when the note was written

    auto operator<=>(const SnapshotEntry &) const = default;
};

/** Use that has to survive a restart of all VMs, as one zone keeps it in the store. */
using UsageSnapshot = std::map<std::string, SnapshotEntry>; ///< by workspace

/** What a VM read of the notes when it started. */
struct StartupSnapshots
{
    bool wereRead = false;
    Instant readAt{};
    std::vector<UsageSnapshot> zones;

    auto operator<=>(const StartupSnapshots &) const = default;
};

/**
 * Another VM of the zone, which answers, read `told` when it started. It may have been part of the
 * same restart of all VMs: then its notes are of before that, and those read here may not be.
 */
void adoptSnapshots(StartupSnapshots &own, const StartupSnapshots &told, const QuotaPolicy &policy,
                    Instant now);

/** Units of a note that have left the window `after` its reader started, at least. */
std::int64_t minUnitsExpired(const UnitsByAge &units, const QuotaPolicy &policy,
                             Duration after) noexcept;

/**
 * What a VM that started at `startedAt` counts as used before: its part of what all VMs may have
 * let run, as far as the window still holds it.
 */
WorkspaceUse assumedUsageAtStart(const std::string &workspace, const WorkspaceLimit &limit,
                                 const QuotaPolicy &policy, const StartupSnapshots &notes,
                                 int knownVms, Instant startedAt, Instant now);

/**
 * Adds to `sum`, for a note, what assumedUsageAtStart() counts to the end: units that were let run
 * before the start and leave the window with it, at the latest.
 */
void addAssumedUnits(UnitsByAge &sum, const std::string &workspace, const WorkspaceLimit &limit,
                     const QuotaPolicy &policy, const StartupSnapshots &notes, int knownVms,
                     Instant startedAt, Instant now);

} // namespace monsoonbay
