#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

std::int64_t costOf(const WorkspaceLimit &limit, std::optional<std::int64_t> tokens) noexcept
{
    if (limit.unit == QuotaUnit::Calls)
        return 1;
    return tokens.value_or(limit.tokensIfUnsaid);
}

double mostInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept
{
    const double granted = limit.ratePerSecond * toSeconds(policy.window) + limit.burst;
    return granted * (1 + policy.excess) + policy.slack;
}

} // namespace monsoonbay
