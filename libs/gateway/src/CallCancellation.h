#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/** Bytes that are read of what a caller sends before its answer. */
constexpr std::size_t maxReadAheadBytes = 64UL * 1024;

/** Cancels the call; ends the attempt under way by closing its connection. */
void cancelCall(ActiveCall &call, CancelReason reason);

/** Cancels the call if its caller closes the connection while the call is being served. */
void watchCaller(const ActiveCallPtr &call);

/**
 * Checks at once, before the call is sent, whether its caller has left or its deadline has passed;
 * true if the call is cancelled.
 */
bool checkCancelled(ActiveCall &call);

/** Cancels the call at its deadline, unless `timer` is cancelled before. */
void startDeadline(const ActiveCallPtr &call, asio::steady_timer &timer);

/** Logs and counts the call, which has ended, if it was cancelled. */
void recordCancelledCall(const ActiveCall &call);

} // namespace monsoonbay
