#pragma once

#include "core/Time.h"

namespace monsoonbay {

/** Adds up to a quarter, so that callers do not retry at the same moment; `draw` is in [0, 1). */
inline Duration withJitter(Duration wait, double draw) noexcept
{
    constexpr double jitter = 0.25;
    return fromSeconds(toSeconds(wait) * (1 + jitter * draw));
}

} // namespace monsoonbay
