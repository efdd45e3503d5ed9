#include "serving/CallIdentity.h"

#include <array>
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

std::string identityText(const CallIdentity &identity)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx/%08llx",
                  static_cast<unsigned long long>(identity.content),
                  static_cast<unsigned long long>(identity.caller >> 32U));
    return text.data();
}

} // namespace monsoonbay
