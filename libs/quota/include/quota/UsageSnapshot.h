#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "quota/UnitsByAge.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Part of the usable units of a window that is admitted without a snapshot in the store. */
constexpr double shareWithoutSnapshot = 0.5;

/** How long a snapshot permits more than that share, from the start of the write request. */
constexpr Duration permitLifetime = std::chrono::seconds(2);

/** Stands for all usable units of a window in the percents of snapshots and permits. */
constexpr int allPercent = 100;

/** What a snapshot holds of one workspace. */
struct SnapshotEntry
{
    int percent = allPercent; ///< of the usable units; an upper bound until the next snapshot
    UnitsByAge units{}; ///< admitted by all reachable VMs when the snapshot was written

    auto operator<=>(const SnapshotEntry &) const = default;
};

/** Usage snapshot of one zone in the store, so that it survives a restart of all VMs. */
using UsageSnapshot = std::map<std::string, SnapshotEntry>; ///< by workspace

/** The snapshots that a VM read when it started. */
struct StartupSnapshots
{
    bool wereRead = false;
    Instant readAt{};
    std::vector<UsageSnapshot> zones;

    auto operator<=>(const StartupSnapshots &) const = default;
};

/**
 * Another running VM of the zone read `peerSnapshots` when it started. If that was less than a
 * window ago and earlier than this VM read its own, both may be part of one restart of all VMs.
 * Those of the peer are then of before the restart, and replace the own ones, which may not be.
 */
void adoptSnapshots(StartupSnapshots &own, const StartupSnapshots &peerSnapshots,
                    const QuotaPolicy &policy, Instant now);

/** Lower bound of a snapshot's units that leave the window within `after` of its reader's start. */
std::int64_t minUnitsExpired(const UnitsByAge &units, const QuotaPolicy &policy,
                             Duration after) noexcept;

/**
 * Usage that a VM which started at `startedAt` assumes from before its start: its part of what all
 * VMs may have admitted and what is still in the window.
 */
WorkspaceUse assumedUsageAtStart(const std::string &workspace, const WorkspaceLimit &limit,
                                 const QuotaPolicy &policy, const StartupSnapshots &snapshots,
                                 int knownVms, Instant startedAt, Instant now);

/**
 * Adds to `sum`, for the next snapshot, the usage that assumedUsageAtStart() assumes up to the end
 * of the first window: units that were admitted before the start and leave the window with the
 * start, at the latest.
 */
void addAssumedUnits(UnitsByAge &sum, const std::string &workspace, const WorkspaceLimit &limit,
                     const QuotaPolicy &policy, const StartupSnapshots &snapshots, int knownVms,
                     Instant startedAt, Instant now);

} // namespace monsoonbay
