#include "serving/PromptPrefixes.h"

#include <algorithm>

#include "core/Ids.h"

namespace monsoonbay {

namespace {

constexpr std::uint64_t tagBits = 0xffff;

/** No model reads a part with more tokens. */
constexpr int maxPartTokens = 1'000'000;

} // namespace

// If all parts of a prompt are named, the last one is the call's own text. Other calls do not share
// it, and tracking it would evict prefixes that they do share.
std::vector<PromptPrefix> promptPrefixes(std::string_view adapter,
                                         const std::vector<PromptPart> &parts, double promptTokens)
{
    std::vector<PromptPrefix> prefixes;
    if (parts.empty())
        return prefixes;
    prefixes.reserve(std::min(parts.size(), maxPrefixes));
    const std::uint64_t tag = prefixTagOf(adapter);
    std::uint64_t hash = stableHash(adapter);
    int tokens = 0;
    for (const PromptPart &part : parts) {
        if (part.tokens < 0 || part.tokens > maxPartTokens || prefixes.size() == maxPrefixes)
            return prefixes;
        hash = stableHash(part.id, hash);
        tokens += part.tokens;
        const bool ownText = tokens >= promptTokens && !prefixes.empty();
        if (tokens > promptTokens || ownText)
            return prefixes;
        prefixes.push_back({(hash & ~tagBits) | tag, tokens});
    }
    return prefixes;
}

std::uint64_t prefixTag(std::uint64_t hash) noexcept
{
    return hash & tagBits;
}

std::uint64_t prefixTagOf(std::string_view adapter) noexcept
{
    return stableHash(adapter) & tagBits;
}

std::uint64_t engineKey(std::string_view target, std::int64_t startTime) noexcept
{
    return stableHash(target, static_cast<std::uint64_t>(startTime));
}

} // namespace monsoonbay
