#pragma once

#include <compare>
#include <cstddef>

namespace monsoonbay {

/**
 * Longest part of a document. Answers to callers wait behind it on the same link: 13 ms at 10
 * Mbit/s.
 */
constexpr std::size_t maxPartBytes = std::size_t{16} * 1024;

/** Adaptive number of bytes that a reader requests next. */
struct PartSizing
{
    std::size_t nextBytes = maxPartBytes;

    auto operator<=>(const PartSizing &) const = default;
};

/** A part arrived, or did not arrive in time. */
void growParts(PartSizing &partSize) noexcept;
void shrinkParts(PartSizing &partSize) noexcept;

} // namespace monsoonbay
