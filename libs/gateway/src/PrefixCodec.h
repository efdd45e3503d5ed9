#pragma once

#include <cstdint>
#include <vector>

#include <google/protobuf/message.h>

#include "serving/PrefixLog.h"

namespace monsoonbay {

/** What a report or its answer carries of prefixes. */
struct PrefixNews
{
    std::uint64_t seen = 0; ///< in a report: last entry of the receiver's log that is known
    std::uint64_t change = 0; ///< in an answer: last entry of the sender's log that is told
    std::vector<PrefixRead> reads; ///< in the order of engines

    auto operator<=>(const PrefixNews &) const = default;
};

/**
 * Adds the news to a message as field 30, which the generated code keeps as an unknown field. On
 * the wire it is
 *
 *     message EnginePrefixes {
 *       fixed64 engine = 1;
 *       repeated fixed64 prefixes = 2;
 *       repeated uint32 tokens = 3; // of each prefix
 *     }
 *     message PrefixNews {
 *       uint64 seen = 1;
 *       uint64 change = 2;
 *       repeated EnginePrefixes engines = 3;
 *     }
 *
 * Nothing is added if the news are empty.
 */
void encodePrefixNews(const PrefixNews &news, google::protobuf::Message &message);

/** What is malformed or beyond the bounds of a message is left out. */
PrefixNews decodePrefixNews(const google::protobuf::Message &message);

} // namespace monsoonbay
