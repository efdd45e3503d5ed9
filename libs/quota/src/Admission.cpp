#include "quota/Admission.h"

#include <algorithm>
#include <numeric>

#include "quota/ClassShares.h"

namespace monsoonbay {

namespace {

/**
 * Parts of the tolerance that are used deliberately; the rest covers calls that were admitted
 * elsewhere and not reported yet. The slack of a small workspace is only a few of its calls, so a
 * larger part of it is kept.
 */
constexpr double usedExcessShare = 0.7;
constexpr double usedSlackShare = 0.4;

/**
 * Free units are given out over this part of the window, so that a workspace that requests many
 * times its limit is served evenly, and not all at once with nothing afterwards.
 */
constexpr double fillShare = 0.125;

/** Part of the usable units that stays free under excess demand, as free units are given out. */
constexpr double steadyFreeShare = fillShare / (1 + fillShare);

/** Usage assumed from before a start is kept longer than real usage, by this part of a window. */
constexpr double expiryMarginShare = 0.125;

/** Calls in a window below which growth of the demand cannot be told from chance. */
constexpr double minSampleCalls = 12;
constexpr double maxGrowth = 8;

constexpr Duration minRetryDelay = std::chrono::milliseconds(500);

/** Units a second that all reachable VMs together may admit now. */
double admittedPerSecond(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                         const FleetUsage &fleet) noexcept
{
    const double freeUnits =
        reachableShare(fleet) * fleet.allowedShare * usableInWindow(limit, policy)
        - static_cast<double>(fleet.usage.unitsInWindow);
    return std::max(freeUnits / secondsToFill(policy, fleet), 0.0);
}

/**
 * Units per call that currentDemand() uses to tell growth from chance. With calls of several
 * classes it is the mean: by the units of a small call, every large call would look like growth.
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

// Estimates the units a second that are requested from all reachable VMs now; their reports are
// older. If calls are many, the demand at this VM is a sample and grows like that at all others. A
// few calls say nothing, so `sampleUnits` is added on both sides of the ratio, which then changes
// little.
double currentDemand(UsageWindow &own, const QuotaPolicy &policy, const FleetUsage &fleet,
                     std::int64_t units, Instant now)
{
    const double here = requestRateBefore(own, policy, Duration::zero(), now);
    const double before = requestRateBefore(own, policy, fleet.updateAge, now);
    const double others = std::max(static_cast<double>(fleet.usage.requestedPerSecond) - here, 0.0);
    const double sampleUnits =
        minSampleCalls * typicalUnits(fleet.usage, units) / toSeconds(policy.window);
    const double growth = (here + sampleUnits) / (before + sampleUnits);
    return here + others * std::clamp(growth, 1 / maxGrowth, maxGrowth);
}

// Divides `requested` among the classes as the VMs reported them; demand reported without a class
// belongs to the last one. Calls are extrapolated to a whole window and to all VMs, reachable or
// not, as the workspace's calls at unreachable VMs get the same shares.
ClassDemand classDemandOf(const QuotaPolicy &policy, const FleetUsage &fleet, double requested)
{
    const WorkspaceUse &use = fleet.usage;
    const double inWindow = requested * toSeconds(policy.window) / reachableShare(fleet);
    const double scale =
        inWindow / static_cast<double>(std::max<std::int64_t>(use.requestedInWindow, 1));
    const std::int64_t reported =
        std::accumulate(use.requestedByClass.begin(), use.requestedByClass.end(), std::int64_t{0});
    const std::int64_t total = std::max<std::int64_t>({use.requestedPerSecond, reported, 1});
    CountsByClass parts = use.requestedByClass;
    parts.back() += total - reported;
    ClassDemand demand;
    demand.vms = std::max(fleet.knownVms, fleet.reachableVms);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        demand.units[index] =
            requested * static_cast<double>(parts[index]) / static_cast<double>(total);
        demand.calls[index] = scale * static_cast<double>(use.callsInWindowByClass[index]);
    }
    return demand;
}

// A call that is larger than the part of the reachable VMs is decided by its class's share alone:
// over all partitions, the share admits as many such calls as fit together. The same holds for a
// call that is larger than what stays free of their part but not of the whole limit: beside smaller
// calls it would hardly ever fit.
bool isDecidedByShare(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                      const FleetUsage &fleet, double cost)
{
    const double total = maxInWindow(limit, policy);
    const double part = reachableShare(fleet) * total;
    const double free = steadyFreeShare * fleet.allowedShare;
    return (cost > part && cost <= total) || (cost > free * part && cost <= free * total);
}

} // namespace

double reachableShare(const FleetUsage &fleet) noexcept
{
    const int known = std::max({fleet.knownVms, fleet.reachableVms, 1});
    return static_cast<double>(std::max(fleet.reachableVms, 1)) / known;
}

// Never faster than state updates arrive: by then, what was admitted elsewhere has been reported.
double secondsToFill(const QuotaPolicy &policy, const FleetUsage &fleet) noexcept
{
    return std::max(fillShare * toSeconds(policy.window), 2 * toSeconds(fleet.updateAge));
}

double usableInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept
{
    return grantedInWindow(limit, policy) * (1 + usedExcessShare * policy.excess)
        + usedSlackShare * policy.slack;
}

// Every VM admits the same share of the calls of a class; the shares keep all VMs together within
// the limit. So no VM has to know its part of the limit, and state updates that are some tenths of
// a second old shift a share only a little. The accumulators `carryByClass` spread the admitted
// calls evenly whatever their sizes. Their phase `carry` is random for each VM, or all VMs would
// admit their first call at the same time. Each class has its own accumulator, so that small calls
// do not wait for the spacing of large ones.
QuotaDecision admitCall(UsageWindow &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                        const FleetUsage &fleet, std::int64_t units, Instant now,
                        CallClass callClass)
{
    if (!isLimited(limit))
        return {true, {}, 1, true};
    const double requested = std::max(currentDemand(own, policy, fleet, units, now), 1.0);
    // What the others have probably admitted since their reports counts as used already.
    FleetUsage projected = fleet;
    const double admittedRate = std::min(admittedPerSecond(limit, policy, fleet), requested);
    const double expiringRate =
        static_cast<double>(fleet.usage.unitsInWindow) / toSeconds(policy.window);
    const double unreported =
        std::max(admittedRate - expiringRate, 0.0) * toSeconds(fleet.updateAge);
    projected.usage.unitsInWindow += static_cast<std::int64_t>(unreported);
    const double rate = admittedPerSecond(limit, policy, projected);
    const double maxUnits = reachableShare(fleet) * maxInWindow(limit, policy);
    const auto cost = static_cast<double>(units);
    const double allowed = maxUnits * fleet.allowedShare;
    const double freeUnits = allowed - static_cast<double>(projected.usage.unitsInWindow);
    const bool fits = cost <= freeUnits || isDecidedByShare(limit, policy, fleet, cost);
    const ClassDemand demand = classDemandOf(policy, fleet, requested);
    const double share = classSharesOf(demand, std::min(rate / requested, 1.0))[indexOf(callClass)];
    double &carried = own.carryByClass[indexOf(callClass)];
    carried += fits ? share : 0;
    if (own.carry + carried >= 1) {
        carried -= 1;
        return {true, {}, share, fits};
    }
    const double surplus = share > 0 ? 1 / share - 1 : toSeconds(policy.window);
    const Duration wait = fromSeconds(surplus * toSeconds(minRetryDelay));
    return {false, std::clamp<Duration>(wait, minRetryDelay, policy.window / 2), share, fits};
}

// The maximum that may have been used, less what the rate needs to continue from the first moment.
WorkspaceUse assumedUsageBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                                     int knownVms, Duration sinceStart) noexcept
{
    const double window = toSeconds(policy.window);
    const double kept =
        std::clamp(1 + expiryMarginShare - toSeconds(sinceStart) / window, 0.0, 1.0);
    const double maxUnits =
        usableInWindow(limit, policy) - limit.ratePerSecond * fillShare * window;
    WorkspaceUse use;
    use.unitsInWindow = static_cast<std::int64_t>(maxUnits * kept / std::max(knownVms, 1));
    return use;
}

} // namespace monsoonbay
