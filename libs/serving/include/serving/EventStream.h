#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * Splits a text/event-stream into complete events, so that a caller never gets part of one. An
 * event ends with an empty line; lines end with LF or CRLF.
 */
struct EventStream
{
    std::string pending; ///< bytes after the last complete event
    std::size_t lineStart = 0; ///< in `pending`, of the line that is not complete
    std::size_t searched = 0; ///< bytes of `pending` that were searched for the line's end
    std::optional<std::uint64_t> lastId; ///< of the last event returned that has one
};

/** Appends received bytes; returns the complete events that can be forwarded now. */
std::string takeEvents(EventStream &stream, std::string_view bytes);

/** True if the stream would be cut inside an event if it ended here. */
bool isInsideEvent(const EventStream &stream) noexcept;

/** Prepares for the answer of another run that continues after `lastId`; drops pending bytes. */
void restartEvents(EventStream &stream);

/** The id of one complete event; nullopt if it has none. */
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace monsoonbay
