#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * Cuts a text/event-stream into whole events, so that a caller never gets a part of one. An event
 * ends with an empty line; lines end with LF or CRLF.
 */
struct EventStream
{
    std::string pending; ///< bytes after the last whole event
    std::optional<std::uint64_t> lastId; ///< of the last whole event given out
};

/** Takes bytes as they arrive; returns the whole events that can be passed on now. */
std::string takeEvents(EventStream &stream, std::string_view bytes);

/** True if an end of the stream here would be one inside an event. */
bool isInsideEvent(const EventStream &stream) noexcept;

/** Begins the answer of a further run that goes on after `lastId`; what is pending is dropped. */
void restartEvents(EventStream &stream);

/** The id of one whole event; nothing if it has none. */
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace monsoonbay
