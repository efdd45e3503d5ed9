#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Records the era of an answer of the store. False if the answer must not be used: it names an
 * earlier era than one before it, or none although others did.
 */
bool acceptStoreEra(GatewayNode &node, StoreEra era);

/** The era for log events. */
std::string describeEra(StoreEra era);

} // namespace monsoonbay
