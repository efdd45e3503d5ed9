#include "transfer/PartSizing.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Fits into one packet with its headers; a shorter part would not arrive any sooner. */
constexpr std::size_t minPartBytes = 1024;

} // namespace

void growParts(PartSizing &partSize) noexcept
{
    partSize.nextBytes = std::min(2 * partSize.nextBytes, maxPartBytes);
}

// If a hundred zone peers read from one VM at once, or its link is slow, a part of the usual length
// may take longer than the timeout; a shorter one still arrives.
void shrinkParts(PartSizing &partSize) noexcept
{
    partSize.nextBytes = std::max(partSize.nextBytes / 2, minPartBytes);
}

} // namespace monsoonbay
