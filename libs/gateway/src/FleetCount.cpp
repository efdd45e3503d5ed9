#include "FleetCount.h"

#include <algorithm>

#include "FirstStart.h"
#include "ZonePeers.h"

namespace monsoonbay {

namespace {

/**
 * The store counts as reachable if the configuration was confirmed, by itself or through a peer,
 * within this time.
 */
constexpr Duration storeFreshness = std::chrono::seconds(5);
/** Time in which VMs that all start at once find each other without the store. */
constexpr Duration discoveryTime = std::chrono::seconds(4);

int namedPeers(const GatewayNode &node)
{
    return static_cast<int>(
        std::count_if(node.peers.begin(), node.peers.end(),
                      [](const auto &entry) { return !entry.second.name.empty(); }));
}

} // namespace

bool isRelayLive(const GatewayNode &node, Instant now)
{
    return node.relayState.at != Instant{} && now - node.relayState.at <= reporterTimeout;
}

int reachableVms(const GatewayNode &node, Instant now)
{
    const int reporting = 1 + reportedVms(node.reported);
    return isRelayLive(node, now) ? std::max(node.relayState.reachableVms, reporting) : reporting;
}

int knownVms(const GatewayNode &node, Instant now)
{
    const bool counted = node.fleet.seenAt != Instant{};
    const int listed = counted ? 0 : 1 + namedPeers(node);
    return std::max({node.fleet.known, reachableVms(node, now), listed});
}

int rankAmongVms(const GatewayNode &node)
{
    const std::string &own = node.settings.vm;
    return static_cast<int>(
        std::count_if(node.peers.begin(), node.peers.end(), [&own](const auto &entry) {
            const std::string &name = entry.second.name;
            return !name.empty() && name < own;
        }));
}

// A relay may have just started as well, and know few VMs: without the store's list, its count is
// trusted only after a while.
bool knowsFleetSize(const GatewayNode &node, Instant now)
{
    const bool hasRelayForLong =
        node.relayState.at != Instant{} && now - node.bootedAt > discoveryTime;
    return node.vmListRead || hasRelayForLong;
}

// Usage is reported by workspace, so a configuration is needed as well.
bool reportsUsage(const GatewayNode &node, Instant now)
{
    if (isFirstStart(node))
        return true;
    return knowsFleetSize(node, now) && node.routes->config().version > 0;
}

void recountVms(GatewayNode &node, Instant now)
{
    const std::optional<Instant> confirmed = configConfirmedAt(node);
    VmCount count;
    count.reachable = reachableVms(node, now);
    count.listed = 1 + namedPeers(node);
    count.storeReachable = confirmed && now - *confirmed < storeFreshness;
    updateFleetSize(node.fleet, count, now);
}

} // namespace monsoonbay
