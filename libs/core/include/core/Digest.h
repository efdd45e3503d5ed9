#pragma once

#include <array>
#include <string>
#include <string_view>

namespace monsoonbay {

using Sha256 = std::array<unsigned char, 32>;

Sha256 sha256(std::string_view text);

/** SHA-256 of a text in lower-case hexadecimal; used for service tokens. */
std::string sha256Hex(std::string_view text);

/** Compares two texts in time that depends only on their lengths. */
bool equalInConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace monsoonbay
