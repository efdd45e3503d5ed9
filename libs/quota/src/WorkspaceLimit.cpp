#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

std::int64_t costOf(const WorkspaceLimit &limit, std::optional<std::int64_t> tokens) noexcept
{
    if (limit.unit == QuotaUnit::Calls)
        return 1;
    return tokens.value_or(limit.defaultTokens);
}

double grantedInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept
{
    return limit.ratePerSecond * toSeconds(policy.window) + limit.burst;
}

double maxInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept
{
    return grantedInWindow(limit, policy) * (1 + policy.excess) + policy.slack;
}

} // namespace monsoonbay
