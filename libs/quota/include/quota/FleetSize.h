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
    Instant heardAt{}; ///< when all known ones were heard last

    auto operator<=>(const FleetSize &) const = default;
};

/**
 * `inTouch` VMs are heard now, this one among them; `listed` are known by name. `mayForget`: the
 * store was heard lately, so that silent VMs are not only cut off from this one.
 */
void noteInTouch(FleetSize &size, int inTouch, int listed, bool mayForget, Instant now) noexcept;

} // namespace monsoonbay
