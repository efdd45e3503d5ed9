#include "serving/HolderLease.h"

#include <algorithm>

namespace monsoonbay {

// The former holder of a partition may not know yet that it was dealt anew: it learns that at its
// next renewal, and if that fails it orders on until its lease ends, `ttl` after it sent its last
// successful renewal. Only `apart` after that may another VM order, or the engine would see two
// holders take turns. Which of these happened cannot be told from here, so the longest is waited.
void renewLease(HolderLease &lease, const LeaseGrant &grant, const LeaseTiming &timing,
                Instant sentAt, Instant now)
{
    std::map<int, Instant> orderFrom;
    const bool unbroken = now < lease.until;
    for (const int partition : grant.partitions) {
        const auto held = lease.orderFrom.find(partition);
        const bool goesOn = held != lease.orderFrom.end() && unbroken;
        orderFrom[partition] = goesOn ? held->second : now + timing.ttl + timing.apart;
    }
    lease.orderFrom = std::move(orderFrom);
    lease.generation = std::max(lease.generation, grant.generation);
    lease.until = std::max(lease.until, sentAt + timing.ttl - timing.margin);
}

void dropLease(HolderLease &lease)
{
    lease.orderFrom.clear();
    lease.until = Instant{};
}

bool mayOrder(const HolderLease &lease, int partition, Instant now) noexcept
{
    if (now >= lease.until)
        return false;
    const auto held = lease.orderFrom.find(partition);
    return held != lease.orderFrom.end() && now >= held->second;
}

int partitionOf(std::uint64_t targetHash, int partitions) noexcept
{
    return static_cast<int>(targetHash % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

} // namespace monsoonbay
