#include "core/Digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace monsoonbay {

std::string sha256Hex(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xfU]);
    }
    return hex;
}

bool equalInConstantTime(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace monsoonbay
