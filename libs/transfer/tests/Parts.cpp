#include "transfer/DocumentCache.h"
#include "transfer/DocumentParts.h"
#include "transfer/PackedDocument.h"
#include "transfer/PartSizing.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace monsoonbay;

namespace {

constexpr Instant begin{std::chrono::seconds(100)};

/** The reader's next request. */
PartRequest nextRequest(const PartialDocument &partial, std::size_t maxBytes)
{
    return {partial.packed.version, partial.packed.digest, partial.packed.bytes.size(), maxBytes};
}

PackedDocument packed(std::int64_t version, const std::string &plain)
{
    return packDocument(version, plain);
}

} // namespace

Test(parts, any_document_is_received_completely)
{
    const bool holds = rc::check([](const std::string &plain) {
        const auto maxBytes = *rc::gen::inRange<std::size_t>(1, 64);
        DocumentCache cache;
        setNewest(cache, packed(7, plain), begin);
        PartialDocument partial;
        PartOutcome outcome = PartOutcome::More;
        while (outcome == PartOutcome::More)
            outcome = appendPart(partial, readPart(cache, nextRequest(partial, maxBytes), begin));
        RC_ASSERT(outcome == PartOutcome::Whole);
        RC_ASSERT(unpackDocument(partial.packed) == plain);
    });
    cr_assert(holds);
}

// Guards against accepting a document with bytes of two mixed. Parts arrive late, twice, from other
// documents and from other offsets; only continuing parts may be added.
Test(parts, parts_of_other_documents_and_parts_out_of_order_are_dropped)
{
    const bool holds = rc::check([] {
        const std::vector<PackedDocument> documents{
            packed(1, *rc::gen::arbitrary<std::string>()),
            packed(2, *rc::gen::arbitrary<std::string>()),
            packed(2, *rc::gen::arbitrary<std::string>() + "other bytes of that version")};
        PartialDocument partial;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const PackedDocument &from = *rc::gen::elementOf(documents);
            const auto offset = *rc::gen::inRange<std::uint64_t>(0, from.bytes.size() + 2);
            const PartOutcome outcome = appendPart(partial, partOf(from, offset, 5));
            if (outcome != PartOutcome::Whole)
                continue;
            const auto same =
                std::find(documents.begin(), documents.end(), partial.packed) != documents.end();
            RC_ASSERT(same);
            partial = PartialDocument();
        }
    });
    cr_assert(holds);
}

Test(parts, a_damaged_document_is_not_unpacked)
{
    PackedDocument document = packed(3, std::string(5000, 'x'));
    document.bytes[10] = static_cast<char>(document.bytes[10] ^ 1);
    cr_assert(!unpackDocument(document), "the digest does not match");
    document = packed(3, std::string(5000, 'x'));
    document.plainBytes = std::uint64_t{1} << 60;
    cr_assert(!unpackDocument(document), "the stated length is too large");
    document.plainBytes = 4999;
    cr_assert(!unpackDocument(document), "the document is longer than stated");
}

// Guards against a configuration that is never put in force because the operator changes it faster
// than a link transfers it, and each reader starts over with each version.
Test(parts, a_reader_continues_while_newer_documents_arrive)
{
    DocumentCache cache;
    std::string plain;
    for (int line = 0; line < 400; ++line)
        plain += std::to_string(line * 7919);
    setNewest(cache, packed(1, plain), begin);
    PartialDocument partial;
    Instant now = begin;
    PartOutcome outcome = PartOutcome::More;
    for (std::int64_t version = 2; outcome == PartOutcome::More; ++version) {
        outcome = appendPart(partial, readPart(cache, nextRequest(partial, 50), now));
        now += std::chrono::milliseconds(100);
        setNewest(cache, packed(version, plain + std::to_string(version)), now);
    }
    cr_assert(outcome == PartOutcome::Whole);
    cr_assert_eq(partial.packed.version, 1);
    cr_assert_leq(cache.cachedDocuments.size(), 2, "documents without readers are dropped");
}

Test(parts, documents_without_readers_are_dropped)
{
    DocumentCache cache;
    setNewest(cache, packed(1, "one"), begin);
    readPart(cache, {0, 0, 0, 4}, begin);
    setNewest(cache, packed(2, "two"), begin);
    cr_assert_eq(cache.cachedDocuments.size(), 1);
    setNewest(cache, packed(3, "three"), begin + std::chrono::seconds(5));
    cr_assert(cache.cachedDocuments.empty());
    cr_assert_eq(readPart(cache, {1, 1, 2, 4}, begin + std::chrono::seconds(5)).version, 3);
}

Test(parts, overdue_parts_get_shorter_and_grow_again)
{
    PartSizing partSize;
    for (int overdue = 0; overdue < 20; ++overdue)
        shrinkParts(partSize);
    cr_assert_eq(partSize.nextBytes, 1024);
    for (int arrived = 0; arrived < 20; ++arrived)
        growParts(partSize);
    cr_assert_eq(partSize.nextBytes, maxPartBytes);
}
