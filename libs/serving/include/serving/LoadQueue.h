#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/AdapterScheduler.h"

namespace monsoonbay {

/** Callers that wait until an engine is ordered to load one adapter. */
struct QueuedLoad
{
    std::string adapter;
    int callers = 0;
    int rank = 0; ///< of the most urgent that has asked; 0 goes first

    auto operator<=>(const QueuedLoad &) const = default;
};

/** Loads that callers wait for at one engine, in order of arrival. */
struct LoadQueue
{
    std::vector<QueuedLoad> loads;

    auto operator<=>(const LoadQueue &) const = default;
};

/** A caller of that rank begins to wait for a load of `adapter`. */
void joinQueue(LoadQueue &queue, const std::string &adapter, int rank);

/** A caller of `adapter` no longer waits. */
void leaveQueue(LoadQueue &queue, const std::string &adapter);

/**
 * Loads of other adapters that are to be ordered before the one of `adapter`: those that more
 * urgent callers wait for, then those of more callers, then those that were asked for before.
 * Adapters that are at the engine, or on their way, need no order.
 */
int loadsAhead(const LoadQueue &queue, const AdapterScheduler &scheduler,
               const std::string &adapter);

/**
 * When a load can be expected to be ordered that has `ahead` others before it, each of which takes
 * `loadTime`. The engine takes orders from `ordersFrom` on.
 */
Instant expectedBegin(const AdapterScheduler &scheduler, int ahead, Duration loadTime,
                      Instant ordersFrom) noexcept;

} // namespace monsoonbay
