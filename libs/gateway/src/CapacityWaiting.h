#pragma once

#include <optional>

#include "ActiveCall.h"

namespace monsoonbay {

/** Sets how long the call waits for capacity at an engine, from now on. */
void startCapacityWait(ActiveCall &call);

/** Records that the call has found capacity. */
void recordPlacement(ActiveCall &call);

/** Adapter slots of an engine that can take another adapter, as far as this VM knows. */
int idleSlotsAt(GatewayNode &node, const TargetEntry &entry, const TargetUsage &usage,
                int capacity);

/** Number of calls that wait for capacity, over all services. */
std::size_t callsWaiting(const GatewayNode &node);

/**
 * Waits in the service's queue until there may be capacity for the call, or its wait limit is
 * reached; a refusal if too many calls wait, or no capacity can be expected in time. Without a
 * queue it waits for a change at an engine, for a moment.
 */
asio::awaitable<std::optional<LocalReply>> waitForCapacity(ActiveCall &call,
                                                           const ServiceSpec &spec);

/** A refusal for lack of capacity; its caller may come back when capacity is expected. */
LocalReply refuseForCapacity(ActiveCall &call, std::string reason);

/** Wakes calls that wait for capacity, for as long as the gateway runs. */
asio::awaitable<void> wakeWaitingCallsLoop(GatewayNode &node);

/** Wakes as many waiting calls of a service as there is capacity for, and cancelled ones. */
void wakeWaitingCalls(GatewayNode &node, const std::string &service, Instant now);

} // namespace monsoonbay
