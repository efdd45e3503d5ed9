#pragma once

#include <cstdint>
#include <vector>

#include "Gateway.pb.h"
#include "serving/PrefixLog.h"

namespace monsoonbay {

/** What a report or its answer carries of prefixes. */
struct PrefixUpdates
{
    std::uint64_t seen = 0; ///< in a report: last entry of the receiver's log that is known
    std::uint64_t change = 0; ///< in an answer: last entry of the sender's log that is told
    std::vector<PrefixRead> reads; ///< in the order of engines

    auto operator<=>(const PrefixUpdates &) const = default;
};

gateway::v1::PrefixNews encodePrefixUpdates(const PrefixUpdates &update);

/** What is malformed or beyond the bounds of a message is left out. */
PrefixUpdates decodePrefixUpdates(const gateway::v1::PrefixNews &message);

} // namespace monsoonbay
