#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/Time.h"

namespace monsoonbay {

/** What a limit counts. */
enum class QuotaUnit : std::uint8_t {
    Calls,
    Tokens, ///< of the prompt, plus the maximum that may be generated
};

/** Rate limit of one workspace, over all VMs together. */
struct WorkspaceLimit
{
    QuotaUnit unit = QuotaUnit::Calls;
    double ratePerSecond = 0; ///< units; 0: no limit
    double burst = 0; ///< units that may be used beyond the rate
    std::int64_t defaultTokens = 0; ///< of a call that does not state its tokens

    auto operator<=>(const WorkspaceLimit &) const = default;
};

/** How exactly limits are enforced. */
struct QuotaPolicy
{
    Duration window = std::chrono::seconds(8); ///< sliding window in which usage is limited
    double excess = 0.1; ///< share by which usage may exceed rate x window + burst
    double slack = 0; ///< units by which it may exceed that in addition

    auto operator<=>(const QuotaPolicy &) const = default;
};

inline bool isLimited(const WorkspaceLimit &limit) noexcept
{
    return limit.ratePerSecond > 0;
}

/** Units that a call costs; `tokens`: as the call states them, if it does. */
std::int64_t costOf(const WorkspaceLimit &limit, std::optional<std::int64_t> tokens) noexcept;

/** Units that rate and burst give in one window. */
double grantedInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

/** The maximum units that all VMs together may admit in one window. */
double maxInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

} // namespace monsoonbay
