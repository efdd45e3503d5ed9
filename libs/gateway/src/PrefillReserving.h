#pragma once

#include "CallRun.h"
#include "Gateway.pb.h"
#include "serving/EngineBoard.h"

namespace monsoonbay {

/**
 * One current count of the prompt tokens that wait at an engine, kept by the VM that orders it. A
 * call asks it right before it is sent, and goes elsewhere if too many wait. Where nobody can be
 * asked, calls are sent by the news alone.
 */

/** True if the news of engines are too old for this route's objective, so that holders are asked.
 */
bool asksHolders(const GatewayNode &node, const Route &route);

/** Tokens that wait at the engine by a count that is newer than the news; nothing: there is none.
 */
std::optional<double> countedTokens(GatewayNode &node, const std::string &target, Instant now);

/**
 * True if the call goes to that engine: its tokens count there from now on, or nobody can be asked.
 * False, only if it may leave the engine: another one may be better; what was learnt shows in
 * countedTokens().
 */
asio::awaitable<bool> reservePrefill(CallRun &run, EngineView engine, bool mayLeave);

/** Answers another VM that asks for an engine. */
gateway::v1::PrefillReply takePrefillRequest(GatewayNode &node,
                                             const gateway::v1::PrefillRequest &request);

} // namespace monsoonbay
