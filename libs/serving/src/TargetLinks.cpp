#include "serving/TargetLinks.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr Duration reachedCounts = std::chrono::milliseconds(500);
constexpr Duration failureCounts = std::chrono::milliseconds(3000);

/** One target alone may have ended just now, before other VMs tell of it. */
constexpr int leastFailed = 2;

/** What is left of the links could not carry the calls of all. */
constexpr int failedForEachReached = 4;

/** A cut that comes and goes must not have calls change their way with each of its turns. */
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
