#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "transfer/PackedDocument.h"

namespace monsoonbay {

/** Consecutive bytes of a packed document, and the identity of that document. */
struct DocumentPart
{
    std::int64_t version = 0; ///< 0: the sender has no document
    std::uint64_t digest = 0;
    std::uint64_t plainBytes = 0;
    std::uint64_t totalBytes = 0; ///< of the packed document
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint64_t baseDigest = 0; ///< see PackedDocument

    auto operator<=>(const DocumentPart &) const = default;
};

/** A packed document that has been received only partly. */
struct PartialDocument
{
    std::uint64_t totalBytes = 0;
    PackedDocument packed; ///< bytes received so far, from the beginning

    auto operator<=>(const PartialDocument &) const = default;
};

enum class PartOutcome : std::uint8_t {
    More, ///< added; more parts are missing
    Whole, ///< added; the document is complete
    Useless, ///< not added, as it does not continue the bytes received so far
    Later, ///< empty, as the sender itself has not received more of the document yet
};

/** The part that starts at `offset`, of at most `maxBytes`; empty past the end. */
DocumentPart partOf(const PackedDocument &packed, std::uint64_t offset, std::size_t maxBytes);

/** The same for a partly received document; empty past the bytes received so far. */
DocumentPart partOf(const PartialDocument &partial, std::uint64_t offset, std::size_t maxBytes);

/** Adds a part. The first part of another document replaces what was received so far. */
PartOutcome appendPart(PartialDocument &partial, DocumentPart part);

} // namespace monsoonbay
