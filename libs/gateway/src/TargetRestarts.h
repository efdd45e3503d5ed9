#pragma once

#include <cstdint>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Takes from any word about a target of which start of it the word is. If it is a later one than
 * was known, all that was believed of the target is dropped. `startTime` 0: the word does not say.
 */
StartOrder recordStartTime(GatewayNode &node, const std::string &target, std::int64_t startTime);

} // namespace monsoonbay
