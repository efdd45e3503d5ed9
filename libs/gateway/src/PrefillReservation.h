#pragma once

#include "ActiveCall.h"
#include "Gateway.pb.h"
#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * One current count of the prompt tokens that wait at an engine, kept by its lease holder. A call
 * asks for it right before it is sent, and goes elsewhere if too many wait. Where no lease holder
 * can be asked, calls are placed by state updates alone.
 */

/** True if updates on engines are too old for the route's objective: lease holders are asked. */
bool shouldAskLeaseHolders(const GatewayNode &node, const Route &route);

/** Tokens that wait at the engine by a count newer than the state updates; nullopt if none is. */
std::optional<double> reservedPrefillTokens(GatewayNode &node, const std::string &target,
                                            Instant now);

/** The next step of a call with the engine that it was placed on. */
enum class PrefillStep : std::uint8_t {
    Load, ///< has its adapter loaded there; nothing is reserved yet
    Send, ///< is sent, or looks for another engine if too many tokens wait there
    SendLoaded, ///< is sent there in any case: the adapter was loaded for it
};

/**
 * True if the call goes on with that engine; for a send, its tokens are reserved there. False if
 * another engine may be better: reservedPrefillTokens() has the count that was received. Always
 * true where no lease holder can be asked. The view has to outlive the coroutine.
 */
asio::awaitable<bool> reservePrefill(ActiveCall &call, const EngineView &engine, PrefillStep step);

/** Answers another VM that asks about an engine; reserves its tokens if few enough wait. */
gateway::v1::PrefillReply handlePrefillRequest(GatewayNode &node,
                                               const gateway::v1::PrefillRequest &request);

} // namespace monsoonbay
