#pragma once

#include <cstdint>

namespace monsoonbay {

/** How one attempt of a call ended. */
enum class AttemptResult : std::uint8_t {
    Done, ///< the caller has its complete answer
    Unverified, ///< the caller has all that arrived, but nothing shows that it is complete
    Unreachable, ///< nothing was sent
    NotRun, ///< the target says that it has not run the call
    Failed, ///< the target answered with an error of its own
    Broken, ///< the answer was lost, truncated, or not authentic
    CallerDisconnected, ///< the answer cannot be written to the caller
    Refused, ///< the call ends with CallAnswer::refusal: nothing was sent, or it has not run
};

/** Why a target has not run a call that it received. */
enum class NotRunCause : std::uint8_t {
    None, ///< the attempt did not end so
    AdapterNotLoaded, ///< a load of the adapter was believed done a short time ago
    AdapterGone, ///< the target was believed to hold the adapter for longer
    OtherTarget, ///< another target has the address
    Full, ///< it has no room, or the call's time had passed
    Leaving, ///< it will shut down soon
};

} // namespace monsoonbay
