#include "quota/FleetSize.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** A VM that was silent for so long, while the store was heard, is taken as gone. */
constexpr Duration silentCounts = std::chrono::seconds(60);

/** When many start at once, it takes some seconds until all of them are heard. */
constexpr Duration listCounts = std::chrono::seconds(15);

/**
 * A VM that goes from one relay to another is counted by both for a moment; only what is heard all
 * through a span of this length counts.
 */
constexpr Duration span = std::chrono::seconds(2);

void takeSettled(FleetSize &size, int settled, bool storeHeard, Instant now)
{
    const bool onlyListed = size.seenAt == Instant{};
    const Instant since = onlyListed ? size.firstCountAt : size.seenAt;
    const bool forgotten = storeHeard && now - since > (onlyListed ? listCounts : silentCounts);
    if (settled < size.known && !forgotten)
        return;
    size.known = settled;
    size.seenAt = now;
}

} // namespace

// The list names VMs that are gone for long as well, so it only counts until the first ones that
// are heard have been counted.
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
    if (now - size.spanStartedAt < span)
        return;
    // In its first span a VM does not hear all yet.
    if (!size.firstSpan)
        takeSettled(size, size.minReachable, count.storeReachable, now);
    size.firstSpan = false;
    size.spanStartedAt = now;
    size.minReachable = count.reachable;
}

} // namespace monsoonbay
