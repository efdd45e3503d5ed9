#include "quota/Admission.h"

#include <algorithm>
#include <numeric>

#include "quota/ClassShares.h"

namespace monsoonbay {

namespace {

/**
 * Of what use may pass a limit by; the rest is for what was let run elsewhere and has not been told
 * yet. A small workspace's slack is a few of its calls, so more of it is left.
 */
constexpr double excessUsed = 0.7;
constexpr double slackUsed = 0.4;

/**
 * Room goes in this part of the window: a workspace that asks for many times its limit is then
 * served evenly, and not all at once and nothing afterwards.
 */
constexpr double fillShare = 0.125;

/** Part of what may be used that stays free while more is asked for: room is given away so fast. */
constexpr double steadyRoom = fillShare / (1 + fillShare);

/** What is counted as used before a start ends this part of a window after what can have been. */
constexpr double endShare = 0.125;

/** Calls, spread over a window, below which growth is not told from chance. */
constexpr double fewCalls = 12;
constexpr double mostGrowth = 8;

constexpr Duration soonest = std::chrono::milliseconds(500);

/** Units a second that all VMs in touch together may let run now. */
double admittedPerSecond(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                         const FleetUsage &fleet) noexcept
{
    const double room = reachableShare(fleet) * fleet.allowedShare * usableInWindow(limit, policy)
        - static_cast<double>(fleet.usage.unitsInWindow);
    return std::max(room / secondsToFill(policy, fleet), 0.0);
}

/**
 * Units of a call by which growth is told from chance. Beside large calls, a small one's own units
 * would make every large call look like growth.
 */
double typicalUnits(const WorkspaceUse &use, std::int64_t units)
{
    const auto classes =
        std::count_if(use.callsInWindowByClass.begin(), use.callsInWindowByClass.end(),
                      [](std::int64_t calls) { return calls > 0; });
    if (classes < 2)
        return static_cast<double>(units);
    const std::int64_t calls = std::accumulate(use.callsInWindowByClass.begin(),
                                               use.callsInWindowByClass.end(), std::int64_t{0});
    return static_cast<double>(use.requestedInWindow) / static_cast<double>(calls);
}

// Units a second that all VMs in touch are asked for now; what they told of it is older. Where
// calls are many, the asks at this VM grow as those at all others do: they are a sample. A few
// calls say nothing, so as many are counted on both sides as make the ratio change little.
double askedNow(UsageWindow &own, const QuotaPolicy &policy, const FleetUsage &fleet,
                std::int64_t units, Instant now)
{
    const double here = requestRateBefore(own, policy, Duration::zero(), now);
    const double before = requestRateBefore(own, policy, fleet.updateAge, now);
    const double others = std::max(static_cast<double>(fleet.usage.requestedPerSecond) - here, 0.0);
    const double few = fewCalls * typicalUnits(fleet.usage, units) / toSeconds(policy.window);
    const double growth = (here + few) / (before + few);
    return here + others * std::clamp(growth, 1 / mostGrowth, mostGrowth);
}

// `asked` is divided as the VMs told; what they told without classes is of the last one. The calls
// are those of a whole window at all VMs, heard or not: others of the workspace's calls fare alike.
ClassDemand classDemandOf(const QuotaPolicy &policy, const FleetUsage &fleet, double asked)
{
    const WorkspaceUse &use = fleet.usage;
    const double inWindow = asked * toSeconds(policy.window) / reachableShare(fleet);
    const double times =
        inWindow / static_cast<double>(std::max<std::int64_t>(use.requestedInWindow, 1));
    const std::int64_t told =
        std::accumulate(use.requestedByClass.begin(), use.requestedByClass.end(), std::int64_t{0});
    const std::int64_t whole = std::max<std::int64_t>({use.requestedPerSecond, told, 1});
    CountsByClass parts = use.requestedByClass;
    parts.back() += whole - told;
    ClassDemand demand;
    demand.vms = std::max(fleet.knownVms, fleet.reachableVms);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        demand.units[index] =
            asked * static_cast<double>(parts[index]) / static_cast<double>(whole);
        demand.calls[index] = times * static_cast<double>(use.callsInWindowByClass[index]);
    }
    return demand;
}

// Where one call is more than the part of these VMs, the share alone decides: it then lets run as
// many of such calls, over all parts, as fit together. So it does where a call is larger than what
// stays free of their part, but not of the whole: beside smaller calls, it would hardly ever fit.
bool isDecidedByShare(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                      const FleetUsage &fleet, double cost)
{
    const double whole = maxInWindow(limit, policy);
    const double part = reachableShare(fleet) * whole;
    const double free = steadyRoom * fleet.allowedShare;
    return (cost > part && cost <= whole) || (cost > free * part && cost <= free * whole);
}

} // namespace

double reachableShare(const FleetUsage &fleet) noexcept
{
    const int known = std::max({fleet.knownVms, fleet.reachableVms, 1});
    return static_cast<double>(std::max(fleet.reachableVms, 1)) / known;
}

// No faster than use is heard of: until then, what was let run elsewhere has been told.
double secondsToFill(const QuotaPolicy &policy, const FleetUsage &fleet) noexcept
{
    return std::max(fillShare * toSeconds(policy.window), 2 * toSeconds(fleet.updateAge));
}

double usableInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept
{
    return grantedInWindow(limit, policy) * (1 + excessUsed * policy.excess)
        + slackUsed * policy.slack;
}

// Every VM lets the same share of calls of a class run, the shares that keep all of them together
// within the limit: so none has to know what its part is, and news that are some tenths of a second
// old only shift a share a little. The carry spreads what is let run evenly, whatever the calls'
// sizes; it is drawn for each VM, or all would let their first call run at the same time. Each
// class has its own, so that small calls do not wait for the spacing of large ones.
QuotaDecision admitCall(UsageWindow &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                        const FleetUsage &fleet, std::int64_t units, Instant now,
                        CallClass callClass)
{
    if (!isLimited(limit))
        return {true, {}, 1, true};
    const double asked = std::max(askedNow(own, policy, fleet, units, now), 1.0);
    // What was let run since the others told of it counts as used already.
    FleetUsage ahead = fleet;
    const double letRun = std::min(admittedPerSecond(limit, policy, fleet), asked);
    const double leaving =
        static_cast<double>(fleet.usage.unitsInWindow) / toSeconds(policy.window);
    const double untold = std::max(letRun - leaving, 0.0) * toSeconds(fleet.updateAge);
    ahead.usage.unitsInWindow += static_cast<std::int64_t>(untold);
    const double rate = admittedPerSecond(limit, policy, ahead);
    const double most = reachableShare(fleet) * maxInWindow(limit, policy);
    const auto cost = static_cast<double>(units);
    const double allowed = most * fleet.allowedShare;
    const double room = allowed - static_cast<double>(ahead.usage.unitsInWindow);
    const bool fits = cost <= room || isDecidedByShare(limit, policy, fleet, cost);
    const ClassDemand demand = classDemandOf(policy, fleet, asked);
    const double share = classSharesOf(demand, std::min(rate / asked, 1.0))[indexOf(callClass)];
    double &carried = own.carryByClass[indexOf(callClass)];
    carried += fits ? share : 0;
    if (own.carry + carried >= 1) {
        carried -= 1;
        return {true, {}, share, fits};
    }
    const double surplus = share > 0 ? 1 / share - 1 : toSeconds(policy.window);
    const Duration wait = fromSeconds(surplus * toSeconds(soonest));
    return {false, std::clamp<Duration>(wait, soonest, policy.window / 2), share, fits};
}

// As much as may have been used, but for what lets the rate go on from the first moment.
WorkspaceUse assumedUsageBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                                     int knownVms, Duration sinceStart) noexcept
{
    const double window = toSeconds(policy.window);
    const double kept = std::clamp(1 + endShare - toSeconds(sinceStart) / window, 0.0, 1.0);
    const double most = usableInWindow(limit, policy) - limit.ratePerSecond * fillShare * window;
    WorkspaceUse use;
    use.unitsInWindow = static_cast<std::int64_t>(most * kept / std::max(knownVms, 1));
    return use;
}

} // namespace monsoonbay
