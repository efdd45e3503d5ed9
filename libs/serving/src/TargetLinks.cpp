#include "serving/TargetLinks.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr Duration reachedCounts = std::chrono::milliseconds(500);
constexpr Duration failureCounts = std::chrono::milliseconds(3000);

/** A single target may just have ended, before other VMs report it. */
constexpr int leastFailed = 2;

/** The remaining links could not carry all calls. */
constexpr int failedForEachReached = 4;

/** With an intermittent partition, calls must not change their path at every change of it. */
constexpr int goodRoundsToReturn = 2;

} // namespace

LinkState linkState(const LinkObservation &sight, Instant now) noexcept
{
    const bool reached = sight.reachedAt != Instant{} && sight.reachedAt >= sight.failedAt;
    if (reached)
        return now - sight.reachedAt <= reachedCounts ? LinkState::Reached : LinkState::Unknown;
    const bool failed = sight.failedAt != Instant{} && now - sight.failedAt <= failureCounts;
    return failed ? LinkState::Failed : LinkState::Unknown;
}

bool linksSeemLost(const LinkCounts &counts) noexcept
{
    const int least = counts.otherServiceLost ? 1 : leastFailed;
    const int enough = std::max(std::min(least, counts.listed), 1);
    return counts.failed >= enough && counts.failed >= failedForEachReached * counts.reached;
}

bool confirmsLoss(const ProbeRound &round) noexcept
{
    const int failed = round.tried - round.reached;
    return failed > 0 && failed >= failedForEachReached * round.reached;
}

bool recordProbes(ServiceLinks &links, const ProbeRound &round) noexcept
{
    const bool good = round.reached * 2 > round.tried;
    links.goodRounds = good ? links.goodRounds + 1 : 0;
    if (!links.lost || links.goodRounds < goodRoundsToReturn)
        return false;
    links.lost = false;
    return true;
}

} // namespace monsoonbay
