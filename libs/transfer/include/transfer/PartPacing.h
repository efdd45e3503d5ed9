#pragma once

#include <compare>
#include <cstddef>

namespace monsoonbay {

/**
 * Longest part of a document. All mates may read from one VM at once, and its answers to their
 * exchanges wait behind the parts: 24 of this length take 80 ms of a link of 10 Mbit/s. With 16 KB
 * (0.3 s) the exchanges of such a relay failed while a configuration was read from it.
 */
constexpr std::size_t longestPart = std::size_t{4} * 1024;

/** How many bytes a reader asks for next. */
struct PartPacing
{
    std::size_t nextBytes = longestPart;

    auto operator<=>(const PartPacing &) const = default;
};

/** A part came, or did not come in time. */
void noteArrived(PartPacing &pacing) noexcept;
void noteOverdue(PartPacing &pacing) noexcept;

} // namespace monsoonbay
