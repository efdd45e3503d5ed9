#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** How long a call waits for capacity at an engine. */
struct WaitLimits
{
    Duration usual{};
    Duration extended{}; ///< at least `usual`, after which the call yields to others

    auto operator<=>(const WaitLimits &) const = default;
};

/** What the wait limits of a call depend on. */
struct WaitLimitInputs
{
    Duration objective{}; ///< latency objective for the first event; zero: the route sets none
    Duration timeLeft{}; ///< until the caller's deadline
    double promptMs = 0; ///< time an engine takes to prefill the prompt
    Duration minObjective{}; ///< of all routes to the service; zero: none sets one

    auto operator<=>(const WaitLimitInputs &) const = default;
};

WaitLimits waitLimits(const WaitLimitInputs &inputs) noexcept;

/** A call waiting for capacity. */
struct WaitingCall
{
    std::uint64_t id = 0;
    int rank = 0; ///< priority of its route; 0 is served first
    Instant since{};
    Instant softDeadline{}; ///< end of the usual wait limit; after it other calls go first
    Instant deadline{}; ///< end of the wait
    Instant notBefore{}; ///< it has just found no capacity and is not woken before this time
    bool adapterReady = false; ///< resident at an engine with capacity, so no load is needed

    auto operator<=>(const WaitingCall &) const = default;
};

/** Rate at which waiting calls get capacity; older observations decay exponentially. */
struct CapacityRate
{
    Instant updatedAt{}; ///< time up to which the decay is applied
    double busySeconds = 0; ///< time during which calls were waiting
    double found = 0; ///< waiting calls that got capacity in that time

    auto operator<=>(const CapacityRate &) const = default;
};

/** Calls of one service that wait for capacity. */
struct CapacityQueue
{
    std::vector<WaitingCall> calls;
    CapacityRate rate;

    auto operator<=>(const CapacityQueue &) const = default;
};

/** Limit on waiting calls at one VM. */
constexpr std::size_t maxWaitingCalls = 512;

/** Returns false and changes nothing if the queue is full. */
bool enqueueCall(CapacityQueue &queue, const WaitingCall &call, Instant now);

void dequeueCall(CapacityQueue &queue, std::uint64_t id, Instant now);

/** A waiting call got capacity. */
void recordCapacityFound(CapacityQueue &queue, Instant now);

/** Effective rank of a call: one lower for each half of its usual wait limit that has passed. */
int agedRank(const WaitingCall &call, Instant now) noexcept;

/** True if `first` is served before `second`. */
bool isServedBefore(const WaitingCall &first, const WaitingCall &second, Instant now) noexcept;

/**
 * Calls to wake when `loads` more loads can start, in the order in which they are served: that many
 * calls that need a load, and all whose adapter is resident.
 */
std::vector<std::uint64_t> callsToWake(const CapacityQueue &queue, int loads, Instant now);

/** Where a service can start loads, now or later. */
struct ServiceCapacity
{
    int loads = 0; ///< loads that can start now
    bool mayFreeAnytime = false; ///< some engine may get capacity at any moment
    std::vector<Instant> expectedAt; ///< when the other engines can start a load, by their
                                     ///< lease holders' estimates

    auto operator<=>(const ServiceCapacity &) const = default;
};

/**
 * Expected wait of a call that is not queued yet, from its position in the queue and from when
 * engines can start loads that take `loadTime` each. Zero: no wait, or nothing is known.
 */
Duration expectedCapacityWait(const CapacityQueue &queue, const WaitingCall &call,
                              const ServiceCapacity &capacity, Duration loadTime, Instant now);

} // namespace monsoonbay
