#include "transfer/DocumentShelf.h"

#include <algorithm>
#include <utility>

namespace monsoonbay {

namespace {

/** A reader that goes on asks again within a few ms; one that has not in this time has left. */
constexpr Duration readerSilence = std::chrono::seconds(2);
/** Bounds the memory where versions follow one another faster than they can be read. */
constexpr std::size_t mostFormers = 8;

bool isWanted(const PackedDocument &packed, const PartWanted &wanted)
{
    return packed.version == wanted.version && packed.digest == wanted.digest;
}

void dropUnread(DocumentShelf &shelf, Instant now)
{
    std::erase_if(shelf.formers, [now](const FormerDocument &former) {
        return now - former.readAt > readerSilence;
    });
    if (shelf.formers.size() > mostFormers)
        shelf.formers.resize(mostFormers);
}

} // namespace

// Symptom without the formers: where configurations change faster than a link carries one, each
// reader begins anew with each, and none is ever in force.
void putNewest(DocumentShelf &shelf, PackedDocument packed, Instant now)
{
    if (shelf.newestReadAt != Instant{})
        shelf.formers.push_front({std::move(shelf.newest), shelf.newestReadAt});
    shelf.newest = std::move(packed);
    shelf.newestReadAt = Instant{};
    dropUnread(shelf, now);
}

DocumentPart readPart(DocumentShelf &shelf, const PartWanted &wanted, Instant now)
{
    dropUnread(shelf, now);
    for (FormerDocument &former : shelf.formers) {
        if (!isWanted(former.packed, wanted))
            continue;
        former.readAt = now;
        return partOf(former.packed, wanted.offset, wanted.mostBytes);
    }
    shelf.newestReadAt = now;
    const std::uint64_t offset = isWanted(shelf.newest, wanted) ? wanted.offset : 0;
    return partOf(shelf.newest, offset, wanted.mostBytes);
}

} // namespace monsoonbay
