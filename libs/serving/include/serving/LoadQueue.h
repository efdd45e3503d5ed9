#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/OrderDesk.h"

namespace monsoonbay {

/** Callers that wait until an engine is ordered to load one adapter. */
struct QueuedLoad
{
    std::string adapter;
    int callers = 0;

    auto operator<=>(const QueuedLoad &) const = default;
};

/** Loads that wait for their order at one engine, in order of arrival. */
struct LoadQueue
{
    std::vector<QueuedLoad> loads;

    auto operator<=>(const LoadQueue &) const = default;
};

/** A caller begins to wait for a load of `adapter`. */
void joinQueue(LoadQueue &queue, const std::string &adapter);

/** A caller of `adapter` no longer waits. */
void leaveQueue(LoadQueue &queue, const std::string &adapter);

/** Loads of other adapters that were asked for before the one of `adapter`. */
int loadsAhead(const LoadQueue &queue, const std::string &adapter) noexcept;

/**
 * When a load can be expected to be ordered that has `ahead` others before it, each of which takes
 * `loadTime`. The engine takes orders from `ordersFrom` on.
 */
Instant expectedBegin(const OrderDesk &desk, int ahead, Duration loadTime,
                      Instant ordersFrom) noexcept;

} // namespace monsoonbay
