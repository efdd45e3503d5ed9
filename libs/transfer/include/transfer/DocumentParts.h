#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "transfer/PackedDocument.h"

namespace monsoonbay {

/** Some bytes of a packed document, and which one it is. */
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

/** A packed document of which not all has come yet. */
struct PartialDocument
{
    std::uint64_t totalBytes = 0;
    PackedDocument packed; ///< its bytes so far, from the beginning

    auto operator<=>(const PartialDocument &) const = default;
};

enum class PartOutcome : std::uint8_t {
    More, ///< it was added; others are missing
    Whole, ///< it was the last one
    Useless, ///< it does not go on where the document ends so far
    Later, ///< the sender is reading the document itself, and has no more of it yet
};

/** The part that begins at `offset`, of at most `maxBytes`; empty past the end. */
DocumentPart partOf(const PackedDocument &packed, std::uint64_t offset, std::size_t maxBytes);

/** The same of a document of which not all has come: empty where it ends so far. */
DocumentPart partOf(const PartialDocument &partial, std::uint64_t offset, std::size_t maxBytes);

/** Adds a part; the first part of another document takes the place of the one so far. */
PartOutcome appendPart(PartialDocument &partial, DocumentPart part);

} // namespace monsoonbay
