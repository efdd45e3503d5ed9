#include "transfer/PartSizing.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Fits one packet with room for the heads around it; less would not be any faster. */
constexpr std::size_t shortestPart = 1024;

} // namespace

void growParts(PartSizing &pacing) noexcept
{
    pacing.nextBytes = std::min(2 * pacing.nextBytes, maxPartBytes);
}

// Where a hundred mates read from one VM at once, or its link is slow, a part of the usual length
// may take longer than is waited for; a shorter one still comes.
void shrinkParts(PartSizing &pacing) noexcept
{
    pacing.nextBytes = std::max(pacing.nextBytes / 2, shortestPart);
}

} // namespace monsoonbay
