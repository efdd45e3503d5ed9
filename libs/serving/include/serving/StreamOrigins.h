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

/** Of which version of its software the target was that began a stream. */
struct StreamOrigin
{
    std::string software;
    Instant until{}; ///< its caller waits no longer

    auto operator<=>(const StreamOrigin &) const = default;
};

/** A stream by the id of the attempt that brought its first event, 64 bits of a hash of it. */
using StreamId = std::uint64_t;

StreamId streamIdOf(std::string_view attemptId) noexcept;

/** Streams that callers may take up again; bounded in number, the oldest go first. */
struct StreamOrigins
{
    std::unordered_map<StreamId, StreamOrigin> byId;
    std::deque<std::pair<Instant, StreamId>> order; ///< as noted
};

/** What is known of 20,000 streams takes 2.5 MB; a VM begins some 500 in 15 s. */
constexpr std::size_t maxStreamOrigins = 20000;

/** Notes what began a stream; what was noted of it first holds. */
void recordOrigin(StreamOrigins &origins, StreamId id, StreamOrigin origin, Instant now);

/** Forgets streams whose callers wait no longer. */
void forgetOrigins(StreamOrigins &origins, Instant now);

/** Nothing: it is not known, or its caller waits no longer. */
std::optional<std::string> originOf(const StreamOrigins &origins, StreamId id, Instant now);

/**
 * The `count` of `names` that keep what is known of a stream, by rendezvous hashing: each VM finds
 * the same, and the loss of a name moves only what it kept.
 */
std::vector<std::size_t> chooseReplicas(StreamId id, const std::vector<std::string> &names,
                                        std::size_t count);

} // namespace monsoonbay
