#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/** A document as VMs pass it on: compressed, and told from others by its digest. */
struct PackedDocument
{
    std::int64_t version = 0; ///< 0: there is none
    std::uint64_t digest = 0; ///< of `bytes`
    std::uint64_t plainBytes = 0; ///< when unpacked
    std::string bytes;

    auto operator<=>(const PackedDocument &) const = default;
};

PackedDocument packDocument(std::int64_t version, std::string_view plain);

/** The document; nothing if it is damaged or longer than any that is taken. */
std::optional<std::string> unpackDocument(const PackedDocument &packed);

} // namespace monsoonbay
