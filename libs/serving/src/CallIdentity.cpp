#include "serving/CallIdentity.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "core/Ids.h"

namespace monsoonbay {

// Each part is hashed with the hash of the previous parts as the seed. This needs no concatenated
// copy, and ("ab", "c") gets another hash than ("a", "bc").
CallIdentity identifyCall(std::string_view method, std::string_view host, std::string_view path,
                          std::string_view body, std::string_view caller) noexcept
{
    CallIdentity identity;
    for (const std::string_view part : {method, host, path, body})
        identity.content = stableHash(part, identity.content);
    identity.caller = stableHash(caller);
    return identity;
}

std::vector<std::uint64_t> sharedPartsOf(const std::vector<PromptPart> &prompt)
{
    std::vector<std::uint64_t> parts;
    const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
    for (std::size_t index = 0; index < std::min(shared, maxIdentityParts); ++index) {
        std::string id = prompt[index].id;
        for (char &digit : id)
            digit = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
        parts.push_back(stableHash(id));
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

std::string identityText(const CallIdentity &identity)
{
    std::array<char, 40> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx/%08llx",
                  static_cast<unsigned long long>(identity.content),
                  static_cast<unsigned long long>(identity.caller >> 32U));
    std::string text = digits.data();
    for (const std::uint64_t part : identity.parts) {
        std::snprintf(digits.data(), digits.size(), "+%016llx",
                      static_cast<unsigned long long>(part));
        text += digits.data();
    }
    return text;
}

} // namespace monsoonbay
