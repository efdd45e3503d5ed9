#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/** Serves one call, from the choice of its route to the end of its answer. */
asio::awaitable<void> serveCall(ActiveCallPtr call);

/** The answer to a call without a route: 503 if a newer configuration may have it, or 404. */
LocalReply refusalWithoutRoute(const GatewayNode &node);

} // namespace monsoonbay
