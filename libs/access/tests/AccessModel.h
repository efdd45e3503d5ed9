#pragma once

#include <cstdint>

namespace monsoonbay {

/** A fault injected into the model; the exploration must find each of them. */
enum class AccessFault : std::uint8_t {
    None,
    CountsFromAnswer, ///< a confirmation counts from the end of the read
    ForgetsOwnWait, ///< an age counts from the arrival of the answer that carries it
    IgnoresVersion, ///< a confirmation of another version confirms the one in force
    ClockStops, ///< the VM's clock stops while the VM is suspended
};

struct Exploration
{
    std::uint64_t states = 0;
    bool broken = false; ///< a key was accepted later than the bound after its revocation
};

/**
 * Explores all schedules of `depth` steps of a store, a VM that reads it and a VM that learns from
 * that one: keys revoked and assigned to another workspace, reads and answers that are late, lost
 * or as outdated as possible, and a VM that is suspended, partitioned or restarted.
 */
Exploration exploreAccess(int depth, AccessFault fault);

} // namespace monsoonbay
