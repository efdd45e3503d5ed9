#include "quota/UsageSnapshotWriter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonbay {

namespace {

constexpr Duration snapshotInterval = std::chrono::seconds(1);

/** Added to the usage expected at the end of a permit, as demand may grow meanwhile. */
constexpr int percentMargin = 4;

/** The percents that both allow. */
UsagePercents minimumOf(const UsagePercents &first, const UsagePercents &second)
{
    UsagePercents minimum;
    for (const auto &[workspace, percent] : first) {
        const auto other = second.find(workspace);
        if (other != second.end())
            minimum[workspace] = std::min(percent, other->second);
    }
    return minimum;
}

} // namespace

// Calls are throttled once the free units are fewer than the demand during secondsToFill(), so that
// time is added to the spacing of the snapshots. A snapshot that permits only what a workspace is
// about to use leaves more free units after a restart of all VMs than one that permits everything.
int percentNeeded(const WorkspaceLimit &limit, const QuotaPolicy &policy, const FleetUsage &fleet)
{
    const double horizon = toSeconds(snapshotInterval) + secondsToFill(policy, fleet);
    const double expected = static_cast<double>(fleet.usage.unitsInWindow)
        + static_cast<double>(fleet.usage.requestedPerSecond) * horizon;
    const double share = expected / (reachableShare(fleet) * usableInWindow(limit, policy));
    if (share < shareWithoutSnapshot)
        return 0;
    const double percent = std::ceil(std::min(share, 1.0) * allPercent);
    return std::min(static_cast<int>(percent) + percentMargin, allPercent);
}

// A snapshot that names less than the valid permits of the previous writer would hide usage from a
// restart. Within a window of its start, which may have been a restart of all VMs, the new writer
// needs snapshots at once, and they name everything. Otherwise the previous writer's last snapshot
// stays until its permits have expired: if all VMs end within a second, each new writer would
// replace a precise snapshot by one that names everything.
void startSnapshotWriter(UsageSnapshotWriter &writer, const std::vector<std::string> &workspaces,
                         const QuotaPolicy &policy, Instant startedAt, Instant now)
{
    writer = UsageSnapshotWriter();
    writer.maybeInStore = true;
    if (now - startedAt >= policy.window) {
        writer.notBefore = now + permitLifetime;
        return;
    }
    for (const std::string &workspace : workspaces)
        writer.minPercents[workspace] = {allPercent, now + permitLifetime};
}

// A permit is valid for `permitLifetime`. Until permits for more than is wanted now have expired,
// snapshots have to name what they allow.
void updateWantedPercents(UsageSnapshotWriter &writer, UsagePercents wanted, Instant now)
{
    std::erase_if(writer.minPercents,
                  [now](const auto &entry) { return entry.second.validUntil <= now; });
    for (const auto &[workspace, percent] : wanted) {
        MinPercent &held = writer.minPercents[workspace];
        if (percent >= held.percent)
            held = {percent, now + permitLifetime};
    }
    writer.wanted = std::move(wanted);
}

bool isWriteDue(const UsageSnapshotWriter &writer, Instant now)
{
    if (writer.isWriting || now < writer.notBefore)
        return false;
    if (writer.lastWriteAt != Instant{} && now - writer.lastWriteAt < snapshotInterval)
        return false;
    return !writer.wanted.empty() || (writer.maybeInStore && writer.minPercents.empty());
}

// The new snapshot may be in the store before the acknowledgement arrives, or without one: from now
// on no more is permitted than both snapshots name.
UsagePercents beginSnapshot(UsageSnapshotWriter &writer, Instant now)
{
    writer.writing.clear();
    for (const auto &[workspace, held] : writer.minPercents)
        writer.writing[workspace] = held.percent;
    writer.acknowledged.percents = minimumOf(writer.acknowledged.percents, writer.writing);
    writer.isWriting = true;
    writer.lastWriteAt = now;
    writer.maybeInStore = writer.maybeInStore || !writer.writing.empty();
    return writer.writing;
}

void endSnapshot(UsageSnapshotWriter &writer, bool acknowledged)
{
    writer.isWriting = false;
    if (!acknowledged)
        return;
    writer.maybeInStore = !writer.writing.empty();
    writer.acknowledged = {std::move(writer.writing), writer.lastWriteAt};
}

UsagePermits permitsOf(const UsageSnapshotWriter &writer)
{
    return {minimumOf(writer.wanted, writer.acknowledged.percents), writer.acknowledged.writtenAt};
}

double shareAllowed(const UsagePermits &permits, const std::string &workspace, Instant now)
{
    const auto named = permits.percents.find(workspace);
    const bool counts = named != permits.percents.end() && now - permits.writtenAt < permitLifetime;
    return counts ? std::max(static_cast<double>(named->second) / allPercent, shareWithoutSnapshot)
                  : shareWithoutSnapshot;
}

} // namespace monsoonbay
