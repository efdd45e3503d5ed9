#pragma once

#include <cstdint>
#include <vector>

#include "Gateway.pb.h"
#include "serving/PrefixLog.h"

namespace monsoonbay {

/** The prefixes in a report or its answer. */
struct PrefixUpdates
{
    std::uint64_t seen = 0; ///< in a report: last received entry of the receiver's log
    std::uint64_t change = 0; ///< in an answer: last entry of the sender's log up to here
    std::vector<PrefixRead> reads; ///< grouped by engine

    auto operator<=>(const PrefixUpdates &) const = default;
};

gateway::v1::PrefixNews encodePrefixUpdates(const PrefixUpdates &update);

/** Omits entries that are malformed or exceed the limits of a message. */
PrefixUpdates decodePrefixUpdates(const gateway::v1::PrefixNews &message);

} // namespace monsoonbay
