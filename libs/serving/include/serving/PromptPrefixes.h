#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "serving/CallMetadata.h"

namespace monsoonbay {

/** The beginning of a prompt up to the end of one of its parts. */
struct PromptPrefix
{
    std::uint64_t hash = 0; ///< of the adapter and all parts so far; see prefixTag()
    int tokens = 0;

    auto operator<=>(const PromptPrefix &) const = default;
};

/** Limit on prefixes per prompt; later parts are ignored. */
constexpr std::size_t maxPrefixes = 16;

/**
 * The prefixes of a call's prompt that other calls may share, shortest first. Empty if the call
 * names no parts.
 */
std::vector<PromptPrefix> promptPrefixes(std::string_view adapter,
                                         const std::vector<PromptPart> &parts, double promptTokens);

/** Bits of a prefix's hash that are equal for all prefixes of an adapter. */
std::uint64_t prefixTag(std::uint64_t hash) noexcept;
std::uint64_t prefixTagOf(std::string_view adapter) noexcept;

/** Identifies one start of an engine, as its cache is empty after a restart. */
std::uint64_t engineKey(std::string_view target, std::int64_t startTime) noexcept;

} // namespace monsoonbay
