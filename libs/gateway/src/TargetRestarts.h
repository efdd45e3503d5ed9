#pragma once

#include <cstdint>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Compares the start time of a target in any message about it with the known one. If it is later,
 * the target has restarted, and all state of its previous run is dropped. `startTime` 0: not
 * stated.
 */
StartOrder recordStartTime(GatewayNode &node, const std::string &target, std::int64_t startTime);

} // namespace monsoonbay
