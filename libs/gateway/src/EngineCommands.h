#pragma once

#include <compare>
#include <optional>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** True if this VM, or another one that can be reached, may send commands to this engine now. */
bool canCommand(const GatewayNode &node, const std::string &target);

/**
 * True if a call may request a load there now: some VM may command the engine, and no declined load
 * asks to come back later. A load that begins after `begin` is too late for the call.
 */
bool mayRequestLoad(GatewayNode &node, const std::string &target, Duration begin);

/**
 * Expected time until an adapter that is being loaded at an engine is resident; nothing if no load
 * is in progress, or no VM may command the engine. A load that this VM has only requested so far
 * counts as `loadTime`.
 */
std::optional<Duration> loadUnderWay(GatewayNode &node, const std::string &target,
                                     const std::string &adapter, Duration loadTime);

/** Time limits of a call for the load of its adapter at one engine. */
struct LoadLimits
{
    Duration whole{}; ///< until the adapter is resident
    Duration begin{}; ///< until the load begins; it is declined at once if it would begin later
    int rank = 0; ///< of the call's route; loads of rank 0 go first

    auto operator<=>(const LoadLimits &) const = default;
};

/**
 * Has an adapter loaded, by this VM or by the lease holder of the engine. Calls of this VM that
 * need the same adapter there share one request. `missed`: the engine refused a call although the
 * adapter was believed to be resident. True once the engine accepts calls for it.
 */
asio::awaitable<bool> requestLoad(GatewayNode &node, std::string target, std::string model,
                                  std::string adapter, std::int64_t version, bool missed,
                                  LoadLimits limits);

/**
 * Tells the lease holder that the engine refused a call although the adapter was believed to be
 * resident; requests no load.
 */
asio::awaitable<void> noteMissing(GatewayNode &node, std::string target, std::string model,
                                  std::string adapter);

/** Handles a load request of this VM or a peer, as the lease holder of the engine. */
asio::awaitable<gateway::v1::LoadReply> performLoad(GatewayNode &node,
                                                    gateway::v1::LoadRequest request);

/** Has engines without their base model load it, for as long as the gateway runs. */
asio::awaitable<void> modelLoadLoop(GatewayNode &node);

/** Puts a new version of an adapter in force: engines that hold an older one replace it. */
void applyAdapterVersion(GatewayNode &node, const std::string &adapter, std::int64_t version);

} // namespace monsoonbay
