#include "serving/TargetLinks.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr Duration reachedValidity = std::chrono::milliseconds(500);
constexpr Duration failureValidity = std::chrono::milliseconds(3000);

/** Events of streams follow each other sooner, and most first ones come sooner. */
constexpr Duration minSilence = std::chrono::milliseconds(500);

/** A single target may just have ended, before other VMs report it. */
constexpr int minFailed = 2;

/** The remaining links could not carry all calls. */
constexpr int failedPerReached = 4;

/** With an intermittent partition, calls must not change their path at every change of it. */
constexpr int goodRoundsToRecover = 2;
constexpr int maxRoundsToRecover = 16;
/** Links that are lost again within this time count as intermittent. */
constexpr Duration intermittentWithin = std::chrono::seconds(10);

constexpr std::size_t maxProbes = 6;
/** In large fleets: one target may have ended. */
constexpr std::size_t minProbes = 2;
constexpr Duration minProbeInterval = std::chrono::milliseconds(300);
constexpr Duration maxProbeInterval = std::chrono::milliseconds(3000);
/** Of all VMs together, at one target. */
constexpr double probesPerSecond = 50;

} // namespace

LinkState linkState(const LinkObservation &observation, Instant now) noexcept
{
    const bool reached =
        observation.reachedAt != Instant{} && observation.reachedAt >= observation.failedAt;
    if (reached)
        return now - observation.reachedAt <= reachedValidity ? LinkState::Reached
                                                              : LinkState::Unknown;
    const bool failed =
        observation.failedAt != Instant{} && now - observation.failedAt <= failureValidity;
    return failed ? LinkState::Failed : LinkState::Unknown;
}

void beginAwaiting(AwaitedAnswers &answers, Instant now) noexcept
{
    if (answers.calls == 0)
        answers.since = now;
    ++answers.calls;
}

void endAwaiting(AwaitedAnswers &answers) noexcept
{
    --answers.calls;
}

Duration silenceOf(const AwaitedAnswers &answers, Instant now) noexcept
{
    if (answers.calls == 0)
        return Duration::zero();
    return now - std::max(answers.since, answers.heardAt);
}

bool isSilent(const AwaitedAnswers &answers, Instant now) noexcept
{
    return silenceOf(answers, now) >= minSilence;
}

bool isHeard(const AwaitedAnswers &answers, Instant now) noexcept
{
    return answers.heardAt != Instant{} && now - answers.heardAt < minSilence;
}

bool linksSeemLost(const LinkCounts &counts) noexcept
{
    const int threshold = counts.otherServiceLost ? 1 : minFailed;
    const int enough = std::max(std::min(threshold, counts.listed), 1);
    if (counts.failed >= enough && counts.failed >= failedPerReached * counts.reached)
        return true;
    const int suspect = counts.failed + counts.silent;
    return suspect >= enough && suspect >= failedPerReached * (counts.reached + counts.heard);
}

bool confirmsLoss(const ProbeRound &round, Silence silence) noexcept
{
    const int doubtful = silence == Silence::ProvesNothing ? round.silent : 0;
    const int failed = round.tried - round.reached - doubtful;
    return failed > 0 && failed >= failedPerReached * round.reached;
}

ProbePlan planProbes(int vms, std::size_t listed) noexcept
{
    const auto intervalWith = [&](std::size_t probes) {
        const auto eachTarget = static_cast<double>(vms) * static_cast<double>(probes)
            / static_cast<double>(std::max<std::size_t>(listed, 1));
        return fromSeconds(eachTarget / probesPerSecond);
    };
    const std::size_t most = std::min(maxProbes, listed);
    const std::size_t probes =
        intervalWith(most) <= minProbeInterval ? most : std::min(minProbes, listed);
    return {probes, std::clamp(intervalWith(probes), minProbeInterval, maxProbeInterval)};
}

void recordLoss(ServiceLinks &links, Instant now) noexcept
{
    const bool intermittent = links.backAt != Instant{} && now - links.backAt < intermittentWithin;
    links.lost = true;
    links.since = now;
    links.goodRounds = 0;
    links.roundsToRecover = intermittent ? std::min(2 * links.roundsToRecover, maxRoundsToRecover)
                                         : goodRoundsToRecover;
}

bool recordProbes(ServiceLinks &links, const ProbeRound &round, Instant now) noexcept
{
    const bool good = round.reached * 2 > round.tried;
    links.goodRounds = good ? links.goodRounds + 1 : 0;
    if (!links.lost || links.goodRounds < links.roundsToRecover)
        return false;
    links.lost = false;
    links.backAt = now;
    return true;
}

} // namespace monsoonbay
