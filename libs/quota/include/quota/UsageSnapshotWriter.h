#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "quota/Admission.h"
#include "quota/UsageSnapshot.h"

namespace monsoonbay {

/** Parts of the usable units of a window, in percent, by workspace. */
using UsagePercents = std::map<std::string, int>;

/** What the snapshots in the store permit beyond `shareWithoutSnapshot`. */
struct UsagePermits
{
    UsagePercents percents;
    Instant writtenAt{}; ///< when the request began that the store acknowledged

    auto operator<=>(const UsagePermits &) const = default;
};

/** Lower bound of a workspace's percent in a snapshot while earlier permits are still valid. */
struct MinPercent
{
    int percent = 0;
    Instant validUntil{}; ///< the bound holds until then

    auto operator<=>(const MinPercent &) const = default;
};

/** State of the VM that writes the usage snapshots of its zone. */
struct UsageSnapshotWriter
{
    UsagePercents wanted;
    std::map<std::string, MinPercent> minPercents; ///< by workspace
    UsagePercents writing; ///< percents of the snapshot that is being written
    bool isWriting = false;
    Instant lastWriteAt{}; ///< when the last write began
    Instant notBefore{}; ///< no snapshot is written before this
    UsagePermits acknowledged;
    bool maybeInStore = false; ///< the zone's snapshot in the store may name workspaces

    auto operator<=>(const UsageSnapshotWriter &) const = default;
};

/** The percent that a workspace needs until the next snapshot is written; 0: it needs none. */
int percentNeeded(const WorkspaceLimit &limit, const QuotaPolicy &policy, const FleetUsage &fleet);

/**
 * This VM, which started at `startedAt`, takes over the snapshots of its zone. Permits that the
 * previous writer gave to `workspaces` may still be valid.
 */
void startSnapshotWriter(UsageSnapshotWriter &writer, const std::vector<std::string> &workspaces,
                         const QuotaPolicy &policy, Instant startedAt, Instant now);

/** Sets the percents that the workspaces need now. */
void updateWantedPercents(UsageSnapshotWriter &writer, UsagePercents wanted, Instant now);

/** True if a snapshot should be written now. */
bool isWriteDue(const UsageSnapshotWriter &writer, Instant now);

/** Begins to write a snapshot; returns the percents that it has to name. */
UsagePercents beginSnapshot(UsageSnapshotWriter &writer, Instant now);

/** Ends the write; `acknowledged`: the store has confirmed it. */
void endSnapshot(UsageSnapshotWriter &writer, bool acknowledged);

/** The permits to report to the zone's VMs. */
UsagePermits permitsOf(const UsageSnapshotWriter &writer);

/** The part of the usable units of a window that is admitted at `now`. */
double shareAllowed(const UsagePermits &permits, const std::string &workspace, Instant now);

} // namespace monsoonbay
