#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Signal.h"
#include "serving/CapacityQueue.h"

namespace monsoonbay {

struct ActiveCall;

/** A call that waits for capacity, and the timer that wakes it. */
struct CapacityWaiter
{
    const ActiveCall *call;
    asio::steady_timer *limit;
};

/** Calls of one service that wait for capacity. */
struct ServiceWaiters
{
    CapacityQueue queue;
    std::map<std::uint64_t, CapacityWaiter> waiters; ///< by the id in the queue
};

/** Calls that wait for capacity at an engine, by service. */
struct CapacityWaiters
{
    std::map<std::string, ServiceWaiters> services;
    std::uint64_t lastId = 0;
};

} // namespace monsoonbay
