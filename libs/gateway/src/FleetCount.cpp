#include "FleetCount.h"

#include <algorithm>

#include "ZoneView.h"

namespace monsoonbay {

namespace {

/** The store, or a VM that reaches it, was heard within this. */
constexpr Duration storeHeard = std::chrono::seconds(5);
/** When all start at once, they have found each other without the store within this. */
constexpr Duration othersHeard = std::chrono::seconds(4);

int namedPeers(const GatewayNode &node)
{
    return static_cast<int>(
        std::count_if(node.peers.begin(), node.peers.end(),
                      [](const auto &entry) { return !entry.second.name.empty(); }));
}

} // namespace

bool hearsRelay(const GatewayNode &node, Instant now)
{
    return node.upstream.at != Instant{} && now - node.upstream.at <= reporterSilence;
}

int vmsInTouch(const GatewayNode &node, Instant now)
{
    const int below = 1 + vmsReported(node.reported);
    return hearsRelay(node, now) ? std::max(node.upstream.vmsInTouch, below) : below;
}

int vmsKnown(const GatewayNode &node, Instant now)
{
    const bool counted = node.fleet.heardAt != Instant{};
    const int listed = counted ? 0 : 1 + namedPeers(node);
    return std::max({node.fleet.known, vmsInTouch(node, now), listed});
}

// A relay may have just started as well, and know of few: without the store's list its word counts
// only after a while.
bool knowsOthers(const GatewayNode &node, Instant now)
{
    const bool heardForLong = node.upstream.at != Instant{} && now - node.bootedAt > othersHeard;
    return node.vmsRead || heardForLong;
}

// Use is told by workspace, so it needs a configuration as well.
bool tellsUse(const GatewayNode &node, Instant now)
{
    if (node.settings.firstStart)
        return true;
    return knowsOthers(node, now) && node.routes->config().version > 0;
}

void countVms(GatewayNode &node, Instant now)
{
    const std::optional<Instant> confirmed = configConfirmedAt(node);
    VmCount count;
    count.inTouch = vmsInTouch(node, now);
    count.listed = 1 + namedPeers(node);
    count.storeHeard = confirmed && now - *confirmed < storeHeard;
    noteVms(node.fleet, count, now);
}

} // namespace monsoonbay
