#pragma once

#include <deque>

#include "core/Time.h"
#include "transfer/DocumentParts.h"

namespace monsoonbay {

/** A document other than the newest, kept for readers that have a part of it. */
struct CachedDocument
{
    PackedDocument packed;
    Instant readAt{}; ///< last read of a part
};

/** The documents of a VM that others read in parts: the newest, and older ones still in use. */
struct DocumentCache
{
    PackedDocument newest;
    Instant newestReadAt{}; ///< zero: never
    std::deque<CachedDocument> cachedDocuments; ///< replaced documents and deltas; newest first
    std::deque<PackedDocument> bases; ///< recently replaced complete documents, newest first
};

/** A request for a part. */
struct PartRequest
{
    std::int64_t version = 0; ///< of the document that the reader has a part of; 0: the newest
    std::uint64_t digest = 0;
    std::uint64_t offset = 0;
    std::size_t maxBytes = 0;
    std::uint64_t baseDigest = 0; ///< of the complete document that the reader has; 0: none

    auto operator<=>(const PartRequest &) const = default;
};

/** Replaces the newest document. */
void setNewest(DocumentCache &cache, PackedDocument packed, Instant now);

/** Keeps a document for other readers next to the newest one. */
void addCached(DocumentCache &cache, PackedDocument packed, Instant now);

/** True if the document that the reader has a part of is available. */
bool hasRequested(const DocumentCache &cache, const PartRequest &request);

/**
 * The requested part. If that document is no longer available: the beginning of a delta from the
 * reader's complete document, or else of the newest document.
 */
DocumentPart readPart(DocumentCache &cache, const PartRequest &request, Instant now);

} // namespace monsoonbay
