#include "observe/EventLimiter.h"

namespace monsoonbay {

namespace {

constexpr Duration windowLength = std::chrono::seconds(1);

} // namespace

EventLimiter::EventLimiter(int perSecond)
    : perSecond(perSecond)
{ }

std::optional<std::uint64_t> EventLimiter::admit(EventId id, Instant now)
{
    Window &window = this->windows[id];
    if (now - window.begun >= windowLength) {
        window.begun = now;
        window.written = 0;
    }
    if (window.written >= this->perSecond) {
        ++window.leftOut;
        return std::nullopt;
    }
    ++window.written;
    const std::uint64_t leftOut = window.leftOut;
    window.leftOut = 0;
    return leftOut;
}

} // namespace monsoonbay
