#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/Time.h"
#include "observe/Events.h"

namespace monsoonbay {

/** Bounds how many events of each kind are written in a second. */
class EventLimiter
{
public:
    explicit EventLimiter(int perSecond);

    /** Nothing: leave it out. Else the number of this kind left out since the last one written. */
    std::optional<std::uint64_t> admit(EventId id, Instant now);

private:
    struct Window
    {
        Instant begun{};
        int written = 0;
        std::uint64_t leftOut = 0;
    };

    int perSecond;
    std::unordered_map<EventId, Window> windows;
};

} // namespace monsoonbay
