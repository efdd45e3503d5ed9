#include "quota/FleetSize.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** VMs that were unreachable for so long while the store answered are considered gone. */
constexpr Duration unreachableTimeout = std::chrono::seconds(60);

/** How long the VM list counts: if many VMs start at once, reaching all takes some seconds. */
constexpr Duration listTimeout = std::chrono::seconds(15);

/**
 * A VM that changes its relay is counted by both relays for a moment, so only VMs that are
 * reachable throughout a span of this length count.
 */
constexpr Duration countingSpan = std::chrono::seconds(2);

void applyCount(FleetSize &size, int vmCount, bool storeReachable, Instant now)
{
    const bool onlyListed = size.seenAt == Instant{};
    const Instant since = onlyListed ? size.firstCountAt : size.seenAt;
    const bool isExpired =
        storeReachable && now - since > (onlyListed ? listTimeout : unreachableTimeout);
    if (vmCount < size.known && !isExpired)
        return;
    size.known = vmCount;
    size.seenAt = now;
}

} // namespace

// The list also names VMs that are long gone, so it only counts until reachable VMs have been
// counted for the first time.
void updateFleetSize(FleetSize &size, const VmCount &count, Instant now) noexcept
{
    if (size.seenAt == Instant{})
        size.known = std::max(size.known, count.listed);
    if (size.spanStartedAt == Instant{}) {
        size.firstCountAt = now;
        size.spanStartedAt = now;
        size.minReachable = count.reachable;
    }
    size.minReachable = std::min(size.minReachable, count.reachable);
    if (now - size.spanStartedAt < countingSpan)
        return;
    // In its first span a VM does not receive the state updates of all VMs yet.
    if (!size.firstSpan)
        applyCount(size, size.minReachable, count.storeReachable, now);
    size.firstSpan = false;
    size.spanStartedAt = now;
    size.minReachable = count.reachable;
}

} // namespace monsoonbay
