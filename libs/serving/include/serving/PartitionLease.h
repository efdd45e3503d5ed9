#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** A partition that a VM ordered until it gave it up. */
struct PartitionRelease
{
    int partition = 0;
    std::int64_t generation = 0; ///< the last in which that VM held it
    Instant at{}; ///< no order of that VM after this

    auto operator<=>(const PartitionRelease &) const = default;
};

/** The last note in the store of who orders a partition. */
struct HolderRecord
{
    std::string vm;
    std::int64_t generation = 0; ///< in which that VM noted it

    auto operator<=>(const HolderRecord &) const = default;
};

/** All such notes of a zone, as one read saw them. */
struct HolderRecords
{
    std::map<int, HolderRecord> byPartition; ///< by partition
    std::uint64_t logEnd = 0; ///< a note is added only if none was added since

    auto operator<=>(const HolderRecords &) const = default;
};

/** A note that a VM is about to add: it orders this partition. */
struct HolderClaim
{
    int partition = 0;
    std::int64_t acquiredIn = 0;
    bool resumes = false; ///< nobody has ordered since this VM did

    auto operator<=>(const HolderClaim &) const = default;
};

/**
 * The right of a VM to give orders to the engines of some partitions.
 *
 * A partition is dealt by the platform's store to one member of a group. Its holder orders from
 * `activeFrom` until the lease ends, by a clock that counts through a pause of the VM. While the
 * store is away the lease goes on as long as all VMs that could have been dealt its partitions say
 * that they cannot reach the store either.
 */
struct PartitionLease
{
    std::int64_t generation = 0; ///< also the fencing token of orders
    Instant until{}; ///< the store deals anew after this
    Instant extendedUntil{}; ///< by the word of the other VMs; may be later than `until`
    std::map<int, Instant> activeFrom; ///< by partition held
    std::map<int, std::int64_t> acquiredIn; ///< generation that brought each partition held
    std::set<int> recordsRead; ///< partitions held whose notes were read since they were gained
    std::set<int> recorded; ///< partitions held for which this VM has noted that it orders them
    std::vector<PartitionRelease> releases; ///< of this VM, to be told to the others

    bool operator==(const PartitionLease &) const = default;
};

/** Times that keep two holders apart. */
struct LeaseTiming
{
    Duration ttl = std::chrono::milliseconds(2000); ///< silence after which the store deals anew
    Duration margin = std::chrono::milliseconds(300); ///< an order is under way this long at most
    Duration handoverGap = std::chrono::milliseconds(3000); ///< between the orders of two holders
    /** The word of another VM counts this long; news come five times as often. */
    Duration peerStateTtl = std::chrono::milliseconds(1000);

    auto operator<=>(const LeaseTiming &) const = default;
};

/** What the store answered when the lease was renewed. */
struct LeaseGrant
{
    std::int64_t generation = 0;
    std::vector<int> partitions;

    auto operator<=>(const LeaseGrant &) const = default;
};

/** What another VM that may be dealt the same partitions said last. */
struct PeerLeaseState
{
    Instant receivedAt{};
    std::int64_t generation = 0; ///< newest that it knows
    bool storeUnreachable = false; ///< its own last renewal failed

    auto operator<=>(const PeerLeaseState &) const = default;
};

/** Takes an answer to a renewal that was sent at `sentAt` and arrived at `now`. */
void renewLease(PartitionLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now);

/** The last renewal failed: lets the lease go on if all mates allow it, or drops it in time. */
void extendLease(PartitionLease &lease, const std::vector<PeerLeaseState> &mates,
                 const LeaseTiming &timing, Instant now);

/** Gives up all rights at once. */
void dropLease(PartitionLease &lease, Instant now);

/** Another VM has told that it gave up a partition: the wait for it may be shorter. */
void applyRelease(PartitionLease &lease, const PartitionRelease &release,
                  const LeaseTiming &timing);

/** True if the notes in the store are to be read, and perhaps one to be added. */
bool isWriteDue(const PartitionLease &lease, Instant now) noexcept;

/** What `vm` may note now; call with notes that were read after the lease was last renewed. */
std::vector<HolderClaim> claimsToRecord(PartitionLease &lease, const HolderRecords &notes,
                                        const std::string &vm, const LeaseTiming &timing,
                                        Instant now);

/** The store has added these notes, and no other since the read that they rest on. */
void confirmClaims(PartitionLease &lease, const std::vector<HolderClaim> &claims, Instant now);

/** True if no partition held has to be waited for any more. */
bool isFullyActive(const PartitionLease &lease, Instant now) noexcept;

/** Ask directly before each order. */
bool mayCommand(const PartitionLease &lease, int partition, Instant now) noexcept;

/** The partition that an engine belongs to. */
int partitionOf(std::uint64_t targetHash, int partitions) noexcept;

} // namespace monsoonbay
