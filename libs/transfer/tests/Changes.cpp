#include "transfer/DocumentCache.h"
#include "transfer/DocumentChange.h"
#include "transfer/PackedDocument.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace monsoonbay;

namespace {

constexpr Instant begin{std::chrono::seconds(100)};

/** A document of routes, each with a timeout. */
std::string documentOf(int routes, int timeoutMs)
{
    std::string document = "{\"Version\":" + std::to_string(routes + timeoutMs) + ",\"Routes\":[";
    for (int route = 0; route < routes; ++route)
        document += "{\"Host\":\"host" + std::to_string(route * 7919 % 100000)
            + ".example\",\"TimeoutMs\":" + std::to_string(timeoutMs) + "},";
    return document + "]}";
}

} // namespace

Test(changes, any_document_is_restored_from_a_delta)
{
    const bool holds = rc::check([](const std::string &base, const std::string &document) {
        RC_ASSERT(applyDocumentDelta(base, deltaBetween(base, document)) == document);
        const std::string joined = base + document + base;
        RC_ASSERT(applyDocumentDelta(base, deltaBetween(base, joined)) == joined);
    });
    cr_assert(holds);
}

// Guards against a wrong configuration built from another base or from damaged bytes.
Test(changes, a_damaged_delta_or_another_base_gives_no_other_document)
{
    const std::string base = documentOf(200, 5000);
    const std::string document = documentOf(260, 5000);
    const std::string change = deltaBetween(base, document);
    cr_assert(!applyDocumentDelta(documentOf(199, 4000), change));
    for (std::size_t index = 0; index < change.size(); ++index) {
        std::string damaged = change;
        damaged[index] = static_cast<char>(damaged[index] ^ 0x11);
        const std::optional<std::string> made = applyDocumentDelta(base, damaged);
        cr_assert(!made || made == document, "byte %zu", index);
    }
}

// Guards against sending a complete configuration over each slow link for every small change.
Test(changes, a_delta_of_a_small_change_is_short)
{
    const PackedDocument base = packDocument(1, documentOf(5000, 5000));
    const std::string document = documentOf(5020, 5000);
    const PackedDocument grown = packDocument(2, document);
    const std::optional<PackedDocument> change = packDelta(base, 2, document);
    cr_assert(change.has_value());
    cr_assert_lt(change->bytes.size(), grown.bytes.size() / 50);
    cr_assert(unpackWithBase(base, *change) == unpackDocument(grown));
    cr_assert(!unpackDocument(*change), "a delta cannot be unpacked without its base");
}

// Guards against a VM that blocks while it computes the same delta for each of its readers.
Test(changes, a_delta_is_computed_once_for_all_readers)
{
    DocumentCache cache;
    const PackedDocument base = packDocument(1, documentOf(10, 5000));
    setNewest(cache, base, begin);
    setNewest(cache, packDocument(2, documentOf(2000, 4000)), begin);
    for (int reader = 0; reader < 30; ++reader)
        cr_assert_eq(readPart(cache, {0, 0, 0, 1024, base.digest}, begin).baseDigest, base.digest);
    cr_assert_eq(cache.cachedDocuments.size(), 1);
}

// Guards against sending deltas to readers that do not have the base.
Test(changes, only_a_reader_with_the_base_receives_deltas)
{
    DocumentCache cache;
    const PackedDocument base = packDocument(1, documentOf(2000, 5000));
    setNewest(cache, base, begin);
    setNewest(cache, packDocument(2, documentOf(2010, 5000)), begin);
    const std::size_t maxBytes = 16384;
    cr_assert_eq(readPart(cache, {0, 0, 0, maxBytes, base.digest}, begin).baseDigest, base.digest);
    cr_assert_eq(readPart(cache, {0, 0, 0, maxBytes, 0}, begin).baseDigest, 0);
    cr_assert_eq(readPart(cache, {0, 0, 0, maxBytes, base.digest + 1}, begin).baseDigest, 0);
}
