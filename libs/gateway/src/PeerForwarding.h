#pragma once

#include "CallAnswer.h"
#include "ForwardedCall.h"

namespace monsoonbay {

/**
 * A VM that has lost its links to targets while others reach them forwards its calls to these, over
 * one hop. A forwarded call is never forwarded again.
 */

/** True if the call is to go by another VM rather than to a target. */
bool shouldForwardToPeer(const ActiveCall &call);

/** Has another VM serve the call; Unreachable if none takes it and own targets may be tried. */
asio::awaitable<AttemptResult> forwardCall(ActiveCall &call, CallAnswer &answer);

/** Whether this VM takes a call that another one forwards. */
ForwardRefusal admitForwarded(const GatewayNode &node,
                              const std::optional<ForwardedCall> &forwardedCall);

} // namespace monsoonbay
