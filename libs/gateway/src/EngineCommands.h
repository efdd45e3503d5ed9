#pragma once

#include <compare>
#include <optional>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** True if some reachable gateway may order this engine now. */
bool canCommand(const GatewayNode &node, const std::string &target);

/**
 * True if a call may ask for a load there now: the engine is orderable, and has not told this VM to
 * come later. The load is of use if it begins within `begin`.
 */
bool mayRequestLoad(GatewayNode &node, const std::string &target, Duration begin);

/**
 * Time until an adapter that is being loaded at an engine is expected there; nothing if none is, or
 * no call can wait for it. One that a call of this VM has only asked for yet takes `loadTime`.
 */
std::optional<Duration> loadUnderWay(GatewayNode &node, const std::string &target,
                                     const std::string &adapter, Duration loadTime);

/** How long a call waits for the load of its adapter at one engine. */
struct LoadLimits
{
    Duration whole{}; ///< until it is there
    Duration begin{}; ///< until it is ordered; an engine that is busy for longer declines at once
    int rank = 0; ///< of its route; loads of rank 0 are ordered first

    auto operator<=>(const LoadLimits &) const = default;
};

/**
 * Has an adapter loaded, by this gateway or by the one that orders the engine. Calls that want the
 * same wait for one order. `missed`: the engine refused a call although it was taken to hold the
 * adapter. True once calls for it are accepted.
 */
asio::awaitable<bool> requestLoad(GatewayNode &node, std::string target, std::string model,
                                  std::string adapter, std::int64_t version, bool missed,
                                  LoadLimits limits);

/** Carries out a load for this gateway or a peer. */
asio::awaitable<gateway::v1::LoadReply> performLoad(GatewayNode &node,
                                                    gateway::v1::LoadRequest request);

/** Has engines that lost their base model load it again, for as long as the gateway runs. */
asio::awaitable<void> modelLoadLoop(GatewayNode &node);

/** Takes a new version of an adapter: engines that hold an older one replace it. */
void applyAdapterVersion(GatewayNode &node, const std::string &adapter, std::int64_t version);

} // namespace monsoonbay
