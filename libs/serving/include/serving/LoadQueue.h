#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/AdapterScheduler.h"

namespace monsoonbay {

/** Callers waiting for the same adapter to be loaded at one engine. */
struct QueuedLoad
{
    std::string adapter;
    int callers = 0;
    int rank = 0; ///< of the most urgent caller; 0 goes first

    auto operator<=>(const QueuedLoad &) const = default;
};

/** Loads that callers wait for at one engine, in order of arrival. */
struct LoadQueue
{
    std::vector<QueuedLoad> loads;

    auto operator<=>(const LoadQueue &) const = default;
};

/** Adds a caller of the given rank that waits for `adapter`. */
void joinQueue(LoadQueue &queue, const std::string &adapter, int rank);

/** Removes a caller that waited for `adapter`. */
void leaveQueue(LoadQueue &queue, const std::string &adapter);

/**
 * Number of loads of other adapters that go before the one of `adapter`: those with a more urgent
 * caller first, then those with more callers, then those requested earlier. Adapters that are
 * resident or being loaded are not counted.
 */
int loadsAhead(const LoadQueue &queue, const AdapterScheduler &scheduler,
               const std::string &adapter);

/**
 * Expected time at which a load starts that has `ahead` others before it, each of which takes
 * `loadTime`. The engine accepts commands from `commandsFrom` on.
 */
Instant expectedBegin(const AdapterScheduler &scheduler, int ahead, Duration loadTime,
                      Instant commandsFrom) noexcept;

} // namespace monsoonbay
