#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Signal.h"
#include "serving/CapacityQueue.h"

namespace monsoonbay {

struct ActiveCall;

/** A call that waits for a place, and what wakes it. */
struct CapacityWaiter
{
    const ActiveCall *call;
    asio::steady_timer *limit;
};

/** Calls of one service that wait for a place. */
struct ServiceWaiters
{
    CapacityQueue queue;
    std::map<std::uint64_t, CapacityWaiter> waiters; ///< by the id in the queue
};

/** Calls that wait for a place at an engine. */
struct CapacityWaiters
{
    std::map<std::string, ServiceWaiters> services;
    std::uint64_t lastId = 0;
};

} // namespace monsoonbay
