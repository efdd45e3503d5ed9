#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonbay {

/** What delimits the body of an answer, and so whether a truncated one is noticed (RFC 9112). */
enum class BodyDelimiter : std::uint8_t {
    SelfDelimited, ///< its Content-Length or its last chunk: it is known to be complete
    CloseDelimited, ///< the end of its connection, which looks the same when the sender exits
};

constexpr std::string_view delimiterName(BodyDelimiter delimiter) noexcept
{
    return delimiter == BodyDelimiter::SelfDelimited ? "framing" : "connection";
}

} // namespace monsoonbay
