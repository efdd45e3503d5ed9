#include "transfer/DocumentCache.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

/** An active reader asks again within a few ms; one that has been silent for this long has left. */
constexpr Duration readerTimeout = std::chrono::seconds(2);
/** Bounds the memory when versions follow each other faster than they can be read. */
constexpr std::size_t maxCachedDocuments = 8;
/** Number of versions that a reader may be behind and still receive a delta. */
constexpr std::size_t maxBases = 4;

bool matchesRequest(const PackedDocument &packed, const PartRequest &request)
{
    return packed.version == request.version && packed.digest == request.digest;
}

void dropUnread(DocumentCache &cache, Instant now)
{
    std::erase_if(cache.cachedDocuments, [now](const CachedDocument &cached) {
        return now - cached.readAt > readerTimeout;
    });
    if (cache.cachedDocuments.size() > maxCachedDocuments)
        cache.cachedDocuments.resize(maxCachedDocuments);
}

/** The document other than the newest that the reader has a part of; null if there is none. */
CachedDocument *findRequested(DocumentCache &cache, const PartRequest &request)
{
    const auto found = std::find_if(cache.cachedDocuments.begin(), cache.cachedDocuments.end(),
                                    [&request](const CachedDocument &cached) {
                                        return matchesRequest(cached.packed, request);
                                    });
    return found == cache.cachedDocuments.end() ? nullptr : &*found;
}

/**
 * Delta from the reader's complete document; null if that is no longer kept. It is computed once
 * for all readers, even if it turns out as long as the complete document.
 */
CachedDocument *deltaFor(DocumentCache &cache, std::uint64_t baseDigest, Instant now)
{
    if (baseDigest == 0)
        return nullptr;
    for (CachedDocument &cached : cache.cachedDocuments) {
        if (cached.packed.baseDigest == baseDigest && cached.packed.version == cache.newest.version)
            return &cached;
    }
    const auto base =
        std::find_if(cache.bases.begin(), cache.bases.end(),
                     [&](const PackedDocument &cached) { return cached.digest == baseDigest; });
    if (base == cache.bases.end())
        return nullptr;
    const std::optional<std::string> newest = unpackDocument(cache.newest);
    if (!newest)
        return nullptr;
    std::optional<PackedDocument> change = packDelta(*base, cache.newest.version, *newest);
    if (!change)
        return nullptr;
    addCached(cache, std::move(*change), now);
    return &cache.cachedDocuments.front();
}

DocumentPart readFrom(CachedDocument &document, std::uint64_t offset, std::size_t maxBytes,
                      Instant now)
{
    document.readAt = now;
    return partOf(document.packed, offset, maxBytes);
}

} // namespace

// Replaced documents are kept for their readers. Otherwise, when configurations change faster than
// a link transfers one, each reader would start over with every version and never put one in force.
void setNewest(DocumentCache &cache, PackedDocument packed, Instant now)
{
    if (cache.newestReadAt != Instant{})
        cache.cachedDocuments.push_front({cache.newest, cache.newestReadAt});
    if (cache.newest.version > 0)
        cache.bases.push_front(std::move(cache.newest));
    if (cache.bases.size() > maxBases)
        cache.bases.resize(maxBases);
    cache.newest = std::move(packed);
    cache.newestReadAt = Instant{};
    dropUnread(cache, now);
}

void addCached(DocumentCache &cache, PackedDocument packed, Instant now)
{
    cache.cachedDocuments.push_front({std::move(packed), now});
    dropUnread(cache, now);
}

bool hasRequested(const DocumentCache &cache, const PartRequest &request)
{
    return matchesRequest(cache.newest, request)
        || std::any_of(cache.cachedDocuments.begin(), cache.cachedDocuments.end(),
                       [&request](const CachedDocument &cached) {
                           return matchesRequest(cached.packed, request);
                       });
}

DocumentPart readPart(DocumentCache &cache, const PartRequest &request, Instant now)
{
    dropUnread(cache, now);
    if (CachedDocument *const continued = findRequested(cache, request))
        return readFrom(*continued, request.offset, request.maxBytes, now);
    if (matchesRequest(cache.newest, request)) {
        cache.newestReadAt = now;
        return partOf(cache.newest, request.offset, request.maxBytes);
    }
    if (CachedDocument *const change = deltaFor(cache, request.baseDigest, now))
        return readFrom(*change, 0, request.maxBytes, now);
    cache.newestReadAt = now;
    return partOf(cache.newest, 0, request.maxBytes);
}

} // namespace monsoonbay
