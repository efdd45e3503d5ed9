#pragma once

#include <optional>

#include "ActiveCall.h"

namespace monsoonbay {

/** Authenticates callers by API key. Logs show only a short hash of a key. */

/**
 * Finds the workspace of the call's key; a refusal if the caller may not call. A key that is not
 * known here may be new: the call waits a moment for a configuration that settles it.
 */
asio::awaitable<std::optional<LocalReply>> authenticateCaller(ActiveCall &call);

/**
 * Refuses a call whose key was revoked since the call arrived, or may have been. To be called right
 * before each attempt.
 */
std::optional<LocalReply> recheckKey(const ActiveCall &call);

/** Priority of the call: its workspace's, if that has one, or its route's. 0 goes first. */
int priorityOf(const ActiveCall &call);

} // namespace monsoonbay
