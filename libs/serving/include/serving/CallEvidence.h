#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/CallIdentity.h"

namespace monsoonbay {

/** What one VM saw become of calls at a target: it ended under them, or they were answered. */
struct CallEvidence
{
    std::string target; ///< that ended; empty: the calls were answered
    std::int64_t nextStartTime = 0; ///< its start after that end, ms by its own clock; 0: not known
    std::vector<CallIdentity> calls;
    Instant at{};

    auto operator<=>(const CallEvidence &) const = default;
};

} // namespace monsoonbay
