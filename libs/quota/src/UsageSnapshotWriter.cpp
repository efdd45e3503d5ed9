#include "quota/UsageSnapshotWriter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonbay {

namespace {

constexpr Duration noteSpacing = std::chrono::seconds(1);

/** Added to the usage expected at the end of a permit, as demand may grow meanwhile. */
constexpr int percentSpare = 4;

/** The percents that both allow. */
UsagePercents leastOf(const UsagePercents &first, const UsagePercents &second)
{
    UsagePercents least;
    for (const auto &[workspace, percent] : first) {
        const auto other = second.find(workspace);
        if (other != second.end())
            least[workspace] = std::min(percent, other->second);
    }
    return least;
}

} // namespace

// Calls are throttled once the free units are fewer than the demand during secondsToFill(), so that
// time is added to the spacing of the snapshots. A snapshot that permits only what a workspace is
// about to use leaves more free units after a restart of all VMs than one that permits everything.
int percentNeeded(const WorkspaceLimit &limit, const QuotaPolicy &policy, const FleetUsage &fleet)
{
    const double ahead = toSeconds(noteSpacing) + secondsToFill(policy, fleet);
    const double expected = static_cast<double>(fleet.usage.unitsInWindow)
        + static_cast<double>(fleet.usage.requestedPerSecond) * ahead;
    const double share = expected / (reachableShare(fleet) * usableInWindow(limit, policy));
    if (share < shareWithoutSnapshot)
        return 0;
    const double percent = std::ceil(std::min(share, 1.0) * allPercent);
    return std::min(static_cast<int>(percent) + percentSpare, allPercent);
}

// A snapshot that names less than the valid permits of the previous writer would hide usage from a
// restart. Within a window of its start, which may have been a restart of all VMs, the new writer
// needs snapshots at once, and they name everything. Otherwise the previous writer's last snapshot
// stays until its permits have expired: if all VMs end within a second, each new writer would
// replace a precise snapshot by one that names everything.
void startSnapshotWriter(UsageSnapshotWriter &noting, const std::vector<std::string> &workspaces,
                         const QuotaPolicy &policy, Instant startedAt, Instant now)
{
    noting = UsageSnapshotWriter();
    noting.maybeInStore = true;
    if (now - startedAt >= policy.window) {
        noting.notBefore = now + permitLifetime;
        return;
    }
    for (const std::string &workspace : workspaces)
        noting.minPercents[workspace] = {allPercent, now + permitLifetime};
}

// A permit is valid for `permitLifetime`. Until permits for more than is wanted now have expired,
// snapshots have to name what they allow.
void updateWantedPercents(UsageSnapshotWriter &noting, UsagePercents wanted, Instant now)
{
    std::erase_if(noting.minPercents,
                  [now](const auto &entry) { return entry.second.validUntil <= now; });
    for (const auto &[workspace, percent] : wanted) {
        MinPercent &held = noting.minPercents[workspace];
        if (percent >= held.percent)
            held = {percent, now + permitLifetime};
    }
    noting.wanted = std::move(wanted);
}

bool isWriteDue(const UsageSnapshotWriter &noting, Instant now)
{
    if (noting.isWriting || now < noting.notBefore)
        return false;
    if (noting.lastWriteAt != Instant{} && now - noting.lastWriteAt < noteSpacing)
        return false;
    return !noting.wanted.empty() || (noting.maybeInStore && noting.minPercents.empty());
}

// The new snapshot may be in the store before the acknowledgement arrives, or without one: from now
// on no more is permitted than both snapshots name.
UsagePercents beginSnapshot(UsageSnapshotWriter &noting, Instant now)
{
    noting.writing.clear();
    for (const auto &[workspace, held] : noting.minPercents)
        noting.writing[workspace] = held.percent;
    noting.acknowledged.percents = leastOf(noting.acknowledged.percents, noting.writing);
    noting.isWriting = true;
    noting.lastWriteAt = now;
    noting.maybeInStore = noting.maybeInStore || !noting.writing.empty();
    return noting.writing;
}

void endSnapshot(UsageSnapshotWriter &noting, bool acknowledged)
{
    noting.isWriting = false;
    if (!acknowledged)
        return;
    noting.maybeInStore = !noting.writing.empty();
    noting.acknowledged = {std::move(noting.writing), noting.lastWriteAt};
}

UsagePermits permitsOf(const UsageSnapshotWriter &noting)
{
    return {leastOf(noting.wanted, noting.acknowledged.percents), noting.acknowledged.writtenAt};
}

double shareAllowed(const UsagePermits &permits, const std::string &workspace, Instant now)
{
    const auto named = permits.percents.find(workspace);
    const bool counts = named != permits.percents.end() && now - permits.writtenAt < permitLifetime;
    return counts ? std::max(static_cast<double>(named->second) / allPercent, shareWithoutSnapshot)
                  : shareWithoutSnapshot;
}

} // namespace monsoonbay
