#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace monsoonbay {

/** Classes of a workspace's calls, in the order in which its limit is distributed to them. */
enum class CallClass : std::uint8_t {
    Small, ///< at most an eighth of the mean units of the workspace's calls
    Rank0, ///< by the rank of the call's route
    Rank1,
    Rank2, ///< rank 2 and above
};

constexpr std::size_t callClassCount = 4;

using CountsByClass = std::array<std::int64_t, callClassCount>;

constexpr std::size_t indexOf(CallClass callClass) noexcept
{
    return static_cast<std::size_t>(callClass);
}

std::string_view textOf(CallClass callClass) noexcept;

} // namespace monsoonbay
