#include "transfer/PackedDocument.h"

#include <cassert>

#include <zlib.h>

#include "core/Ids.h"
#include "transfer/DocumentChange.h"

namespace monsoonbay {

namespace {

/**
 * The fastest level: 315 KB of routes become 23 KB in 1.1 ms; zlib's default level gives 21 KB in
 * 2.2 ms.
 */
constexpr int compressionLevel = Z_BEST_SPEED;

/** Larger than any configuration. A damaged length must not exhaust the VM's memory. */
constexpr std::uint64_t maxPlainBytes = 64ULL * 1024 * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

std::optional<std::string> unpackBytes(const PackedDocument &packed)
{
    if (packed.plainBytes > maxPlainBytes || stableHash(packed.bytes) != packed.digest)
        return std::nullopt;
    std::string plain(packed.plainBytes, '\0');
    uLongf length = plain.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(plain.data()), &length,
                                  bytesOf(packed.bytes), packed.bytes.size());
    if (result != Z_OK || length != packed.plainBytes)
        return std::nullopt;
    return plain;
}

} // namespace

PackedDocument packDocument(std::int64_t version, std::string_view plain)
{
    PackedDocument packed;
    packed.version = version;
    packed.plainBytes = plain.size();
    uLongf length = compressBound(plain.size());
    packed.bytes.resize(length);
    const int result = compress2(reinterpret_cast<Bytef *>(packed.bytes.data()), &length,
                                 bytesOf(plain), plain.size(), compressionLevel);
    // With a buffer of compressBound() bytes this only fails when out of memory.
    assert(result == Z_OK);
    static_cast<void>(result);
    packed.bytes.resize(length);
    packed.bytes.shrink_to_fit();
    packed.digest = stableHash(packed.bytes);
    return packed;
}

std::optional<PackedDocument> packDelta(const PackedDocument &base, std::int64_t version,
                                        std::string_view plain)
{
    const std::optional<std::string> before = unpackDocument(base);
    if (!before)
        return std::nullopt;
    PackedDocument change = packDocument(version, deltaBetween(*before, plain));
    change.baseDigest = base.digest;
    return change;
}

std::optional<std::string> unpackDocument(const PackedDocument &packed)
{
    if (packed.baseDigest != 0)
        return std::nullopt;
    return unpackBytes(packed);
}

std::optional<std::string> unpackWithBase(const PackedDocument &base, const PackedDocument &packed)
{
    if (packed.baseDigest == 0)
        return unpackDocument(packed);
    if (packed.baseDigest != base.digest)
        return std::nullopt;
    const std::optional<std::string> before = unpackDocument(base);
    const std::optional<std::string> change = unpackBytes(packed);
    if (!before || !change)
        return std::nullopt;
    return applyDocumentDelta(*before, *change);
}

} // namespace monsoonbay
