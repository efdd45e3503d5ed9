#pragma once

#include <set>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/** Applies a peer's record of an engine, unless this VM holds it or has a newer record. */
void applyEngineRecord(GatewayNode &node, const std::string &target, EngineRecord record);

/** The same for a delta. If it does not fit the known record, adds the engine to `unknown`. */
void applyEngineChange(GatewayNode &node, std::set<std::string> &unknown, const std::string &target,
                       const EngineChange &change);

/** Publishes this VM's state of an engine that it holds to the other VMs. */
void publishEngine(GatewayNode &node, const std::string &target);

/** Reports to the other VMs which engines this VM no longer holds. */
void retractEngines(GatewayNode &node);

/** Records that the VM asked for a load replied that it does not hold the engine. */
void recordNotHolder(GatewayNode &node, const std::string &target, const Endpoint &asked);

/** On a relay: marks engines whose lease holder has fallen silent. */
void markSilentHolders(GatewayNode &node, Instant now);

/** Records that, by a peer of `zone`, the engine's lease holder is alive. */
void applyHolderLiveness(GatewayNode &node, const std::string &zone, const std::string &target);

/** The other VM that holds the lease for an engine; null: none is known that can be asked. */
const PeerState *holderOf(const GatewayNode &node, const std::string &target);

/** Number of VMs known to hold engines now; at least 1. */
int liveHolders(const GatewayNode &node);

/** Loads in progress from the weight store, over all engines. */
int loadsUnderWay(const GatewayNode &node);

} // namespace monsoonbay
