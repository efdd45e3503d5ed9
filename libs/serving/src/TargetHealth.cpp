#include "serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/** Time in which the memory of outcomes fades to a half, s. */
constexpr double halfLife = 3.0;

// Weights of failures. A refusal is an honest answer of a full target and weighs little; a target
// that cannot be reached is of no use at all. Errors of its own come from healthy targets too (the
// users' sheets show up to 14 in 100), so only a clear majority of them ejects.
constexpr double refusedWeight = 0.3;
constexpr double failedWeight = 0.7;
constexpr double brokenWeight = 1.0;
constexpr double unreachableWeight = 1.5;

/** Ejected at this much failureScore, if it also outweighs the good answers. */
constexpr double ejectBadness = 2.4;
constexpr double ejectRatio = 1.0;

/** The same for what is told to all VMs: together they make ten times as many calls there, s. */
constexpr double lateHalfLife = 0.5;

/** Three calls of different VMs that met no target, say; one VM alone may be cut off itself. */
constexpr int failingFaults = 35; ///< tenths

constexpr double tenths = 10;

constexpr Duration firstEjection = std::chrono::milliseconds(1000);
constexpr int longestDoubling = 2; ///< 4 s: faults of the users' list last 2 to 7 s

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

void fade(TargetHealth &health, Instant now)
{
    const double factor = std::exp2(-toSeconds(now - health.updatedAt) / halfLife);
    health.failureScore *= factor;
    health.successes *= factor;
    const double lateFactor = std::exp2(-toSeconds(now - health.updatedAt) / lateHalfLife);
    health.recentFailures *= lateFactor;
    health.recentSuccesses *= lateFactor;
    health.updatedAt = now;
}

int inTenths(double count)
{
    return static_cast<int>(std::lround(count * tenths));
}

} // namespace

bool recordOutcome(TargetHealth &health, SendOutcome outcome, Instant now)
{
    fade(health, now);
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
    const int doublings = std::min(health.ejections, longestDoubling);
    health.ejectedUntil = now + firstEjection * (1 << doublings);
    ++health.ejections;
    // The return is a trial: one more failure of weight soon ejects it again.
    health.failureScore = ejectBadness / 2;
    health.successes = 0;
    return true;
}

bool isEjected(const TargetHealth &health, Instant now) noexcept
{
    return now < health.ejectedUntil;
}

void addHealth(TargetUsage &use, const TargetHealth &health, Instant now)
{
    const double factor = std::exp2(-toSeconds(now - health.updatedAt) / lateHalfLife);
    use.failures += inTenths(health.recentFailures * factor);
    use.successes += inTenths(health.recentSuccesses * factor);
}

// Each of many VMs sends a target a call in seconds only: when it is gone, each would find out for
// itself, at a connection that is waited for in vain. The calls of all together tell it in some
// tenths of a second (70 VMs, a quarter of 60 engines down: 330 to 710 calls a second waited for a
// connection in vain); and with nobody sending there, the memory fades and the target is tried
// anew.
bool isFailing(const TargetUsage &all) noexcept
{
    return all.failures >= failingFaults && all.failures > all.successes;
}

} // namespace monsoonbay
