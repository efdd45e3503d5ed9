#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonbay {

/** What shows that an answer is whole. */
enum class BodyDelimiter : std::uint8_t {
    SelfDelimited, ///< it has as many bytes as its head says, or its last chunk has come
    CloseDelimited, ///< nothing: its connection ends in order, as it also does when the sender ends
};

constexpr std::string_view delimiterName(BodyDelimiter end) noexcept
{
    return end == BodyDelimiter::SelfDelimited ? "framing" : "connection";
}

} // namespace monsoonbay
