#pragma once

#include <optional>

#include "ActiveCall.h"

namespace monsoonbay {

/** Sets how long the call waits for a place at an engine, from now on. */
void startCapacityWait(ActiveCall &call);

/** The call has found its place. */
void recordPlacement(ActiveCall &call);

/** Adapter slots of an engine that could take another adapter, as far as is known here. */
int idleSlotsAt(GatewayNode &node, const TargetEntry &entry, const TargetUsage &usage,
                int capacity);

/** Calls that wait for a place, of all services. */
std::size_t callsWaiting(const GatewayNode &node);

/**
 * Waits in the order of all calls until there may be a place for this one, or its time is over; an
 * answer if no place can be expected in time.
 */
asio::awaitable<std::optional<LocalReply>> waitForCapacity(ActiveCall &call,
                                                           const ServiceSpec &spec);

/** The call is refused for want of room; its caller may come back when a place is expected. */
LocalReply refuseForCapacity(ActiveCall &call, std::string reason);

/** Wakes calls that wait for places, for as long as the gateway runs. */
asio::awaitable<void> wakeWaitingCallsLoop(GatewayNode &node);

/** Wakes as many waiting calls of a service as there is room for. */
void wakeWaitingCalls(GatewayNode &node, const std::string &service, Instant now);

} // namespace monsoonbay
