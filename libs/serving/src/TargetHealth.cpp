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

/** Ejected at this much badness, if it also outweighs the good answers. */
constexpr double ejectBadness = 2.4;
constexpr double ejectRatio = 1.0;

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
    health.badness *= factor;
    health.goods *= factor;
    health.updatedAt = now;
}

} // namespace

bool noteOutcome(TargetHealth &health, SendOutcome outcome, Instant now)
{
    fade(health, now);
    if (outcome == SendOutcome::Good) {
        health.goods += 1;
        health.ejections = 0;
        return false;
    }
    health.badness += weightOf(outcome);
    const bool bad = health.badness >= ejectBadness && health.badness > ejectRatio * health.goods;
    if (!bad || isEjected(health, now))
        return false;
    const int doublings = std::min(health.ejections, longestDoubling);
    health.ejectedUntil = now + firstEjection * (1 << doublings);
    ++health.ejections;
    // The return is a trial: one more failure of weight soon ejects it again.
    health.badness = ejectBadness / 2;
    health.goods = 0;
    return true;
}

bool isEjected(const TargetHealth &health, Instant now) noexcept
{
    return now < health.ejectedUntil;
}

} // namespace monsoonbay
