#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Measures how late this VM begins tasks that are due. */
asio::awaitable<void> loopDelayLoop(GatewayNode &node);

} // namespace monsoonbay
