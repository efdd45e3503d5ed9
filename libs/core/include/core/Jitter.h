#pragma once

#include "core/Time.h"

namespace monsoonbay {

/** Up to a quarter longer, so that callers do not come back together; `draw` is in [0, 1). */
inline Duration withJitter(Duration wait, double draw) noexcept
{
    constexpr double jitter = 0.25;
    return fromSeconds(toSeconds(wait) * (1 + jitter * draw));
}

} // namespace monsoonbay
