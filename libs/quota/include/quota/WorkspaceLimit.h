#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "core/Time.h"

namespace monsoonbay {

/** What a limit counts. */
enum class QuotaUnit : std::uint8_t {
    Calls,
    Tokens, ///< of the prompt, and the most that may be generated
};

/** What the calls of one workspace may use, over all VMs together. */
struct WorkspaceLimit
{
    QuotaUnit unit = QuotaUnit::Calls;
    double ratePerSecond = 0; ///< units; 0: no limit
    double burst = 0; ///< units that may come beside the rate
    std::int64_t defaultTokens = 0; ///< of a call that does not say how many it has

    auto operator<=>(const WorkspaceLimit &) const = default;
};

/** How exactly limits are to be kept. */
struct QuotaPolicy
{
    Duration window = std::chrono::seconds(8); ///< in which use is held against a limit
    double excess = 0.1; ///< share by which use may pass rate x window + burst
    double slack = 0; ///< units that may come beside that

    auto operator<=>(const QuotaPolicy &) const = default;
};

inline bool isLimited(const WorkspaceLimit &limit) noexcept
{
    return limit.ratePerSecond > 0;
}

/** Units that a call counts; `tokens`: as the call says, if it does. */
std::int64_t costOf(const WorkspaceLimit &limit, std::optional<std::int64_t> tokens) noexcept;

/** Units that rate and burst give in one window. */
double grantedInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

/** The most units that all VMs may let run in one window. */
double maxInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

} // namespace monsoonbay
