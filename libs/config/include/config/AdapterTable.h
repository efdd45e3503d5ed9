#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/Ids.h"

namespace monsoonbay {

/** One version of an adapter, as the manifest declares it. */
struct AdapterEntry
{
    AdapterRef ref;
    std::string baseModel;

    auto operator<=>(const AdapterEntry &) const = default;
};

/** Order-independent 128-bit digest of a set of entries; adding or removing an entry is O(1). */
struct SetDigest
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const SetDigest &) const = default;

    SetDigest plus(const SetDigest &other) const noexcept;
    SetDigest minus(const SetDigest &other) const noexcept;
    std::string hex() const;

    static SetDigest of(std::string_view text) noexcept;
};

/**
 * Immutable map of adapters by id. A modified copy shares all buckets except the changed one. So a
 * delta to 67,000 adapters costs microseconds, and readers can keep using the previous table.
 */
class AdapterTable
{
public:
    AdapterTable();

    const AdapterEntry *find(AdapterId id) const noexcept;
    std::size_t size() const noexcept;
    const SetDigest &digest() const noexcept;
    std::vector<AdapterEntry> sorted() const;

    AdapterTable with(const AdapterEntry &entry) const;
    AdapterTable without(AdapterId id) const;

    /** Builds a table in one pass; much cheaper than repeated calls of with(). */
    static AdapterTable of(const std::vector<AdapterEntry> &entries);

private:
    struct Slot
    {
        AdapterId id;
        AdapterEntry entry;
    };
    using Bucket = std::vector<Slot>;
    static constexpr std::size_t bucketCount = 1024;

    static std::size_t bucketOf(AdapterId id) noexcept;
    static SetDigest entryDigest(const AdapterEntry &entry);

    std::vector<std::shared_ptr<const Bucket>> buckets;
    std::size_t count = 0;
    SetDigest setDigest;
};

} // namespace monsoonbay
