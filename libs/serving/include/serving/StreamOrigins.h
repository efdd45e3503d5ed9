#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** Software version of the target that started a stream. */
struct StreamOrigin
{
    std::string software;
    Instant until{}; ///< deadline of the caller

    auto operator<=>(const StreamOrigin &) const = default;
};

/** Identifies a stream: 64-bit hash of the id of the attempt that received its first event. */
using StreamId = std::uint64_t;

StreamId streamIdOf(std::string_view attemptId) noexcept;

/** Origins of the streams that callers may resume; bounded, the oldest are dropped first. */
struct StreamOrigins
{
    std::unordered_map<StreamId, StreamOrigin> byId;
    std::deque<std::pair<Instant, StreamId>> order; ///< in order of insertion
};

/** Origins of 20,000 streams take 2.5 MB; a VM starts about 500 streams in 15 s. */
constexpr std::size_t maxStreamOrigins = 20000;

/** Records the origin of a stream; of one recorded before only the deadline may be extended. */
void recordOrigin(StreamOrigins &origins, StreamId id, StreamOrigin origin, Instant now);

/** Removes streams whose callers' deadline has passed. */
void forgetOrigins(StreamOrigins &origins, Instant now);

/** Software version of the target that started the stream; nothing if unknown or expired. */
std::optional<std::string> originOf(const StreamOrigins &origins, StreamId id, Instant now);

/**
 * Indices of the `count` VMs in `names` that store the origin of a stream, by rendezvous hashing:
 * all VMs choose the same ones, and the loss of one only moves the streams that it stored.
 */
std::vector<std::size_t> chooseReplicas(StreamId id, const std::vector<std::string> &names,
                                        std::size_t count);

} // namespace monsoonbay
