#pragma once

#include <deque>

#include "core/Time.h"
#include "transfer/DocumentParts.h"

namespace monsoonbay {

/** A document that a newer one has replaced, kept for those that are in the middle of reading it.
 */
struct FormerDocument
{
    PackedDocument packed;
    Instant readAt{}; ///< a part was read last
};

/** The newest document of a VM, from which others read in parts. */
struct DocumentShelf
{
    PackedDocument newest;
    Instant newestReadAt{}; ///< zero: never
    std::deque<FormerDocument> formers; ///< newest first
};

/** Which part is asked for. */
struct PartWanted
{
    std::int64_t version = 0; ///< of the document that the asker has a part of; 0: the newest
    std::uint64_t digest = 0;
    std::uint64_t offset = 0;
    std::size_t mostBytes = 0;

    auto operator<=>(const PartWanted &) const = default;
};

/** Puts a newer document in the place of the newest. */
void putNewest(DocumentShelf &shelf, PackedDocument packed, Instant now);

/** The part asked for; of the newest document, from its beginning, if there is no such one. */
DocumentPart readPart(DocumentShelf &shelf, const PartWanted &wanted, Instant now);

} // namespace monsoonbay
