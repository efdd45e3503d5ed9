#include "transfer/DocumentShelf.h"

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

bool isWanted(const PackedDocument &packed, const PartWanted &wanted)
{
    return packed.version == wanted.version && packed.digest == wanted.digest;
}

void dropUnread(DocumentShelf &shelf, Instant now)
{
    std::erase_if(shelf.formers, [now](const ReadDocument &former) {
        return now - former.readAt > readerSilence;
    });
    if (shelf.formers.size() > mostFormers)
        shelf.formers.resize(mostFormers);
}

/** The document that the asker has a part of, beside the newest; null if there is none. */
ReadDocument *findWanted(DocumentShelf &shelf, const PartWanted &wanted)
{
    const auto found = std::find_if(
        shelf.formers.begin(), shelf.formers.end(),
        [&wanted](const ReadDocument &former) { return isWanted(former.packed, wanted); });
    return found == shelf.formers.end() ? nullptr : &*found;
}

/**
 * What changed since the asker's document; null if that is not kept. It is made once for all
 * askers, also where it is as long as the whole.
 */
ReadDocument *changeFor(DocumentShelf &shelf, std::uint64_t baseDigest, Instant now)
{
    if (baseDigest == 0)
        return nullptr;
    for (ReadDocument &former : shelf.formers) {
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
    std::optional<PackedDocument> change = packChange(*base, shelf.newest.version, *newest);
    if (!change)
        return nullptr;
    putBeside(shelf, std::move(*change), now);
    return &shelf.formers.front();
}

DocumentPart readFrom(ReadDocument &document, std::uint64_t offset, std::size_t mostBytes,
                      Instant now)
{
    document.readAt = now;
    return partOf(document.packed, offset, mostBytes);
}

} // namespace

// Symptom without those that were replaced: where configurations change faster than a link carries
// one, each reader begins anew with each, and none is ever in force.
void putNewest(DocumentShelf &shelf, PackedDocument packed, Instant now)
{
    if (shelf.newestReadAt != Instant{})
        shelf.formers.push_front({shelf.newest, shelf.newestReadAt});
    if (shelf.newest.version > 0)
        shelf.bases.push_front(std::move(shelf.newest));
    if (shelf.bases.size() > mostBases)
        shelf.bases.resize(mostBases);
    shelf.newest = std::move(packed);
    shelf.newestReadAt = Instant{};
    dropUnread(shelf, now);
}

void putBeside(DocumentShelf &shelf, PackedDocument packed, Instant now)
{
    shelf.formers.push_front({std::move(packed), now});
    dropUnread(shelf, now);
}

bool hasWanted(const DocumentShelf &shelf, const PartWanted &wanted)
{
    return isWanted(shelf.newest, wanted)
        || std::any_of(
               shelf.formers.begin(), shelf.formers.end(),
               [&wanted](const ReadDocument &former) { return isWanted(former.packed, wanted); });
}

DocumentPart readPart(DocumentShelf &shelf, const PartWanted &wanted, Instant now)
{
    dropUnread(shelf, now);
    if (ReadDocument *const going = findWanted(shelf, wanted))
        return readFrom(*going, wanted.offset, wanted.mostBytes, now);
    if (isWanted(shelf.newest, wanted)) {
        shelf.newestReadAt = now;
        return partOf(shelf.newest, wanted.offset, wanted.mostBytes);
    }
    if (ReadDocument *const change = changeFor(shelf, wanted.baseDigest, now))
        return readFrom(*change, 0, wanted.mostBytes, now);
    shelf.newestReadAt = now;
    return partOf(shelf.newest, 0, wanted.mostBytes);
}

} // namespace monsoonbay
