#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/LeaseGeneration.h"
#include "serving/LeaseTiming.h"
#include "serving/ZoneMembers.h"

namespace monsoonbay {

/** A partition that a VM gave up after it could send commands to its engines. */
struct PartitionRelease
{
    int partition = 0;
    LeaseGeneration generation; ///< last generation in which that VM held it
    Instant at{}; ///< that VM has sent no command after this, and sends none

    auto operator<=>(const PartitionRelease &) const = default;
};

/** The store's latest record of the VM that sends commands to the engines of a partition. */
struct HolderRecord
{
    std::string vm;
    LeaseGeneration generation; ///< in which that VM added the record

    auto operator<=>(const HolderRecord &) const = default;
};

/** The holder records of all partitions of a zone, from one read. */
struct HolderRecords
{
    std::int64_t era = 0; ///< of the store that was read
    std::map<int, HolderRecord> byPartition; ///< by partition
    std::uint64_t logEnd = 0; ///< log position: a record is added only if none was added since

    auto operator<=>(const HolderRecords &) const = default;
};

/** What a VM knows of the lease group of its zone. */
struct LeaseGroupView
{
    std::string vm; ///< its own name
    Instant joinedAt{}; ///< when it joined, since its start
    ZoneMembers members; ///< the others

    bool operator==(const LeaseGroupView &) const = default;
};

/** A holder record that a VM is about to add for a partition. */
struct HolderClaim
{
    int partition = 0;
    LeaseGeneration acquiredIn;
    bool resumes = false; ///< no other VM has sent commands since this one did
    HolderRecord last; ///< the latest record that was read

    auto operator<=>(const HolderClaim &) const = default;
};

/**
 * The right of a VM to send commands to the engines of some partitions.
 *
 * The platform's store assigns a partition to one member of a group. The holder may send commands
 * from `activeFrom` until the lease ends, by a clock that also counts while the VM is paused. While
 * the store is unreachable, the lease is extended as long as all VMs that could have been assigned
 * its partitions report that they cannot reach the store either.
 *
 * What a VM knows from an earlier era of the store proves nothing about who commands in this one,
 * except that it commands itself.
 */
struct PartitionLease
{
    LeaseGeneration generation; ///< its number is also the fencing token of commands
    Instant until{}; ///< the store may reassign the partitions after this
    Instant extendedUntil{}; ///< by the reports of the other VMs; may be later than `until`
    std::map<int, Instant> activeFrom; ///< when commands may begin, by held partition
    std::map<int, LeaseGeneration> acquiredIn; ///< generation of acquisition, by held partition
    /** Latest holder records of held partitions, as read since acquired; nullopt: there is none. */
    std::map<int, std::optional<HolderRecord>> lastRecords;
    std::set<int> recorded; ///< held partitions for which this VM has added its record, in this era
    std::set<int> commanded; ///< held partitions that it could send commands to, in any era
    std::map<int, Instant> lastCommandAt; ///< of this VM, by held partition
    std::vector<PartitionRelease> releases; ///< of this VM, to be reported to the others

    bool operator==(const PartitionLease &) const = default;
};

/** The store's answer to a renewal of the lease. */
struct LeaseGrant
{
    LeaseGeneration generation;
    std::vector<int> partitions;

    auto operator<=>(const LeaseGrant &) const = default;
};

/**
 * Applies the answer to a renewal that was sent at `sentAt` and answered at `now`. An answer of an
 * earlier era than the lease is ignored.
 */
void renewLease(PartitionLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now);

/** After a failed renewal: extends the lease if all members allow it, and drops it once it ended.
 */
void extendLease(PartitionLease &lease, const ZoneMembers &members, const LeaseTiming &timing,
                 Instant now);

/** Gives up all partitions at once. */
void dropLease(PartitionLease &lease, Instant now);

/** Another VM reports that it gave up a partition, which may shorten the wait for it. */
void applyRelease(PartitionLease &lease, const PartitionRelease &release,
                  const LeaseTiming &timing);

/**
 * From when this VM may record itself as holder of a partition whose records it has read, and send
 * commands to its engines.
 */
Instant commandableFrom(const PartitionLease &lease, int partition, const LeaseGroupView &group,
                        const LeaseTiming &timing);

/** True if the holder records in the store have to be read, and perhaps one added. */
bool isWriteDue(const PartitionLease &lease, const LeaseGroupView &group, const LeaseTiming &timing,
                Instant now);

/**
 * The records that this VM may add now, by records that were read after the lease was last renewed.
 * Restarts the wait for a partition that was reassigned in between.
 */
std::vector<HolderClaim> claimsToRecord(PartitionLease &lease, const HolderRecords &records,
                                        const LeaseGroupView &group, const LeaseTiming &timing,
                                        Instant now);

/** The store has added these records, in `era`, and no other since the read they are based on. */
void confirmClaims(PartitionLease &lease, const std::vector<HolderClaim> &claims, std::int64_t era,
                   Instant now);

/** True if this VM holds a partition and may send commands for every one that it holds. */
bool isFullyActive(const PartitionLease &lease, Instant now) noexcept;

/** True if this VM may send a command to the partition now; check directly before each command. */
bool mayCommand(const PartitionLease &lease, int partition, Instant now) noexcept;

/**
 * This VM is about to send a command to an engine of the partition. Returns when it sent the one
 * before; zero: none in this lease.
 */
Instant recordCommand(PartitionLease &lease, int partition, Instant now);

/** The command recorded at `sentAt` was not sent; `before` is what recordCommand() returned. */
void retractCommand(PartitionLease &lease, int partition, Instant sentAt, Instant before);

/** The partition of an engine. */
int partitionOf(std::uint64_t targetHash, int partitions) noexcept;

} // namespace monsoonbay
