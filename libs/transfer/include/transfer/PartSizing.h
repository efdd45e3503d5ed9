#pragma once

#include <compare>
#include <cstddef>

namespace monsoonbay {

/**
 * Longest part of a document. Callers' answers wait behind a part on the same link: 13 ms where it
 * carries 10 Mbit/s.
 */
constexpr std::size_t maxPartBytes = std::size_t{16} * 1024;

/** How many bytes a reader asks for next. */
struct PartSizing
{
    std::size_t nextBytes = maxPartBytes;

    auto operator<=>(const PartSizing &) const = default;
};

/** A part came, or did not come in time. */
void growParts(PartSizing &partSize) noexcept;
void shrinkParts(PartSizing &partSize) noexcept;

} // namespace monsoonbay
