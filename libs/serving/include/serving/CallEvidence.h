#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/CallIdentity.h"

namespace monsoonbay {

/**
 * What one VM observed about calls at a target: it crashed (its process ended while they ran), or
 * they were answered.
 */
struct CallEvidence
{
    std::string target; ///< that crashed; empty: the calls were answered
    std::int64_t nextStartTime =
        0; ///< of its start after the crash, ms by its own clock; 0: not known
    std::vector<CallIdentity> calls;
    Instant at{};

    auto operator<=>(const CallEvidence &) const = default;
};

} // namespace monsoonbay
