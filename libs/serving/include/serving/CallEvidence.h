#pragma once

#include <compare>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/CallIdentity.h"

namespace monsoonbay {

/** What one VM saw become of calls at a target: it ended under them, or they were answered. */
struct CallEvidence
{
    std::string target; ///< that ended; empty: the calls were answered
    std::vector<CallIdentity> calls;
    Instant at{};

    auto operator<=>(const CallEvidence &) const = default;
};

} // namespace monsoonbay
