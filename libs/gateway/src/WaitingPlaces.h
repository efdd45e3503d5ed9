#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Signal.h"
#include "serving/CapacityQueue.h"

namespace monsoonbay {

struct CallRun;

/** A call that waits for a place, and what wakes it. */
struct PlaceWaiter
{
    const CallRun *run;
    asio::steady_timer *limit;
};

/** Calls of one service that wait for a place. */
struct ServicePlaces
{
    CapacityQueue queue;
    std::map<std::uint64_t, PlaceWaiter> waiters; ///< by the id in the queue
};

/** Calls that wait for a place at an engine. */
struct WaitingPlaces
{
    std::map<std::string, ServicePlaces> services;
    std::uint64_t lastId = 0;
};

} // namespace monsoonbay
