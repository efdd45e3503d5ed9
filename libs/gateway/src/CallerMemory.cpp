#include "CallerMemory.h"

#include <algorithm>

#include <malloc.h>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** Held of each answer, whatever the room; counted as part of the connection. */
constexpr std::size_t freeAnswerBytes = 8UL * 1024;

/** Connections are no longer closed for others if none was for so long. */
constexpr Duration calmAfter = std::chrono::seconds(5);
/** The allocator is asked to return memory once callers hold less by this part of their limit. */
constexpr std::size_t returnedShare = 8;

bool holdMore(ActiveCall &call, std::size_t &part, std::size_t bytes)
{
    if (!call.callerConnection || bytes <= part)
        return true;
    const std::size_t wanted = call.heldBytes - part + bytes;
    if (!call.node.callerConnections.tryHold(*call.callerConnection, wanted))
        return false;
    call.heldBytes = wanted;
    part = bytes;
    return true;
}

std::vector<EventField> fieldsOf(const ConnectionTotals &totals)
{
    return {{"connections", std::to_string(totals.connections)},
            {"heldKb", std::to_string(totals.bytes / 1024)},
            {"limitKb", std::to_string(totals.limits.bytes / 1024)},
            {"descriptors", std::to_string(totals.descriptors)},
            {"descriptorLimit", std::to_string(totals.limits.descriptors)},
            {"idleClosed", std::to_string(totals.counts.idleClosed)},
            {"readingClosed", std::to_string(totals.counts.readingClosed)},
            {"connectionsRefused", std::to_string(totals.counts.connectionsRefused)},
            {"callsRefused", std::to_string(totals.counts.callsRefused)}};
}

void recordTotals(GatewayNode &node, const ConnectionTotals &totals, const ConnectionCounts &before)
{
    Metrics &metrics = node.metrics;
    const ConnectionCounts &now = totals.counts;
    metrics.set(Gauge::CallerConnections, totals.connections);
    metrics.set(Gauge::CallerBytes, totals.bytes);
    metrics.add(Counter::IdleClosedForRoom, now.idleClosed - before.idleClosed);
    metrics.add(Counter::ReadingClosedForRoom, now.readingClosed - before.readingClosed);
    metrics.add(Counter::ConnectionsRefusedForRoom,
                now.connectionsRefused - before.connectionsRefused);
    metrics.add(Counter::CallsRefusedForRoom, now.callsRefused - before.callsRefused);
}

} // namespace

bool mayHoldAnswer(ActiveCall &call, std::size_t bytes)
{
    if (bytes <= freeAnswerBytes)
        return true;
    // A string has up to twice its bytes, and its copy while it moves.
    return bytes <= call.node.settings.maxHeldAnswerBytes
        && holdMore(call, call.heldOfAnswer, 3 * bytes);
}

bool mayReadAhead(ActiveCall &call, std::size_t bytes)
{
    return holdMore(call, call.heldAhead, bytes);
}

// Small blocks that are free inside the heap return to the system only when asked for, and a second
// crowd would begin where the first one ended.
void watchCallerMemory(GatewayNode &node, CallerMemoryWatch &watch, Instant now)
{
    const ConnectionTotals totals = node.callerConnections.totals();
    if (totals.counts != watch.counts)
        watch.changedAt = now;
    if (totals.counts != watch.counts && !watch.acting) {
        watch.acting = true;
        logEvent(EventId::CallerLimitReached, fieldsOf(totals));
    }
    if (watch.acting && now - watch.changedAt > calmAfter) {
        watch.acting = false;
        logEvent(EventId::CallerLimitLeft, fieldsOf(totals));
    }
    recordTotals(node, totals, watch.counts);
    watch.counts = totals.counts;
    watch.mostBytes = std::max(watch.mostBytes, totals.bytes);
    if (watch.mostBytes - totals.bytes > totals.limits.bytes / returnedShare) {
        malloc_trim(0);
        watch.mostBytes = totals.bytes;
    }
}

} // namespace monsoonbay
