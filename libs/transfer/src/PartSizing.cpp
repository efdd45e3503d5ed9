#include "transfer/PartSizing.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Fits one packet with room for the heads around it; less would not be any faster. */
constexpr std::size_t shortestPart = 1024;

} // namespace

void growParts(PartSizing &partSize) noexcept
{
    partSize.nextBytes = std::min(2 * partSize.nextBytes, maxPartBytes);
}

// Where a hundred mates read from one VM at once, or its link is slow, a part of the usual length
// may take longer than is waited for; a shorter one still comes.
void shrinkParts(PartSizing &partSize) noexcept
{
    partSize.nextBytes = std::max(partSize.nextBytes / 2, shortestPart);
}

} // namespace monsoonbay
