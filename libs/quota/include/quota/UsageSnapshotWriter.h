#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "quota/Admission.h"
#include "quota/UsageSnapshot.h"

namespace monsoonbay {

/** Parts of what may be used in a window, in percent, by workspace. */
using UsagePercents = std::map<std::string, int>;

/** What notes in the store permit beyond `shareWithoutSnapshot`. */
struct UsagePermits
{
    UsagePercents percents;
    Instant writtenAt{}; ///< when the request began that the store acknowledged

    auto operator<=>(const UsagePermits &) const = default;
};

/** What a note names of a workspace at least, as permits that it gave may still count. */
struct MinPercent
{
    int percent = 0;
    Instant validUntil{}; ///< no less before this

    auto operator<=>(const MinPercent &) const = default;
};

/** The notes of a zone, at the VM that writes them. */
struct UsageSnapshotWriter
{
    UsagePercents wanted;
    std::map<std::string, MinPercent> minPercents; ///< by workspace
    UsagePercents writing; ///< what the note names that is under way
    bool isWriting = false;
    Instant lastWriteAt{}; ///< of the last request
    Instant notBefore{}; ///< no note before this
    UsagePermits acknowledged;
    bool maybeInStore = false; ///< the zone's note in the store may name workspaces

    auto operator<=>(const UsageSnapshotWriter &) const = default;
};

/** The part that a workspace needs until the next notes are written; 0: it needs none. */
int percentNeeded(const WorkspaceLimit &limit, const QuotaPolicy &policy, const FleetUsage &fleet);

/**
 * This VM, which started at `startedAt`, begins to write for its zone. Permits that another one
 * gave to these workspaces may still count.
 */
void startSnapshotWriter(UsageSnapshotWriter &noting, const std::vector<std::string> &workspaces,
                         const QuotaPolicy &policy, Instant startedAt, Instant now);

void updateWantedPercents(UsageSnapshotWriter &noting, UsagePercents wanted, Instant now);

bool isWriteDue(const UsageSnapshotWriter &noting, Instant now);

/** A note is being written; returns what it has to name. */
UsagePercents beginSnapshot(UsageSnapshotWriter &noting, Instant now);

void endSnapshot(UsageSnapshotWriter &noting, bool acknowledged);

/** What the zone's VMs may be told. */
UsagePermits permitsOf(const UsageSnapshotWriter &noting);

/** The part of what may be used in a window that is let run now. */
double shareAllowed(const UsagePermits &permits, const std::string &workspace, Instant now);

} // namespace monsoonbay
