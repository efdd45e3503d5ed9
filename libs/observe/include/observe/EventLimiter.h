#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/Time.h"
#include "observe/Events.h"

namespace monsoonbay {

/** Rate limiter for events: limits how many of each kind are written per second. */
class EventLimiter
{
public:
    explicit EventLimiter(int perSecond);

    /**
     * Nothing if the event must not be written; otherwise the number of events of this kind that
     * were left out since the last one written.
     */
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
