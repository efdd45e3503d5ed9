#pragma once

#include <compare>

namespace monsoonbay {

/** Which ways of finding a place at an engine a deployment uses. */
struct PlacementSettings
{
    /** Engines that are expected to meet a call's objective go first; see ForecastChoice.h. */
    bool forecast = false;
    /** Calls ask the VM that orders an engine what waits there; see PrefillReservation.h. */
    bool reservePrefill = false;
    /** Engines that declined a load are not asked before the time that they named. */
    bool keepDeclines = false;
    /** A call waits for a load of its adapter that is under way at another engine. */
    bool awaitLoads = false;
    /** Calls without a place wait in one order; see CapacityQueue.h. */
    bool queue = false;

    auto operator<=>(const PlacementSettings &) const = default;
};

} // namespace monsoonbay
