#pragma once

#include <compare>

namespace monsoonbay {

/** Placement mechanisms that a deployment turns on. */
struct PlacementSettings
{
    /** Prefers engines that are forecast to meet the call's objective; see ForecastChoice.h. */
    bool forecast = false;
    /** Calls ask an engine's lease holder how much waits there; see PrefillReservation.h. */
    bool reservePrefill = false;
    /** Engines that declined a load are not asked again before the time that they named. */
    bool keepDeclines = false;
    /** A call may wait for a load of its adapter that is already under way at an engine. */
    bool awaitLoads = false;
    /** Calls that find no capacity wait in one queue for each service; see CapacityQueue.h. */
    bool queue = false;

    auto operator<=>(const PlacementSettings &) const = default;
};

} // namespace monsoonbay
