#pragma once

#include <cstdint>

namespace monsoonbay {

/** How one send of a call ended. */
enum class AttemptResult : std::uint8_t {
    Done, ///< the caller has its whole answer
    Unverified, ///< the caller has all that came, and nothing showed that it is whole
    Unreachable, ///< nothing was sent
    NotRun, ///< the target says it has not run the call
    Failed, ///< the target answered with an error of its own
    Broken, ///< the answer was lost, cut off or spoiled
    CallerDisconnected, ///< the caller does not take the answer
    Refused, ///< the call ends here with CallAnswer::refusal, nothing was sent or it has not run
};

} // namespace monsoonbay
