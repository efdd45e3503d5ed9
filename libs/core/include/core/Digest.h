#pragma once

#include <string>
#include <string_view>

namespace monsoonbay {

/** SHA-256 of a text in lower-case hex; used for service tokens. */
std::string sha256Hex(std::string_view text);

/** Compares two texts in time that depends only on their lengths. */
bool equalInConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace monsoonbay
