#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/** Serves one call of a caller, from its route to the end of its answer. */
asio::awaitable<void> serveCall(ActiveCallPtr call);

/** The answer to a call without a route: it may have one in a newer configuration. */
LocalReply refusalWithoutRoute(const GatewayNode &node);

} // namespace monsoonbay
