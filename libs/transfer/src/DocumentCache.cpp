#include "transfer/DocumentCache.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

/** An active reader asks again within a few ms; one that has been silent for this long has left. */
constexpr Duration readerSilence = std::chrono::seconds(2);
/** Bounds the memory when versions follow each other faster than they can be read. */
constexpr std::size_t mostFormers = 8;
/** Number of versions that a reader may be behind and still receive a delta. */
constexpr std::size_t mostBases = 4;

bool isWanted(const PackedDocument &packed, const PartRequest &wanted)
{
    return packed.version == wanted.version && packed.digest == wanted.digest;
}

void dropUnread(DocumentCache &shelf, Instant now)
{
    std::erase_if(shelf.cachedDocuments, [now](const CachedDocument &former) {
        return now - former.readAt > readerSilence;
    });
    if (shelf.cachedDocuments.size() > mostFormers)
        shelf.cachedDocuments.resize(mostFormers);
}

/** The document other than the newest that the reader has a part of; null if there is none. */
CachedDocument *findWanted(DocumentCache &shelf, const PartRequest &wanted)
{
    const auto found = std::find_if(
        shelf.cachedDocuments.begin(), shelf.cachedDocuments.end(),
        [&wanted](const CachedDocument &former) { return isWanted(former.packed, wanted); });
    return found == shelf.cachedDocuments.end() ? nullptr : &*found;
}

/**
 * Delta from the reader's complete document; null if that is no longer kept. It is computed once
 * for all readers, even if it turns out as long as the complete document.
 */
CachedDocument *changeFor(DocumentCache &shelf, std::uint64_t baseDigest, Instant now)
{
    if (baseDigest == 0)
        return nullptr;
    for (CachedDocument &former : shelf.cachedDocuments) {
        if (former.packed.baseDigest == baseDigest && former.packed.version == shelf.newest.version)
            return &former;
    }
    const auto base =
        std::find_if(shelf.bases.begin(), shelf.bases.end(),
                     [&](const PackedDocument &former) { return former.digest == baseDigest; });
    if (base == shelf.bases.end())
        return nullptr;
    const std::optional<std::string> newest = unpackDocument(shelf.newest);
    if (!newest)
        return nullptr;
    std::optional<PackedDocument> change = packDelta(*base, shelf.newest.version, *newest);
    if (!change)
        return nullptr;
    addCached(shelf, std::move(*change), now);
    return &shelf.cachedDocuments.front();
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
void setNewest(DocumentCache &shelf, PackedDocument packed, Instant now)
{
    if (shelf.newestReadAt != Instant{})
        shelf.cachedDocuments.push_front({shelf.newest, shelf.newestReadAt});
    if (shelf.newest.version > 0)
        shelf.bases.push_front(std::move(shelf.newest));
    if (shelf.bases.size() > mostBases)
        shelf.bases.resize(mostBases);
    shelf.newest = std::move(packed);
    shelf.newestReadAt = Instant{};
    dropUnread(shelf, now);
}

void addCached(DocumentCache &shelf, PackedDocument packed, Instant now)
{
    shelf.cachedDocuments.push_front({std::move(packed), now});
    dropUnread(shelf, now);
}

bool hasRequested(const DocumentCache &shelf, const PartRequest &wanted)
{
    return isWanted(shelf.newest, wanted)
        || std::any_of(
               shelf.cachedDocuments.begin(), shelf.cachedDocuments.end(),
               [&wanted](const CachedDocument &former) { return isWanted(former.packed, wanted); });
}

DocumentPart readPart(DocumentCache &shelf, const PartRequest &wanted, Instant now)
{
    dropUnread(shelf, now);
    if (CachedDocument *const going = findWanted(shelf, wanted))
        return readFrom(*going, wanted.offset, wanted.maxBytes, now);
    if (isWanted(shelf.newest, wanted)) {
        shelf.newestReadAt = now;
        return partOf(shelf.newest, wanted.offset, wanted.maxBytes);
    }
    if (CachedDocument *const change = changeFor(shelf, wanted.baseDigest, now))
        return readFrom(*change, 0, wanted.maxBytes, now);
    shelf.newestReadAt = now;
    return partOf(shelf.newest, 0, wanted.maxBytes);
}

} // namespace monsoonbay
