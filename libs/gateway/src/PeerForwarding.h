#pragma once

#include "CallAnswer.h"
#include "ForwardedCall.h"

namespace monsoonbay {

/**
 * A VM that has lost its links to targets which other VMs reach forwards its calls to those VMs,
 * over one hop: a forwarded call is never forwarded again.
 */

/** True if the call is to be forwarded to another VM rather than sent to a target. */
bool shouldForwardToPeer(const ActiveCall &call);

/** Has another VM serve the call; Unreachable if none accepts it and own targets may be tried. */
asio::awaitable<AttemptResult> forwardCall(ActiveCall &call, CallAnswer &answer);

/** Whether this VM accepts a call that another one forwards: None if it does. */
ForwardRefusal admitForwarded(const GatewayNode &node,
                              const std::optional<ForwardedCall> &forwardedCall);

} // namespace monsoonbay
