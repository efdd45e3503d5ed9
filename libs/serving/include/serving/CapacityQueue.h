#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** How long a call waits for a place at an engine. */
struct WaitLimits
{
    Duration usual{};
    Duration extended{}; ///< longer than usual for a call that lets others go first after that

    auto operator<=>(const WaitLimits &) const = default;
};

/** What the patience of a call depends on. */
struct WaitLimitInputs
{
    Duration objective{}; ///< for its first event; zero: its route names none
    Duration timeLeft{}; ///< that its caller waits
    double promptMs = 0; ///< that an engine reads its prompt
    Duration minObjective{}; ///< of all routes to the service; zero: none names one

    auto operator<=>(const WaitLimitInputs &) const = default;
};

WaitLimits waitLimits(const WaitLimitInputs &facts) noexcept;

/** A call that waits for a place. */
struct WaitingCall
{
    std::uint64_t id = 0;
    int rank = 0; ///< of its route; 0 goes first
    Instant since{};
    Instant softDeadline{}; ///< end of its usual patience; after that others go first
    Instant deadline{}; ///< end of its patience
    Instant notBefore{}; ///< it has just found no place
    bool adapterReady = false; ///< its adapter is at an engine that has room: it needs no load

    auto operator<=>(const WaitingCall &) const = default;
};

/** How fast waiting calls find places; what is long past counts less. */
struct CapacityRate
{
    Instant updatedAt{}; ///< when the other two were right
    double busySeconds = 0; ///< with calls waiting
    double found = 0; ///< places that waiting calls found in that time

    auto operator<=>(const CapacityRate &) const = default;
};

/** Calls of one service that wait for a place. */
struct CapacityQueue
{
    std::vector<WaitingCall> calls;
    CapacityRate rate;

    auto operator<=>(const CapacityQueue &) const = default;
};

/** More calls than this do not wait at one VM. */
constexpr std::size_t maxWaitingCalls = 512;

/** False, and nothing changed, if too many wait already. */
bool enqueueCall(CapacityQueue &queue, const WaitingCall &call, Instant now);

void dequeueCall(CapacityQueue &queue, std::uint64_t id, Instant now);

/** A call that waited has found a place. */
void recordCapacityFound(CapacityQueue &queue, Instant now);

/** Rank by which a call is served now: one less for each half of its usual patience waited. */
int agedRank(const WaitingCall &call, Instant now) noexcept;

/** True if `first` is served before `second`. */
bool isServedBefore(const WaitingCall &first, const WaitingCall &second, Instant now) noexcept;

/**
 * Calls to be woken while there is room for `loads` more loads, in the order in which they are
 * served: so many, and those whose adapter is there.
 */
std::vector<std::uint64_t> callsToWake(const CapacityQueue &queue, int loads, Instant now);

/** Where a service has room for loads now, or is said to have later. */
struct ServiceCapacity
{
    int loads = 0; ///< that could begin now
    bool unknownLater = false; ///< some engine may get room at any time
    std::vector<Instant>
        expectedAt; ///< when each other engine can begin a load, as its holder expects

    auto operator<=>(const ServiceCapacity &) const = default;
};

/**
 * Time until a call that is not in the queue yet can expect a place: by its turn, and by when
 * engines begin loads, each of which takes `loadTime`. Zero: at once, or nothing is known.
 */
Duration expectedCapacityWait(const CapacityQueue &queue, const WaitingCall &call,
                              const ServiceCapacity &room, Duration loadTime, Instant now);

} // namespace monsoonbay
