#pragma once

#include <set>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** Takes what a peer says of an engine, unless this VM orders it itself or knows newer. */
void applyEngineRecord(GatewayNode &node, const std::string &target, EngineRecord record);

/** The same of what changed; it is asked for whole if it is not of the record that is known. */
void applyEngineChange(GatewayNode &node, std::set<std::string> &unknown, const std::string &target,
                       const EngineChange &change);

/** Tells the others what this VM knows of an engine that it orders. */
void publishEngine(GatewayNode &node, const std::string &target);

/** Tells the others which engines this VM no longer orders. */
void retractEngines(GatewayNode &node);

/** The holder of an engine says that it may not order it. */
void recordNotHolder(GatewayNode &node, const std::string &target, const Endpoint &asked);

/** As a relay: marks engines whose holder has fallen silent. */
void markSilentHolders(GatewayNode &node, Instant now);

/** A peer of that zone says that an engine's holder lives. */
void applyHolderLiveness(GatewayNode &node, const std::string &zone, const std::string &target);

/** The gateway that may order an engine, if it is not this one; null: none is known. */
const PeerState *holderOf(const GatewayNode &node, const std::string &target);

/** Gateways that order engines now, as far as is known; at least 1. */
int liveHolders(const GatewayNode &node);

/** Adapters under way at all engines. */
int loadsUnderWay(const GatewayNode &node);

} // namespace monsoonbay
