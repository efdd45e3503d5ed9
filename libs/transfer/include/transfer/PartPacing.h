#pragma once

#include <compare>
#include <cstddef>

namespace monsoonbay {

/**
 * Longest part of a document. Callers' answers wait behind a part on the same link: 13 ms where it
 * carries 10 Mbit/s.
 */
constexpr std::size_t longestPart = std::size_t{16} * 1024;

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
