#pragma once

#include "CallRun.h"

namespace monsoonbay {

/** Serves one call of a caller, from its route to the end of its answer. */
asio::awaitable<void> serveCall(CallRunPtr run);

} // namespace monsoonbay
