#pragma once

#include <deque>

#include "core/Time.h"
#include "transfer/DocumentParts.h"

namespace monsoonbay {

/** A document beside the newest, kept for those that are in the middle of reading it. */
struct CachedDocument
{
    PackedDocument packed;
    Instant readAt{}; ///< a part was read last
};

/** The newest document of a VM, from which others read in parts. */
struct DocumentCache
{
    PackedDocument newest;
    Instant newestReadAt{}; ///< zero: never
    std::deque<CachedDocument> cachedDocuments; ///< replaced ones, and changes; newest first
    std::deque<PackedDocument> bases; ///< whole ones that were replaced lately, newest first
};

/** Which part is asked for. */
struct PartRequest
{
    std::int64_t version = 0; ///< of the document that the asker has a part of; 0: the newest
    std::uint64_t digest = 0;
    std::uint64_t offset = 0;
    std::size_t maxBytes = 0;
    std::uint64_t baseDigest = 0; ///< of the whole document that the asker has; 0: none

    auto operator<=>(const PartRequest &) const = default;
};

/** Puts a newer document in the place of the newest. */
void setNewest(DocumentCache &shelf, PackedDocument packed, Instant now);

/** Keeps a document that others may read, beside the newest. */
void addCached(DocumentCache &shelf, PackedDocument packed, Instant now);

/** True if the document that the asker has a part of is there. */
bool hasRequested(const DocumentCache &shelf, const PartRequest &wanted);

/**
 * The part asked for. If there is no such document: of what changed since the one that the asker
 * has, or else of the newest, from the beginning.
 */
DocumentPart readPart(DocumentCache &shelf, const PartRequest &wanted, Instant now);

} // namespace monsoonbay
