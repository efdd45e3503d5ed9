#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * A document as VMs pass it on: compressed, and told from others by its digest. It is whole, or
 * what changed since another one that the reader has.
 */
struct PackedDocument
{
    std::int64_t version = 0; ///< 0: there is none
    std::uint64_t digest = 0; ///< of `bytes`
    std::uint64_t plainBytes = 0; ///< when unpacked
    std::string bytes;
    std::uint64_t baseDigest = 0; ///< of the whole one that this is a change of; 0: this is whole

    auto operator<=>(const PackedDocument &) const = default;
};

PackedDocument packDocument(std::int64_t version, std::string_view plain);

/** What changed since a whole document; nothing if it is damaged. */
std::optional<PackedDocument> packDelta(const PackedDocument &base, std::int64_t version,
                                        std::string_view plain);

/** The document, if it is whole; nothing if it is damaged or longer than any that is taken. */
std::optional<std::string> unpackDocument(const PackedDocument &packed);

/** The document, also if it is a change of `base`; nothing if it is damaged, or of another one. */
std::optional<std::string> unpackWithBase(const PackedDocument &base, const PackedDocument &packed);

} // namespace monsoonbay
