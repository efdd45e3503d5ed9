#pragma once

#include "core/Time.h"

namespace monsoonbay {

/**
 * VMs that may let calls run, whether they are heard or not.
 *
 * The part of the limits that belongs to VMs which are not heard is left to them: each of those, or
 * all that still hear each other, lets run just that part.
 */
struct FleetSize
{
    int known = 1;
    Instant seenAt{}; ///< when all known ones were heard last; zero: they are only listed
    Instant firstCountAt{}; ///< when the first count was noted
    int minReachable = 0; ///< that were heard at once in the present span
    Instant spanStartedAt{}; ///< zero: nothing was noted yet
    bool firstSpan = true;

    auto operator<=>(const FleetSize &) const = default;
};

/** What a VM knows of the number of VMs. */
struct VmCount
{
    int reachable = 1; ///< heard now, this one among them
    int listed = 1; ///< known by name; some of them may be gone for long
    bool storeReachable = false; ///< lately: silent VMs are not only cut off from this one

    auto operator<=>(const VmCount &) const = default;
};

void updateFleetSize(FleetSize &size, const VmCount &count, Instant now) noexcept;

} // namespace monsoonbay
