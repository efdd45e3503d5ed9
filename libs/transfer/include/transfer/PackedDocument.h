#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * A document as sent between VMs: compressed and identified by its digest. It is either complete or
 * a delta from another document that the reader has.
 */
struct PackedDocument
{
    std::int64_t version = 0; ///< 0: none
    std::uint64_t digest = 0; ///< of `bytes`
    std::uint64_t plainBytes = 0; ///< uncompressed length
    std::string bytes;
    std::uint64_t baseDigest = 0; ///< of the complete document that a delta is based on; 0: this is
                                  ///< complete

    auto operator<=>(const PackedDocument &) const = default;
};

PackedDocument packDocument(std::int64_t version, std::string_view plain);

/** A packed delta from the complete document `base`; nothing if that is damaged. */
std::optional<PackedDocument> packDelta(const PackedDocument &base, std::int64_t version,
                                        std::string_view plain);

/** The uncompressed document; nothing if this is a delta, damaged or too long. */
std::optional<std::string> unpackDocument(const PackedDocument &packed);

/**
 * The uncompressed document, also from a delta based on `base`; nothing if it is damaged or has
 * another base.
 */
std::optional<std::string> unpackWithBase(const PackedDocument &base, const PackedDocument &packed);

} // namespace monsoonbay
