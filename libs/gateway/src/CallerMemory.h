#pragma once

#include "ActiveCall.h"

namespace monsoonbay {

/**
 * True if so many bytes of an answer may be held before the caller gets them: a few kilobytes of
 * each, more while the VM has room, and never more than the settings allow.
 */
bool mayHoldAnswer(ActiveCall &call, std::size_t bytes);

/** True if the call may hold `bytes` of what its caller sends ahead of the answer. */
bool mayReadAhead(ActiveCall &call, std::size_t bytes);

/** What the watch of the callers' connections has seen. */
struct CallerMemoryWatch
{
    ConnectionCounts counts;
    std::size_t mostBytes = 0; ///< since memory was returned last
    bool acting = false; ///< connections are being closed for others
    Instant changedAt{}; ///< when `counts` changed last

    auto operator<=>(const CallerMemoryWatch &) const = default;
};

/** Logs when connections begin and stop to be closed for others, and returns freed memory. */
void watchCallerMemory(GatewayNode &node, CallerMemoryWatch &watch, Instant now);

} // namespace monsoonbay
