#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/**
 * The right of a VM to give orders to the engines of some partitions.
 *
 * A partition is dealt by the platform's store to one member of a group. Its holder orders from
 * `orderFrom` until the lease ends, both by a clock that counts through a pause of the VM.
 */
struct HolderLease
{
    std::int64_t generation = 0; ///< also the fencing token of orders
    Instant until{}; ///< no order at or after this
    std::map<int, Instant> orderFrom; ///< by partition held
};

/** Times that keep two holders apart. */
struct LeaseTiming
{
    Duration ttl = std::chrono::milliseconds(2000); ///< silence after which the store deals anew
    Duration margin = std::chrono::milliseconds(300); ///< an order is under way this long at most
    Duration apart = std::chrono::milliseconds(3000); ///< between the orders of two holders

    auto operator<=>(const LeaseTiming &) const = default;
};

/** What the store answered when the lease was renewed. */
struct LeaseGrant
{
    std::int64_t generation = 0;
    std::vector<int> partitions;
};

/** Takes an answer to a renewal that was sent at `sentAt` and arrived at `now`. */
void renewLease(HolderLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now);

/** Gives up all rights at once. */
void dropLease(HolderLease &lease);

/** Ask directly before each order. */
bool mayOrder(const HolderLease &lease, int partition, Instant now) noexcept;

/** The partition that an engine belongs to. */
int partitionOf(std::uint64_t targetHash, int partitions) noexcept;

} // namespace monsoonbay
