#include "serving/PartitionLease.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

Instant endOf(const PartitionLease &lease)
{
    return std::max(lease.until, lease.extendedUntil);
}

/** Releases older than this no longer shorten the wait of any VM. */
constexpr Duration releaseTtl = std::chrono::seconds(8);

/** An earlier last command shortens no wait: by then the gap between two holders has passed. */
constexpr Duration oldestLastCommand = releaseTtl / 2;

/** After this time the VM has sent no command to a partition that it may command since `from`. */
Instant lastCommandOf(const PartitionLease &lease, int partition, Instant from, Instant now)
{
    const auto sent = lease.lastCommandAt.find(partition);
    const Instant last = sent == lease.lastCommandAt.end() ? from : std::max(from, sent->second);
    return std::max(last, now - oldestLastCommand);
}

/** Adds releases for partitions that are given up, if commands could be sent to them until now. */
void release(PartitionLease &lease, const std::map<int, Instant> &stillHeld, Instant now)
{
    std::erase_if(lease.releases,
                  [now](const PartitionRelease &old) { return now - old.at > releaseTtl; });
    const bool unbroken = now < endOf(lease);
    for (const auto &[partition, from] : lease.activeFrom) {
        const bool ordered = unbroken && now >= from && lease.recorded.count(partition) > 0;
        if (ordered && stillHeld.count(partition) == 0)
            lease.releases.push_back(
                {partition, lease.generation, lastCommandOf(lease, partition, from, now)});
    }
    std::erase_if(lease.lastCommandAt,
                  [&stillHeld](const auto &sent) { return stillHeld.count(sent.first) == 0; });
}

/** Time after which no former holder of a partition sends commands and the gap has passed. */
Duration waitAfterReassignment(const LeaseTiming &timing)
{
    return timing.ttl + timing.peerStateTtl + timing.handoverGap;
}

} // namespace

// The former holder of a partition may not know yet that it was reassigned. It learns that at its
// next renewal; if that fails, it sends commands until its lease ends, `ttl` after it sent its last
// successful renewal. Another VM may send commands only `handoverGap` after that, or the engine
// would get commands of two holders in turn. Which of these happened cannot be known here, so the
// wait is the longest one.
//
// Before its first command in a partition each VM adds a holder record to the store, on the
// condition that no other record was added since it read them. So the last record names the last VM
// that can have sent commands, and a VM that finds its own name there need not wait: see
// claimsToRecord().
//
// In a new era of the store, grants and records of the earlier one are lost, perhaps also some that
// gave a partition to another VM. A VM that could send commands for it until now goes on: another
// one would have had to wait until the lease of this one had ended. It has to add its record anew,
// so that the last record of an era names the last VM that can have sent commands in it. Time that
// this VM has waited in the earlier era counts for nothing: the holder that it waited for may have
// been assigned the partition again.
void renewLease(PartitionLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now)
{
    if (grant.generation.era < lease.generation.era)
        return;
    const bool unbroken = now < endOf(lease);
    const bool sameEra = grant.generation.era == lease.generation.era;
    std::map<int, Instant> activeFrom;
    std::map<int, LeaseGeneration> acquiredIn;
    std::map<int, std::optional<HolderRecord>> lastRecords;
    std::set<int> recorded;
    std::set<int> commanded;
    for (const int partition : grant.partitions) {
        const auto held = lease.activeFrom.find(partition);
        const bool kept = held != lease.activeFrom.end() && unbroken
            && (sameEra || mayCommand(lease, partition, now));
        activeFrom[partition] = kept ? held->second : now + waitAfterReassignment(timing);
        acquiredIn[partition] = kept && sameEra ? lease.acquiredIn[partition] : grant.generation;
        if (kept && lease.commanded.count(partition) > 0)
            commanded.insert(partition);
        if (!kept || !sameEra)
            continue;
        const auto read = lease.lastRecords.find(partition);
        if (read != lease.lastRecords.end())
            lastRecords.insert(*read);
        if (lease.recorded.count(partition) > 0)
            recorded.insert(partition);
    }
    release(lease, activeFrom, now);
    lease.acquiredIn = std::move(acquiredIn);
    lease.activeFrom = std::move(activeFrom);
    lease.lastRecords = std::move(lastRecords);
    lease.recorded = std::move(recorded);
    lease.commanded = std::move(commanded);
    lease.generation = std::max(lease.generation, grant.generation);
    lease.until = std::max(lease.until, sentAt + timing.ttl - timing.margin);
    lease.extendedUntil = Instant{};
}

// The store assigns a partition to another VM only when that VM renews, and a member that reports
// that it cannot reach the store has not renewed. If it reaches the store right after its report,
// it waits for `ttl`, `peerStateTtl` and `handoverGap` before it sends commands, while this VM
// stops at the latest `peerStateTtl` after the report. After a pause of this VM all reports are
// old, so the lease is dropped at the first check.
void extendLease(PartitionLease &lease, const ZoneMembers &members, const LeaseTiming &timing,
                 Instant now)
{
    if (now >= endOf(lease)) {
        dropLease(lease, now);
        return;
    }
    lease.extendedUntil = extensionEnd(lease.generation, members, timing, now);
}

void dropLease(PartitionLease &lease, Instant now)
{
    release(lease, {}, now);
    lease.acquiredIn.clear();
    lease.activeFrom.clear();
    lease.lastRecords.clear();
    lease.recorded.clear();
    lease.commanded.clear();
    lease.until = Instant{};
    lease.extendedUntil = Instant{};
}

// The release by a former holder replaces the wait for the end of its lease, not the gap between
// two holders. It counts only if that VM held the partition right before this one: a holder in
// between would have a generation of its own.
void applyRelease(PartitionLease &lease, const PartitionRelease &release, const LeaseTiming &timing)
{
    const auto held = lease.activeFrom.find(release.partition);
    const auto gained = lease.acquiredIn.find(release.partition);
    if (held == lease.activeFrom.end() || gained == lease.acquiredIn.end())
        return;
    if (!isNextGeneration(release.generation, gained->second))
        return;
    held->second = std::min(held->second, release.at + timing.handoverGap + timing.margin);
}

// Only a VM that could send commands adds a record, so the latest one of this era names the one
// VM that may still do so, cut off from the store. A record of an earlier era doesn't: the VMs that
// held the partition afterwards may be lost with the later records, so it may be any.
Instant commandableFrom(const PartitionLease &lease, int partition, const LeaseGroupView &group,
                        const LeaseTiming &timing)
{
    const Instant from = lease.activeFrom.at(partition);
    const auto read = lease.lastRecords.find(partition);
    if (lease.commanded.count(partition) > 0 || read == lease.lastRecords.end())
        return from;
    const std::optional<HolderRecord> &last = read->second;
    const std::int64_t era = lease.generation.era;
    FormerHolder former = FormerHolder::Unknown;
    if (!last && era == 0)
        former = FormerHolder::Nobody;
    else if (last && last->generation.era == era && !last->vm.empty())
        former = last->vm == group.vm ? FormerHolder::Nobody : FormerHolder::Named;
    const std::string named = last ? last->vm : std::string();
    return std::max(from,
                    newMemberActiveFrom(group.members, former, named, group.joinedAt, timing));
}

bool isWriteDue(const PartitionLease &lease, const LeaseGroupView &group, const LeaseTiming &timing,
                Instant now)
{
    if (now >= endOf(lease))
        return false;
    return std::any_of(lease.activeFrom.begin(), lease.activeFrom.end(), [&](const auto &held) {
        const int partition = held.first;
        const bool isNew = lease.lastRecords.count(partition) == 0;
        const bool isMissing = lease.recorded.count(partition) == 0;
        return isNew
            || (isMissing && now >= held.second
                && now >= commandableFrom(lease, partition, group, timing));
    });
}

// Without the holder records, engines got no commands for 3 to 6 s after a restart, and after each
// reassignment by the store, although the VM that had sent them commands was back and held them
// again. No VM can have sent commands since the last record, as a record is added before the first
// command, and only if no other was. A record of another VM with a later generation than the one in
// which the partition was acquired shows that it was reassigned since: this VM learns that at its
// next renewal, or has been assigned it once more without noticing, and waits again.
//
// That holds within one era of the store. A record of an earlier one, which the store has from its
// copy or has added late, does not show who sent commands since.
std::vector<HolderClaim> claimsToRecord(PartitionLease &lease, const HolderRecords &records,
                                        const LeaseGroupView &group, const LeaseTiming &timing,
                                        Instant now)
{
    std::vector<HolderClaim> claims;
    if (records.era != lease.generation.era)
        return claims;
    for (auto &[partition, from] : lease.activeFrom) {
        const auto record = records.byPartition.find(partition);
        std::optional<HolderRecord> &read = lease.lastRecords[partition];
        read.reset();
        if (record != records.byPartition.end())
            read = record->second;
        if (lease.recorded.count(partition) > 0)
            continue;
        LeaseGeneration &acquiredIn = lease.acquiredIn[partition];
        const HolderRecord last = read.value_or(HolderRecord());
        const bool wasHolder = last.vm == group.vm && last.generation.era == records.era;
        const bool reassigned = !wasHolder && last.generation > acquiredIn;
        if (reassigned && lease.generation > last.generation) {
            acquiredIn = lease.generation;
            lease.commanded.erase(partition);
            from = now + waitAfterReassignment(timing);
            continue;
        }
        const Instant allowedFrom = commandableFrom(lease, partition, group, timing);
        if (reassigned || (!wasHolder && now < allowedFrom))
            continue;
        claims.push_back({partition, acquiredIn, wasHolder, last});
    }
    return claims;
}

// A record that is added in another era than the one whose records were read is based on nothing:
// the log of the new era may by chance have ended at the same place.
void confirmClaims(PartitionLease &lease, const std::vector<HolderClaim> &claims, std::int64_t era,
                   Instant now)
{
    if (now >= endOf(lease))
        return;
    for (const HolderClaim &claim : claims) {
        if (claim.acquiredIn.era != era)
            continue;
        const auto gained = lease.acquiredIn.find(claim.partition);
        // The answer may arrive after the partition was lost and acquired again.
        if (gained == lease.acquiredIn.end() || gained->second != claim.acquiredIn)
            continue;
        lease.recorded.insert(claim.partition);
        lease.commanded.insert(claim.partition);
        Instant &from = lease.activeFrom[claim.partition];
        if (claim.resumes)
            from = std::min(from, now);
    }
}

bool isFullyActive(const PartitionLease &lease, Instant now) noexcept
{
    if (lease.activeFrom.empty() || now >= endOf(lease))
        return false;
    return std::all_of(lease.activeFrom.begin(), lease.activeFrom.end(), [&](const auto &held) {
        return now >= held.second && lease.recorded.count(held.first) > 0;
    });
}

bool mayCommand(const PartitionLease &lease, int partition, Instant now) noexcept
{
    if (now >= endOf(lease))
        return false;
    const auto held = lease.activeFrom.find(partition);
    return held != lease.activeFrom.end() && now >= held->second
        && lease.recorded.count(partition) > 0;
}

Instant recordCommand(PartitionLease &lease, int partition, Instant now)
{
    return std::exchange(lease.lastCommandAt[partition], now);
}

void retractCommand(PartitionLease &lease, int partition, Instant sentAt, Instant before)
{
    const auto last = lease.lastCommandAt.find(partition);
    if (last != lease.lastCommandAt.end() && last->second == sentAt)
        last->second = before;
}

int partitionOf(std::uint64_t targetHash, int partitions) noexcept
{
    return static_cast<int>(targetHash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

} // namespace monsoonbay
