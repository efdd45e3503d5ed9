#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * True if the whole system starts for the first time: the settings say so, and the store's records
 * of VMs show no earlier boot. Before that nothing was sent or used that limits have to count.
 */
bool isFirstStart(const GatewayNode &node) noexcept;

/** True as long as nothing contradicts the settings; for waits that are longer in a first start. */
bool mayBeFirstStart(const GatewayNode &node) noexcept;

/** The store's records of VMs were read; `seen`: they show earlier boots, of any VM. */
void recordEarlierBoots(GatewayNode &node, bool seen);

} // namespace monsoonbay
