#pragma once

#include "ActiveCall.h"
#include "Gateway.pb.h"
#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * One current count of the prompt tokens that wait at an engine, kept by the VM that orders it. A
 * call asks it right before it is sent, and goes elsewhere if too many wait. Where nobody can be
 * asked, calls are sent by the news alone.
 */

/** True if the news of engines are too old for this route's objective, so that holders are asked.
 */
bool shouldAskLeaseHolders(const GatewayNode &node, const Route &route);

/** Tokens that wait at the engine by a count that is newer than the news; nothing: there is none.
 */
std::optional<double> reservedPrefillTokens(GatewayNode &node, const std::string &target,
                                            Instant now);

/** What a call does next with the engine that it was placed on. */
enum class PrefillStep : std::uint8_t {
    Load, ///< has its adapter loaded there; nothing is counted yet
    Send, ///< is sent, or looks for another engine if too much waits there
    SendLoaded, ///< is sent there in any case: the adapter was loaded for it
};

/**
 * True if the call goes on with that engine; for a send, its tokens count there from now on. False:
 * another engine may be better; what was learnt shows in reservedPrefillTokens(). Where nobody can
 * be asked it is always true. The view has to stay until the result is there.
 */
asio::awaitable<bool> reservePrefill(ActiveCall &call, const EngineView &engine, PrefillStep step);

/** Answers another VM that asks for an engine. */
gateway::v1::PrefillReply handlePrefillRequest(GatewayNode &node,
                                               const gateway::v1::PrefillRequest &request);

} // namespace monsoonbay
