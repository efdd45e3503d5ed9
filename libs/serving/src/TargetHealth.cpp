#include "serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/** Half-life of outcomes, s. */
constexpr double halfLife = 3.0;

// Weights of failures. A refusal is a valid answer of a full target and weighs little; an
// unreachable target is of no use at all. Healthy targets return errors too (up to 14 in 100 in the
// users' traces), so only a clear majority of errors ejects a target.
constexpr double refusedWeight = 0.3;
constexpr double failedWeight = 0.7;
constexpr double brokenWeight = 1.0;
constexpr double unreachableWeight = 1.5;

/** Score at which a target is ejected, if it also outweighs the good answers. */
constexpr double ejectBadness = 2.4;
constexpr double ejectRatio = 1.0;

/**
 * Half-life of the outcomes that are reported to all VMs, s; all VMs together make ten times as
 * many calls to a target.
 */
constexpr double recentHalfLife = 0.5;

/**
 * For example three calls of different VMs without a connection; one VM alone may itself be
 * partitioned.
 */
constexpr int minFailingTenths = 35; ///< tenths

constexpr double tenths = 10;

constexpr Duration firstEjection = std::chrono::milliseconds(1000);
constexpr int maxDoublings = 2; ///< 4 s: faults in the users' list last 2 to 7 s

double weightOf(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Good:
        return 0;
    case SendOutcome::Refused:
        return refusedWeight;
    case SendOutcome::Failed:
        return failedWeight;
    case SendOutcome::Broken:
        return brokenWeight;
    case SendOutcome::Unreachable:
        return unreachableWeight;
    }
    return 0;
}

void decay(TargetHealth &health, Instant now)
{
    const double factor = std::exp2(-toSeconds(now - health.updatedAt) / halfLife);
    health.failureScore *= factor;
    health.successes *= factor;
    const double recentFactor = std::exp2(-toSeconds(now - health.updatedAt) / recentHalfLife);
    health.recentFailures *= recentFactor;
    health.recentSuccesses *= recentFactor;
    health.updatedAt = now;
}

int inTenths(double count)
{
    return static_cast<int>(std::lround(count * tenths));
}

} // namespace

bool recordOutcome(TargetHealth &health, SendOutcome outcome, Instant now)
{
    decay(health, now);
    if (outcome == SendOutcome::Good) {
        health.successes += 1;
        health.recentSuccesses += 1;
        health.ejections = 0;
        return false;
    }
    health.failureScore += weightOf(outcome);
    health.recentFailures += weightOf(outcome);
    const bool bad =
        health.failureScore >= ejectBadness && health.failureScore > ejectRatio * health.successes;
    if (!bad || isEjected(health, now))
        return false;
    const int doublings = std::min(health.ejections, maxDoublings);
    health.ejectedUntil = now + firstEjection * (1 << doublings);
    ++health.ejections;
    // A readmitted target is on trial: one more weighted failure soon ejects it again.
    health.failureScore = ejectBadness / 2;
    health.successes = 0;
    return true;
}

bool isEjected(const TargetHealth &health, Instant now) noexcept
{
    return now < health.ejectedUntil;
}

void addHealth(TargetUsage &usage, const TargetHealth &health, Instant now)
{
    const double factor = std::exp2(-toSeconds(now - health.updatedAt) / recentHalfLife);
    usage.failures += inTenths(health.recentFailures * factor);
    usage.successes += inTenths(health.recentSuccesses * factor);
}

// With many VMs, each sends a target only one call in seconds. When a target is gone, each VM would
// have to find out by itself, at the cost of a connect timeout. The outcomes of all VMs together
// show it within some tenths of a second (70 VMs with a quarter of 60 engines down: 330 to 710
// calls a second waited in vain for a connection). When no VM sends to the target any more, the
// outcomes decay and it is tried again.
bool isFailing(const TargetUsage &all) noexcept
{
    return all.failures >= minFailingTenths && all.failures > all.successes;
}

} // namespace monsoonbay
