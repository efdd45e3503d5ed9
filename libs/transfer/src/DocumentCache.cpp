#include "transfer/DocumentCache.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

/** A reader that goes on asks again within a few ms; one that has not in this time has left. */
constexpr Duration readerSilence = std::chrono::seconds(2);
/** Bounds the memory where versions follow one another faster than they can be read. */
constexpr std::size_t mostFormers = 8;
/** Versions that a reader may be behind, and still be given what changed only. */
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

/** The document that the asker has a part of, beside the newest; null if there is none. */
CachedDocument *findWanted(DocumentCache &shelf, const PartRequest &wanted)
{
    const auto found = std::find_if(
        shelf.cachedDocuments.begin(), shelf.cachedDocuments.end(),
        [&wanted](const CachedDocument &former) { return isWanted(former.packed, wanted); });
    return found == shelf.cachedDocuments.end() ? nullptr : &*found;
}

/**
 * What changed since the asker's document; null if that is not kept. It is made once for all
 * askers, also where it is as long as the whole.
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

// Symptom without those that were replaced: where configurations change faster than a link carries
// one, each reader begins anew with each, and none is ever in force.
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
