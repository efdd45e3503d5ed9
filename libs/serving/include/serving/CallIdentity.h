#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonbay {

/** Content and caller of a call, as hashes; equal for repeated attempts with different ids. */
struct CallIdentity
{
    std::uint64_t content = 0; ///< hash of method, host, path and body
    std::uint64_t caller = 0; ///< hash of the caller's address

    auto operator<=>(const CallIdentity &) const = default;
};

/** Computes the identity of a call without copying its text. `path` includes the query. */
CallIdentity identifyCall(std::string_view method, std::string_view host, std::string_view path,
                          std::string_view body, std::string_view caller) noexcept;

/** Both hashes in hexadecimal, for logs; of the caller's hash only the upper 32 bits. */
std::string identityText(const CallIdentity &identity);

} // namespace monsoonbay
