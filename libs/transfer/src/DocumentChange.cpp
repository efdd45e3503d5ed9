#include "transfer/DocumentChange.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <utility>

#include "core/Ids.h"

namespace monsoonbay {

namespace {

/**
 * Content-defined chunking: cuts depend on the bytes and not on fixed offsets, so an insertion
 * moves no later cut. A chunk is about as long as an entry of a document of routes, so a changed
 * entry costs little more than its own length.
 */
constexpr std::size_t minChunk = 32;
constexpr std::size_t maxChunk = 512;
constexpr std::uint64_t cutMask = (1ULL << 6U) - 1; // one byte in 64 after the minimum

/**
 * A shorter range of the base is not worth its 8 bytes: these do not compress, and the bytes around
 * it compress worse when split.
 */
constexpr std::size_t minNewRange = 256;

constexpr std::uint64_t hashStep = 0x9E3779B97F4A7C15ULL;

/** Length of the first chunk of `bytes`. */
std::size_t firstChunk(std::string_view bytes)
{
    std::uint64_t rolling = 0;
    for (std::size_t index = 0; index < bytes.size() && index < maxChunk; ++index) {
        // Bytes are shifted out of the sum after 64 steps, so it does not depend on where the chunk
        // started.
        rolling = (rolling << 1U) + (static_cast<unsigned char>(bytes[index]) + 1) * hashStep;
        const bool cut = ((rolling >> 32U) & cutMask) == 0;
        if (cut && index + 1 >= minChunk)
            return index + 1;
    }
    return std::min(bytes.size(), maxChunk);
}

/** Length of the common prefix. */
std::size_t commonPrefixLength(std::string_view left, std::string_view right)
{
    const auto differ = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<std::size_t>(differ.first - left.begin());
}

/** A byte range of the base or, if `fromBase` is false, of the new document. */
struct ByteRange
{
    bool fromBase = false;
    std::size_t offset = 0;
    std::size_t length = 0;
};

class DeltaWriter
{
public:
    explicit DeltaWriter(std::string_view document)
        : document(document)
    {
        this->addNumber(stableHash(document));
        this->addNumber(document.size());
    }

    void add(const ByteRange &range)
    {
        const bool continues = range.fromBase == this->last.fromBase && this->last.length > 0
            && range.offset == this->last.offset + this->last.length;
        if (continues) {
            this->last.length += range.length;
            return;
        }
        this->flush();
        this->last = range;
    }

    std::string take()
    {
        this->flush();
        return std::move(this->delta);
    }

private:
    void addNumber(std::uint64_t number)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
            this->delta += static_cast<char>((number >> shift) & 0xFFU);
    }

    /**
     * Writes a range's offset and length as one number; the offset is 0 for bytes of the delta
     * itself, and one higher than in the base otherwise.
     */
    void flush()
    {
        if (this->last.length == 0)
            return;
        const std::uint64_t offset = this->last.fromBase ? this->last.offset + 1 : 0;
        this->addNumber(offset << 32U | this->last.length);
        if (!this->last.fromBase)
            this->delta += this->document.substr(this->last.offset, this->last.length);
        this->last = ByteRange();
    }

    std::string_view document;
    std::string delta;
    ByteRange last;
};

class DeltaReader
{
public:
    explicit DeltaReader(std::string_view delta)
        : left(delta)
    { }

    bool atEnd() const
    {
        return this->left.empty();
    }

    std::optional<std::uint64_t> number()
    {
        const std::optional<std::string_view> bytes = this->bytes(sizeof(std::uint64_t));
        if (!bytes)
            return std::nullopt;
        std::uint64_t number = 0;
        for (std::size_t index = 0; index < bytes->size(); ++index)
            number |= std::uint64_t{static_cast<unsigned char>((*bytes)[index])} << (8 * index);
        return number;
    }

    std::optional<std::string_view> bytes(std::size_t length)
    {
        if (length > this->left.size())
            return std::nullopt;
        const std::string_view taken = this->left.substr(0, length);
        this->left.remove_prefix(length);
        return taken;
    }

private:
    std::string_view left;
};

} // namespace

std::string deltaBetween(std::string_view base, std::string_view document)
{
    std::unordered_map<std::string_view, std::size_t> offsets; // in the base, by chunk
    for (std::size_t offset = 0; offset < base.size();) {
        const std::string_view chunk = base.substr(offset, firstChunk(base.substr(offset)));
        offsets.try_emplace(chunk, offset);
        offset += chunk.size();
    }
    DeltaWriter writer(document);
    std::size_t next = 0; // in the base, past the last copied range
    for (std::size_t offset = 0; offset < document.size();) {
        const std::string_view chunk = document.substr(offset, firstChunk(document.substr(offset)));
        // Parts of entries repeat. If a chunk occurs at several offsets of the base, the one where
        // the last range ended extends that range, while any other would start a new one.
        if (next > base.size() || base.substr(next, chunk.size()) != chunk) {
            const auto known = offsets.find(chunk);
            const bool isWorthwhile = known != offsets.end()
                && commonPrefixLength(base.substr(known->second), document.substr(offset))
                    >= minNewRange;
            if (!isWorthwhile) {
                writer.add({false, offset, chunk.size()});
                offset += chunk.size();
                continue;
            }
            next = known->second;
        }
        writer.add({true, next, chunk.size()});
        next += chunk.size();
        offset += chunk.size();
    }
    return writer.take();
}

std::optional<std::string> applyDocumentDelta(std::string_view base, std::string_view delta)
{
    DeltaReader reader(delta);
    const std::optional<std::uint64_t> digest = reader.number();
    const std::optional<std::uint64_t> length = reader.number();
    if (!digest || !length)
        return std::nullopt;
    std::string document;
    while (!reader.atEnd()) {
        const std::optional<std::uint64_t> range = reader.number();
        if (!range)
            return std::nullopt;
        const std::uint64_t offset = *range >> 32U;
        const std::size_t bytes = *range & std::numeric_limits<std::uint32_t>::max();
        // A damaged length must not exhaust the VM's memory.
        if (bytes > *length - document.size())
            return std::nullopt;
        if (offset == 0) {
            const std::optional<std::string_view> own = reader.bytes(bytes);
            if (!own)
                return std::nullopt;
            document += *own;
            continue;
        }
        if (offset - 1 > base.size() || bytes > base.size() - (offset - 1))
            return std::nullopt;
        document += base.substr(offset - 1, bytes);
    }
    if (document.size() != *length || stableHash(document) != *digest)
        return std::nullopt;
    return document;
}

} // namespace monsoonbay
