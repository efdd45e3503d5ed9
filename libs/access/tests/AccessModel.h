#pragma once

#include <cstdint>

namespace monsoonbay {

/** A fault put into the model on purpose; the exploration has to find each. */
enum class AccessFault : std::uint8_t {
    None,
    CountsFromAnswer, ///< a confirmation counts from the end of the read
    ForgetsOwnWait, ///< an age is taken as of the arrival of the answer that carries it
    IgnoresVersion, ///< a confirmation of another version confirms the one in force
    ClockStops, ///< the VM's clock stands still while it is suspended
};

struct Exploration
{
    std::uint64_t states = 0;
    bool broken = false; ///< a key was honoured later than the bound after it was taken
};

/**
 * Plays all schedules of `depth` steps of a store, a VM that reads it and one that learns from
 * that: keys taken and given to another workspace, reads and answers that are late, lost or as old
 * as they may be, a VM that is suspended, cut off or restarted.
 */
Exploration exploreAccess(int depth, AccessFault fault);

} // namespace monsoonbay
