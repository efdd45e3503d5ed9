#include "core/Digest.h"

#include <memory>
#include <new>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace monsoonbay {

namespace {

/** Fetched once, as fetching takes longer than computing a digest. */
const EVP_MD *sha256Algorithm()
{
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
}

struct ContextEnd
{
    void operator()(EVP_MD_CTX *context) const
    {
        EVP_MD_CTX_free(context);
    }
};

} // namespace

Sha256 sha256(std::string_view text)
{
    thread_local const std::unique_ptr<EVP_MD_CTX, ContextEnd> context(EVP_MD_CTX_new());
    Sha256 digest{};
    const bool made = EVP_DigestInit_ex2(context.get(), sha256Algorithm(), nullptr) == 1
        && EVP_DigestUpdate(context.get(), text.data(), text.size()) == 1
        && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
    // Fails only when out of memory. An incomplete digest could match a wrong key.
    if (!made)
        throw std::bad_alloc();
    return digest;
}

std::string sha256Hex(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    const Sha256 digest = sha256(text);
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
