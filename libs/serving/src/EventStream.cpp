#include "serving/EventStream.h"

#include <charconv>

namespace monsoonbay {

namespace {

constexpr std::string_view idField = "id:";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    return text;
}

/** Searches on for the end of the first event; its end in `pending`, or nullopt: not yet there. */
std::optional<std::size_t> findEventEnd(EventStream &stream)
{
    while (true) {
        const std::size_t lineEnd = stream.pending.find('\n', stream.searched);
        if (lineEnd == std::string::npos) {
            stream.searched = stream.pending.size();
            return std::nullopt;
        }
        const std::string_view line =
            std::string_view(stream.pending).substr(stream.lineStart, lineEnd - stream.lineStart);
        stream.lineStart = lineEnd + 1;
        stream.searched = stream.lineStart;
        if (line.empty() || line == "\r")
            return stream.lineStart;
    }
}

} // namespace

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t lineEnd = event.find('\n');
        const std::string_view line = event.substr(0, lineEnd);
        event = lineEnd == std::string_view::npos ? std::string_view() : event.substr(lineEnd + 1);
        if (!line.starts_with(idField))
            continue;
        const std::string_view digits = trimmed(line.substr(idField.size()));
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), id);
        if (error == std::errc() && end == digits.data() + digits.size())
            return id;
    }
    return std::nullopt;
}

// A run that continues a broken stream may begin with events that the caller already has. They are
// dropped here, as the caller would otherwise see a part of its answer twice.
std::string takeEvents(EventStream &stream, std::string_view bytes)
{
    stream.pending.append(bytes);
    std::string out;
    std::size_t begin = 0;
    while (const std::optional<std::size_t> end = findEventEnd(stream)) {
        const std::string_view event = std::string_view(stream.pending).substr(begin, *end - begin);
        begin = *end;
        const std::optional<std::uint64_t> id = eventId(event);
        const bool repeated = id && stream.lastId && *id <= *stream.lastId;
        if (repeated)
            continue;
        if (id)
            stream.lastId = id;
        out.append(event);
    }
    stream.pending.erase(0, begin);
    stream.lineStart -= begin;
    stream.searched -= begin;
    return out;
}

bool isInsideEvent(const EventStream &stream) noexcept
{
    return !stream.pending.empty();
}

void restartEvents(EventStream &stream)
{
    stream.pending.clear();
    stream.lineStart = 0;
    stream.searched = 0;
}

} // namespace monsoonbay
