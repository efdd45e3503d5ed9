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

/** Length of the first event of `text`, including its empty line; 0: it is incomplete. */
std::size_t firstEventLength(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        const std::string_view rest = text.substr(line);
        if (rest.starts_with("\n"))
            return line + 1;
        if (rest.starts_with("\r\n"))
            return line + 2;
        const std::size_t lineEnd = text.find('\n', line);
        if (lineEnd == std::string_view::npos)
            return 0;
        line = lineEnd + 1;
    }
    return 0;
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
    while (true) {
        const std::string_view left = std::string_view(stream.pending).substr(begin);
        const std::string_view event = left.substr(0, firstEventLength(left));
        if (event.empty())
            break;
        begin += event.size();
        const std::optional<std::uint64_t> id = eventId(event);
        const bool repeated = id && stream.lastId && *id <= *stream.lastId;
        if (repeated)
            continue;
        if (id)
            stream.lastId = id;
        out.append(event);
    }
    stream.pending.erase(0, begin);
    return out;
}

bool isInsideEvent(const EventStream &stream) noexcept
{
    return !stream.pending.empty();
}

void restartEvents(EventStream &stream)
{
    stream.pending.clear();
}

} // namespace monsoonbay
