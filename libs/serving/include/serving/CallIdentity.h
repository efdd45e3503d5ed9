#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonbay {

/** Tells whether two calls are the same work, whatever ids their attempts bear. */
struct CallIdentity
{
    std::uint64_t content = 0; ///< hash of method, host, path and body
    std::uint64_t caller = 0; ///< hash of the address that it came from

    auto operator<=>(const CallIdentity &) const = default;
};

/** Identity of a call; copies nothing. `path`: with its query. */
CallIdentity identifyCall(std::string_view method, std::string_view host, std::string_view path,
                          std::string_view body, std::string_view caller) noexcept;

/** For logs: both hashes as hexadecimal numbers. */
std::string identityText(const CallIdentity &identity);

} // namespace monsoonbay
