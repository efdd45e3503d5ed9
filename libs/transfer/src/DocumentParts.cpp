#include "transfer/DocumentParts.h"

#include <utility>

namespace monsoonbay {

namespace {

bool isSameDocument(const PartialDocument &partial, const DocumentPart &part)
{
    return partial.packed.version == part.version && partial.packed.digest == part.digest
        && partial.totalBytes == part.totalBytes;
}

} // namespace

DocumentPart partOf(const PackedDocument &packed, std::uint64_t offset, std::size_t maxBytes)
{
    DocumentPart part;
    part.version = packed.version;
    part.digest = packed.digest;
    part.plainBytes = packed.plainBytes;
    part.totalBytes = packed.bytes.size();
    part.offset = offset;
    if (offset < packed.bytes.size())
        part.bytes = packed.bytes.substr(offset, maxBytes);
    part.baseDigest = packed.baseDigest;
    return part;
}

DocumentPart partOf(const PartialDocument &partial, std::uint64_t offset, std::size_t maxBytes)
{
    DocumentPart part = partOf(partial.packed, offset, maxBytes);
    part.totalBytes = partial.totalBytes;
    return part;
}

PartOutcome appendPart(PartialDocument &partial, DocumentPart part)
{
    if (part.version == 0)
        return PartOutcome::Useless;
    if (part.bytes.empty())
        return part.offset < part.totalBytes ? PartOutcome::Later : PartOutcome::Useless;
    if (!isSameDocument(partial, part)) {
        if (part.offset != 0)
            return PartOutcome::Useless;
        partial = PartialDocument();
        partial.totalBytes = part.totalBytes;
        partial.packed.version = part.version;
        partial.packed.digest = part.digest;
        partial.packed.plainBytes = part.plainBytes;
        partial.packed.baseDigest = part.baseDigest;
    }
    std::string &bytes = partial.packed.bytes;
    const bool continues = part.offset == bytes.size();
    if (!continues || bytes.size() + part.bytes.size() > partial.totalBytes)
        return PartOutcome::Useless;
    bytes += part.bytes;
    return bytes.size() == partial.totalBytes ? PartOutcome::Whole : PartOutcome::More;
}

} // namespace monsoonbay
