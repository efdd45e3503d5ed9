#include "serving/HolderLease.h"

#include <algorithm>

namespace monsoonbay {

namespace {

Instant endOf(const HolderLease &lease)
{
    return std::max(lease.until, lease.goesOnUntil);
}

/** Until when the mates' words let the lease go on; zero: they do not. */
Instant endByWords(const HolderLease &lease, const std::vector<MateWord> &mates,
                   const LeaseTiming &timing, Instant now)
{
    Instant end = now + timing.wordHolds;
    for (const MateWord &mate : mates) {
        const bool mayHoldNow = !mate.storeAway || mate.generation > lease.generation;
        if (mayHoldNow)
            return Instant{};
        end = std::min(end, mate.heardAt + timing.wordHolds);
    }
    return end;
}

/** Releases older than this no longer shorten anybody's wait. */
constexpr Duration releaseTold = std::chrono::seconds(8);

/** Notes what is given up, as far as this VM ordered it until now. */
void release(HolderLease &lease, const std::map<int, Instant> &keeps, Instant now)
{
    std::erase_if(lease.releases, [now](const Release &old) { return now - old.at > releaseTold; });
    const bool unbroken = now < endOf(lease);
    for (const auto &[partition, from] : lease.orderFrom) {
        const bool ordered = unbroken && now >= from;
        if (ordered && keeps.count(partition) == 0)
            lease.releases.push_back({partition, lease.generation, now});
    }
}

} // namespace

// The former holder of a partition may not know yet that it was dealt anew: it learns that at its
// next renewal, and if that fails it orders on until its lease ends, `ttl` after it sent its last
// successful renewal. Only `apart` after that may another VM order, or the engine would see two
// holders take turns. Which of these happened cannot be told from here, so the longest is waited.
//
// A VM that was restarted is dealt the same partitions in the same generation if it is back before
// its membership ends. A VM notes in the store the generation in which it orders all that it holds;
// if that is still the current one, no partition has moved since, and the former holder of those
// granted now was this VM itself.
void renewLease(HolderLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now)
{
    const bool unbroken = now < endOf(lease);
    std::map<int, Instant> orderFrom;
    std::map<int, std::int64_t> gainedIn;
    for (const int partition : grant.partitions) {
        const auto held = lease.orderFrom.find(partition);
        const bool goesOn = held != lease.orderFrom.end() && unbroken;
        const bool wasOwn = grant.generation > 0 && grant.orderedIn == grant.generation;
        Instant from = now + timing.ttl + timing.wordHolds + timing.apart;
        if (wasOwn)
            from = now;
        if (goesOn)
            from = std::min(held->second, from);
        orderFrom[partition] = from;
        gainedIn[partition] = goesOn ? lease.gainedIn[partition] : grant.generation;
    }
    release(lease, orderFrom, now);
    lease.gainedIn = std::move(gainedIn);
    lease.orderFrom = std::move(orderFrom);
    lease.generation = std::max(lease.generation, grant.generation);
    lease.until = std::max(lease.until, sentAt + timing.ttl - timing.margin);
    lease.goesOnUntil = Instant{};
}

// The store deals a partition to another VM only when that VM renews, and a mate that says it
// cannot reach the store has not. Should it reach the store right after its word, it waits `ttl`,
// `wordHolds` and `apart` before it orders, while this VM stops at the latest `wordHolds` after the
// word. A pause of this VM shows as old words, and the lease is dropped at the first look.
void extendLease(HolderLease &lease, const std::vector<MateWord> &mates, const LeaseTiming &timing,
                 Instant now)
{
    if (now >= endOf(lease)) {
        dropLease(lease, now);
        return;
    }
    lease.goesOnUntil = endByWords(lease, mates, timing, now);
}

void dropLease(HolderLease &lease, Instant now)
{
    release(lease, {}, now);
    lease.gainedIn.clear();
    lease.orderFrom.clear();
    lease.until = Instant{};
    lease.goesOnUntil = Instant{};
}

// The word of a former holder replaces the wait for the end of its lease, not the time that has to
// pass between two holders. It only counts if that VM held the partition right before this one: a
// holder in between would have a generation of its own.
void noteRelease(HolderLease &lease, const Release &release, const LeaseTiming &timing)
{
    const auto held = lease.orderFrom.find(release.partition);
    const auto gained = lease.gainedIn.find(release.partition);
    if (held == lease.orderFrom.end() || gained == lease.gainedIn.end())
        return;
    if (gained->second != release.generation + 1)
        return;
    held->second = std::min(held->second, release.at + timing.apart + timing.margin);
}

bool ordersAll(const HolderLease &lease, Instant now) noexcept
{
    if (lease.orderFrom.empty() || now >= endOf(lease))
        return false;
    return std::all_of(lease.orderFrom.begin(), lease.orderFrom.end(),
                       [now](const auto &held) { return now >= held.second; });
}

bool mayOrder(const HolderLease &lease, int partition, Instant now) noexcept
{
    if (now >= endOf(lease))
        return false;
    const auto held = lease.orderFrom.find(partition);
    return held != lease.orderFrom.end() && now >= held->second;
}

int partitionOf(std::uint64_t targetHash, int partitions) noexcept
{
    return static_cast<int>(targetHash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

} // namespace monsoonbay
