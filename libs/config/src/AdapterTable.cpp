#include "config/AdapterTable.h"

#include <algorithm>
#include <cstdio>

#include <xxhash.h>

namespace monsoonbay {

SetDigest SetDigest::plus(const SetDigest &other) const noexcept
{
    SetDigest sum{this->low + other.low, this->high + other.high};
    if (sum.low < this->low)
        ++sum.high;
    return sum;
}

SetDigest SetDigest::minus(const SetDigest &other) const noexcept
{
    SetDigest rest{this->low - other.low, this->high - other.high};
    if (this->low < other.low)
        --rest.high;
    return rest;
}

std::string SetDigest::hex() const
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(this->high),
                  static_cast<unsigned long long>(this->low));
    return text.data();
}

SetDigest SetDigest::of(std::string_view text) noexcept
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {hash.low64, hash.high64};
}

AdapterTable::AdapterTable()
    : buckets(bucketCount)
{ }

// Ids are hashes already. The bucket is taken from the middle bits, as an unordered_map keyed by
// the same id tends to use the low ones.
std::size_t AdapterTable::bucketOf(AdapterId id) noexcept
{
    return (id.value >> 20U) % bucketCount;
}

SetDigest AdapterTable::entryDigest(const AdapterEntry &entry)
{
    return SetDigest::of(entry.ref.text() + '\n' + entry.baseModel);
}

const AdapterEntry *AdapterTable::find(AdapterId id) const noexcept
{
    const std::shared_ptr<const Bucket> &bucket = this->buckets[bucketOf(id)];
    if (!bucket)
        return nullptr;
    for (const Slot &slot : *bucket) {
        if (slot.id == id)
            return &slot.entry;
    }
    return nullptr;
}

std::size_t AdapterTable::size() const noexcept
{
    return this->count;
}

const SetDigest &AdapterTable::digest() const noexcept
{
    return this->setDigest;
}

std::vector<AdapterEntry> AdapterTable::sorted() const
{
    std::vector<AdapterEntry> entries;
    entries.reserve(this->count);
    for (const std::shared_ptr<const Bucket> &bucket : this->buckets) {
        if (!bucket)
            continue;
        for (const Slot &slot : *bucket)
            entries.push_back(slot.entry);
    }
    std::sort(entries.begin(), entries.end());
    return entries;
}

AdapterTable AdapterTable::with(const AdapterEntry &entry) const
{
    const AdapterId id = entry.ref.id();
    AdapterTable changed = this->without(id);
    std::shared_ptr<const Bucket> &bucket = changed.buckets[bucketOf(id)];
    auto copy = bucket ? std::make_shared<Bucket>(*bucket) : std::make_shared<Bucket>();
    copy->push_back(Slot{id, entry});
    bucket = std::move(copy);
    ++changed.count;
    changed.setDigest = changed.setDigest.plus(entryDigest(entry));
    return changed;
}

AdapterTable AdapterTable::without(AdapterId id) const
{
    AdapterTable changed = *this;
    const AdapterEntry *present = this->find(id);
    if (present == nullptr)
        return changed;
    std::shared_ptr<const Bucket> &bucket = changed.buckets[bucketOf(id)];
    auto copy = std::make_shared<Bucket>(*bucket);
    std::erase_if(*copy, [id](const Slot &slot) { return slot.id == id; });
    changed.setDigest = changed.setDigest.minus(entryDigest(*present));
    bucket = std::move(copy);
    --changed.count;
    return changed;
}

AdapterTable AdapterTable::of(const std::vector<AdapterEntry> &entries)
{
    AdapterTable table;
    std::vector<std::shared_ptr<Bucket>> filling(bucketCount);
    for (const AdapterEntry &entry : entries) {
        const AdapterId id = entry.ref.id();
        std::shared_ptr<Bucket> &bucket = filling[bucketOf(id)];
        if (!bucket)
            bucket = std::make_shared<Bucket>();
        const bool known = std::any_of(bucket->begin(), bucket->end(),
                                       [id](const Slot &slot) { return slot.id == id; });
        if (known)
            continue;
        bucket->push_back(Slot{id, entry});
        ++table.count;
        table.setDigest = table.setDigest.plus(entryDigest(entry));
    }
    for (std::size_t index = 0; index < bucketCount; ++index)
        table.buckets[index] = std::move(filling[index]);
    return table;
}

} // namespace monsoonbay
