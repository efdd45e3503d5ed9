#pragma once

#include <optional>

#include "ActiveCall.h"

namespace monsoonbay {

/** Whether a caller may call, and for which workspace. Logs name keys by a short hash only. */

/**
 * Finds the workspace that holds the call's key; the refusal if it may not call. A key that is not
 * known here may be a new one: its call waits a moment for news that would tell.
 */
asio::awaitable<std::optional<LocalReply>> authenticateCaller(ActiveCall &call);

/**
 * The refusal of a call whose key was taken since it came, or may have been: to be asked for right
 * before each send.
 */
std::optional<LocalReply> recheckKey(const ActiveCall &call);

/** Rank of the call: its workspace's, if that has one, or its route's. 0 goes first. */
int priorityOf(const ActiveCall &call);

} // namespace monsoonbay
