#include "quota/Admission.h"

#include <algorithm>

namespace monsoonbay {

namespace {

constexpr double recentShare = 0.25; ///< of the window; see WorkspaceUse

/** Room that a limit without a burst gets, as a share of what its rate gives in a window. */
constexpr double leastBurstShare = 0.05;

/**
 * Of what use may pass a limit by; the rest is for what news that are under way do not tell yet.
 * Small workspaces need it: a single call may be a third of what theirs gives in a second.
 */
constexpr double slackUsed = 0.3;

/** Calls, spread over a window, below which growth is not told from chance. */
constexpr double fewCalls = 12;
constexpr double mostGrowth = 8;

/** Of the tolerance, for use that has not been told yet; the rest is for calls of uneven sizes. */
constexpr double harmlessShare = 0.5;

constexpr Duration soonest = std::chrono::milliseconds(500);

double burstOf(const WorkspaceLimit &limit, const QuotaPolicy &policy)
{
    const double least = leastBurstShare * limit.ratePerSecond * toSeconds(policy.window);
    return std::max(limit.burst, least);
}

/** The part of the limits that the VMs in touch may use. */
double shareInTouch(const FleetUse &fleet)
{
    const int known = std::max({fleet.vmsKnown, fleet.vmsInTouch, 1});
    return static_cast<double>(std::max(fleet.vmsInTouch, 1)) / known;
}

/** Units that may be used in `seconds` without passing the limit; some of the slack among them. */
double grantedWithin(const WorkspaceLimit &limit, const QuotaPolicy &policy, double seconds)
{
    return limit.ratePerSecond * seconds + burstOf(limit, policy) + slackUsed * policy.slack;
}

/** Units by which use may pass what is granted, until it has been heard of. */
double toleranceOf(const WorkspaceLimit &limit, const QuotaPolicy &policy)
{
    return mostInWindow(limit, policy) - grantedWithin(limit, policy, toSeconds(policy.window));
}

// What room there is goes in the time in which the burst comes back. Where the rate passes the
// tolerance before use is heard of, it goes more slowly: until then, what was let run elsewhere has
// been told.
double secondsToFill(const WorkspaceLimit &limit, const QuotaPolicy &policy, Duration newsAge)
{
    const double atOnce = burstOf(limit, policy) + slackUsed * policy.slack;
    const double covered = toleranceOf(limit, policy) / limit.ratePerSecond;
    return std::max(atOnce / limit.ratePerSecond, 2 * toSeconds(newsAge) - covered);
}

} // namespace

// The whole window is what use is held against. Alone it would let a workspace use all of it in its
// first seconds and get nothing in the rest, so the last quarter is kept near the rate.
double admittedPerSecond(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                         const FleetUse &fleet) noexcept
{
    const double share = shareInTouch(fleet);
    const double window = toSeconds(policy.window);
    const double fill = secondsToFill(limit, policy, fleet.newsAge);
    const double recentRoom = share * grantedWithin(limit, policy, recentShare * window)
        - static_cast<double>(fleet.use.recent);
    const double wholeRoom =
        share * grantedWithin(limit, policy, window) - static_cast<double>(fleet.use.whole);
    const double smooth = share * limit.ratePerSecond + recentRoom / fill;
    return std::max(std::min(smooth, wholeRoom / fill), 0.0);
}

// Where calls are many, the asks at this VM grow as those at all others do: they are a sample. A
// few calls say nothing, so as many are counted on both sides as make the ratio change little.
double askedNow(SpendRecord &own, const QuotaPolicy &policy, const FleetUse &fleet,
                std::int64_t units, Instant now)
{
    const double here = askedBefore(own, policy, Duration::zero(), now);
    const double before = askedBefore(own, policy, fleet.newsAge, now);
    const double others = std::max(static_cast<double>(fleet.use.askedPerSecond) - here, 0.0);
    const double few = fewCalls * static_cast<double>(units) / toSeconds(policy.window);
    const double growth = (here + few) / (before + few);
    return here + others * std::clamp(growth, 1.0, mostGrowth);
}

// Every VM lets the same share of calls run, the share that keeps all of them together within the
// limit: so none has to know what its part is, and news that are some tenths of a second old only
// shift that share a little. The carry spreads what is let run evenly, whatever the calls' sizes;
// it is drawn for each VM, or all would let their first call run at the same time.
QuotaVerdict admitCall(SpendRecord &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                       const FleetUse &fleet, std::int64_t units, Instant now)
{
    if (!isLimited(limit))
        return {true, {}};
    const double asked = std::max(askedNow(own, policy, fleet, units, now), 1.0);
    // What was let run since the others told of it counts as used already, but for what the limit
    // bears anyway.
    FleetUse ahead = fleet;
    const double letRun = std::min(admittedPerSecond(limit, policy, fleet), asked);
    const double leaving = static_cast<double>(fleet.use.whole) / toSeconds(policy.window);
    const double untold = std::max(letRun - leaving, 0.0) * toSeconds(fleet.newsAge);
    const double harmless = harmlessShare * shareInTouch(fleet) * toleranceOf(limit, policy);
    const auto counted = static_cast<std::int64_t>(std::max(untold - harmless, 0.0));
    ahead.use.recent += counted;
    ahead.use.whole += counted;
    const double rate = admittedPerSecond(limit, policy, ahead);
    const double most = shareInTouch(fleet) * mostInWindow(limit, policy);
    const auto cost = static_cast<double>(units);
    // Where one call is more than the part of these VMs, the share alone decides: it then lets run
    // as many of such calls, over all parts, as fit together.
    const bool fits = static_cast<double>(fleet.use.whole) + cost <= most
        || (cost > most && cost <= mostInWindow(limit, policy));
    own.carry += fits ? std::min(rate / asked, 1.0) : 0;
    if (own.carry >= 1) {
        own.carry -= 1;
        return {true, {}};
    }
    const double surplus = rate > 0 ? asked / rate - 1 : toSeconds(policy.window);
    const Duration wait = fromSeconds(surplus * toSeconds(soonest));
    return {false, std::clamp<Duration>(wait, soonest, policy.window / 2)};
}

WorkspaceUse useBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy, int vmsKnown,
                            Duration sinceStart) noexcept
{
    const double window = toSeconds(policy.window);
    const auto left = [&](double seconds) {
        const double kept = std::max(seconds - toSeconds(sinceStart), 0.0);
        return static_cast<std::int64_t>(limit.ratePerSecond * kept / std::max(vmsKnown, 1));
    };
    WorkspaceUse use;
    use.recent = left(recentShare * window);
    use.whole = left(window);
    return use;
}

} // namespace monsoonbay
