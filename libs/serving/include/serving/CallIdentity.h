#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "serving/CallMetadata.h"

namespace monsoonbay {

/** What calls have in common, as hashes; equal for repeated attempts with different ids. */
struct CallIdentity
{
    std::uint64_t content = 0; ///< hash of method, host, path and body
    std::uint64_t caller = 0; ///< hash of the caller's address
    std::vector<std::uint64_t> parts =
        {}; ///< hashes of the prompt's shared parts; sorted, no two alike

    auto operator<=>(const CallIdentity &) const = default;
};

/** Computes the identity of a call without copying its text. `path` includes the query. */
CallIdentity identifyCall(std::string_view method, std::string_view host, std::string_view path,
                          std::string_view body, std::string_view caller) noexcept;

/** Parts of a prompt that an identity names; a caller may name thousands. */
constexpr std::size_t maxIdentityParts = 16;

/**
 * Hashes of the first parts of a prompt, each by its own id, whatever stands before it. The last
 * part is left out, as it belongs to the call or its session.
 */
std::vector<std::uint64_t> sharedPartsOf(const std::vector<PromptPart> &prompt);

/**
 * The hashes in hexadecimal, for logs: CONTENT/CALLER or CONTENT/CALLER+PART+PART; of the caller's
 * hash only the upper 32 bits.
 */
std::string identityText(const CallIdentity &identity);

} // namespace monsoonbay
