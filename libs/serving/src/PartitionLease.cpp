#include "serving/PartitionLease.h"

#include <algorithm>

namespace monsoonbay {

namespace {

Instant endOf(const PartitionLease &lease)
{
    return std::max(lease.until, lease.extendedUntil);
}

/** Until when the mates' words let the lease go on; zero: they do not. */
Instant endByWords(const PartitionLease &lease, const std::vector<PeerLeaseState> &mates,
                   const LeaseTiming &timing, Instant now)
{
    Instant end = now + timing.peerStateTtl;
    for (const PeerLeaseState &mate : mates) {
        const bool mayHoldNow = !mate.storeUnreachable || mate.generation > lease.generation;
        if (mayHoldNow)
            return Instant{};
        end = std::min(end, mate.receivedAt + timing.peerStateTtl);
    }
    return end;
}

/** Releases older than this no longer shorten anybody's wait. */
constexpr Duration releaseTold = std::chrono::seconds(8);

/** Notes what is given up, as far as this VM ordered it until now. */
void release(PartitionLease &lease, const std::map<int, Instant> &keeps, Instant now)
{
    std::erase_if(lease.releases,
                  [now](const PartitionRelease &old) { return now - old.at > releaseTold; });
    const bool unbroken = now < endOf(lease);
    for (const auto &[partition, from] : lease.activeFrom) {
        const bool ordered = unbroken && now >= from && lease.recorded.count(partition) > 0;
        if (ordered && keeps.count(partition) == 0)
            lease.releases.push_back({partition, lease.generation, now});
    }
}

/** Until the former holder of a partition, whoever it was, orders no more and time has passed. */
Duration waitAfterDeal(const LeaseTiming &timing)
{
    return timing.ttl + timing.peerStateTtl + timing.handoverGap;
}

} // namespace

// The former holder of a partition may not know yet that it was dealt anew: it learns that at its
// next renewal, and if that fails it orders on until its lease ends, `ttl` after it sent its last
// successful renewal. Only `apart` after that may another VM order, or the engine would see two
// holders take turns. Which of these happened cannot be told from here, so the longest is waited.
//
// Before its first order in a partition each VM adds a note of it to the store, on the condition
// that no other note was added since it read them. So the last note names the last VM that can have
// ordered, and a VM that finds its own name there need not wait: see claimsToRecord().
void renewLease(PartitionLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now)
{
    const bool unbroken = now < endOf(lease);
    std::map<int, Instant> activeFrom;
    std::map<int, std::int64_t> acquiredIn;
    std::set<int> looked;
    std::set<int> noted;
    for (const int partition : grant.partitions) {
        const auto held = lease.activeFrom.find(partition);
        const bool goesOn = held != lease.activeFrom.end() && unbroken;
        activeFrom[partition] = goesOn ? held->second : now + waitAfterDeal(timing);
        acquiredIn[partition] = goesOn ? lease.acquiredIn[partition] : grant.generation;
        if (goesOn && lease.recordsRead.count(partition) > 0)
            looked.insert(partition);
        if (goesOn && lease.recorded.count(partition) > 0)
            noted.insert(partition);
    }
    release(lease, activeFrom, now);
    lease.acquiredIn = std::move(acquiredIn);
    lease.activeFrom = std::move(activeFrom);
    lease.recordsRead = std::move(looked);
    lease.recorded = std::move(noted);
    lease.generation = std::max(lease.generation, grant.generation);
    lease.until = std::max(lease.until, sentAt + timing.ttl - timing.margin);
    lease.extendedUntil = Instant{};
}

// The store deals a partition to another VM only when that VM renews, and a mate that says it
// cannot reach the store has not. Should it reach the store right after its word, it waits `ttl`,
// `peerStateTtl` and `apart` before it orders, while this VM stops at the latest `peerStateTtl`
// after the word. A pause of this VM shows as old words, and the lease is dropped at the first
// look.
void extendLease(PartitionLease &lease, const std::vector<PeerLeaseState> &mates,
                 const LeaseTiming &timing, Instant now)
{
    if (now >= endOf(lease)) {
        dropLease(lease, now);
        return;
    }
    lease.extendedUntil = endByWords(lease, mates, timing, now);
}

void dropLease(PartitionLease &lease, Instant now)
{
    release(lease, {}, now);
    lease.acquiredIn.clear();
    lease.activeFrom.clear();
    lease.recordsRead.clear();
    lease.recorded.clear();
    lease.until = Instant{};
    lease.extendedUntil = Instant{};
}

// The word of a former holder replaces the wait for the end of its lease, not the time that has to
// pass between two holders. It only counts if that VM held the partition right before this one: a
// holder in between would have a generation of its own.
void applyRelease(PartitionLease &lease, const PartitionRelease &release, const LeaseTiming &timing)
{
    const auto held = lease.activeFrom.find(release.partition);
    const auto gained = lease.acquiredIn.find(release.partition);
    if (held == lease.activeFrom.end() || gained == lease.acquiredIn.end())
        return;
    if (gained->second != release.generation + 1)
        return;
    held->second = std::min(held->second, release.at + timing.handoverGap + timing.margin);
}

bool isWriteDue(const PartitionLease &lease, Instant now) noexcept
{
    if (now >= endOf(lease))
        return false;
    return std::any_of(lease.activeFrom.begin(), lease.activeFrom.end(), [&](const auto &held) {
        const bool isNew = lease.recordsRead.count(held.first) == 0;
        return isNew || (lease.recorded.count(held.first) == 0 && now >= held.second);
    });
}

// Symptom without the notes: after a restart, and each time the store deals anew, engines got no
// orders for 3 to 6 s although the VM that had ordered them was back and held them again. Nobody
// can have ordered since the last note, as the note comes before the order and is only added where
// no other was. Another VM's note of a later generation than the one that brought the partition
// shows that it has moved on since: this VM learns so at its next renewal, or has been dealt it
// once more without having noticed, and waits anew.
std::vector<HolderClaim> claimsToRecord(PartitionLease &lease, const HolderRecords &notes,
                                        const std::string &vm, const LeaseTiming &timing,
                                        Instant now)
{
    std::vector<HolderClaim> claims;
    for (auto &[partition, from] : lease.activeFrom) {
        lease.recordsRead.insert(partition);
        if (lease.recorded.count(partition) > 0)
            continue;
        std::int64_t &acquiredIn = lease.acquiredIn[partition];
        const auto note = notes.byPartition.find(partition);
        const bool again = note != notes.byPartition.end() && note->second.vm == vm;
        const bool movedOn =
            !again && note != notes.byPartition.end() && note->second.generation > acquiredIn;
        if (movedOn && lease.generation > note->second.generation) {
            acquiredIn = lease.generation;
            from = now + waitAfterDeal(timing);
            continue;
        }
        if (movedOn || (!again && now < from))
            continue;
        claims.push_back({partition, acquiredIn, again});
    }
    return claims;
}

void confirmClaims(PartitionLease &lease, const std::vector<HolderClaim> &claims, Instant now)
{
    if (now >= endOf(lease))
        return;
    for (const HolderClaim &claim : claims) {
        const auto gained = lease.acquiredIn.find(claim.partition);
        // The answer may come after the partition was lost and gained again.
        if (gained == lease.acquiredIn.end() || gained->second != claim.acquiredIn)
            continue;
        lease.recorded.insert(claim.partition);
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

int partitionOf(std::uint64_t targetHash, int partitions) noexcept
{
    return static_cast<int>(targetHash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

} // namespace monsoonbay
