#include "core/Ids.h"

#include <array>

#include <xxhash.h>

namespace monsoonbay {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

AdapterRef parseAdapterRef(std::string_view text)
{
    const std::size_t at = text.rfind('@');
    const bool malformed = at == std::string_view::npos || at == 0 || at + 1 == text.size();
    if (malformed)
        return {};
    return {std::string(text.substr(0, at)), std::string(text.substr(at + 1))};
}

std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t candidate) noexcept
{
    const std::array<std::uint64_t, 2> pair{key, candidate};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace monsoonbay
