// Placement by estimated request rates. The store's load rate is the bottleneck. While the store is
// idle, free slots are filled ahead of demand; near its rate, the policy chooses what to evict and
// loads what saves the most waiting; above its rate, it refuses at once what cannot be loaded in
// time.

#include <algorithm>
#include <array>
#include <limits>

#include "PlacementSupport.h"

namespace monsoonbay {

namespace {

/** Routing cost of a target in another zone: its hop of a millisecond matters very little. */
constexpr double zoneHopCost = 0.02;
/** A cached prefix only breaks ties, as its hint is late and incomplete. */
constexpr double prefixBonus = 0.01;
/** Routing cost of a full target, where the request would queue; above any other cost. */
constexpr double queueCost = 10;
/** Benefit factor of an adapter that is hot enough to keep its slot beyond the waiting requests. */
constexpr double hotPreference = 20;
/** Effective seconds of counts above which rates can tell hot adapters from recent ones. */
constexpr double trustedWindow = 300;
/** Factor of an adapter's rate in the eviction cost while another target holds it too. */
constexpr double spareCopyShare = 0.25;
constexpr double minWeight = 0.05;
/** A load that takes longer than this many expected load times means that the store is stalled. */
constexpr int stallFactor = 4;
/** Part of the time to a deadline that the admitted loads may take. */
constexpr double admissibleShare = 0.3;
/** Waiting time that adds the weight of the waiting requests once more to their benefit. */
constexpr double ageOfOneWaiterSeconds = 15;

std::size_t routeByWeights(std::span<const RouteCandidate> candidates, double stallWeight,
                           double batchWeight)
{
    std::size_t best = candidates.size();
    double lowest = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const RouteCandidate &candidate = candidates[index];
        if (!candidate.resident)
            continue;
        const double fill =
            static_cast<double>(candidate.running) / std::max(1, candidate.maxBatch);
        double cost = stallWeight * fill + batchWeight * (1 - fill);
        if (fill >= 1)
            cost = queueCost + fill;
        if (!candidate.sameZone)
            cost += zoneHopCost;
        if (candidate.prefixCached)
            cost -= prefixBonus;
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = index;
    }
    return best;
}

/** Discount of the eviction cost on a full target, at equal weights, in requests a second. */
constexpr double fillValue = 0.006;

/** False during a suspected popularity shift and until enough requests were counted after one. */
bool ratesTrusted(const PlacementState &state)
{
    return !shiftSuspected(state.demand) && state.demand.slowWindow >= trustedWindow;
}

// Expected stalls by the eviction, in requests a second that would have to wait. The weights trade
// them against batch efficiency: on a busy target the loaded adapter's requests share batch steps
// that run anyway, so evicting there pays even if the evicted adapter is a little hotter.
double evictionCost(const PlacementState &state, const TargetView &target, const ResidentSlot &slot,
                    Instant now)
{
    const auto copies = state.copies.find(slot.adapter);
    const int others = copies == state.copies.end() ? 0 : copies->second - 1;
    double rate = rateOf(state.demand, slot.adapter, now);
    if (others > 0)
        rate *= spareCopyShare;
    const double fill =
        std::min(1.0, static_cast<double>(target.running) / std::max(1, target.maxBatch));
    const double exchange =
        state.config.batchWeight / std::max(minWeight, state.config.stallWeight);
    return rate - exchange * fillValue * fill;
}

std::optional<SlotChoice> cheapestSlot(const PlacementState &state, Instant now)
{
    std::optional<SlotChoice> best;
    double lowest = std::numeric_limits<double>::max();
    Instant leastRecent = Instant::max();
    for (std::size_t index = 0; index < state.targets.size(); ++index) {
        const TargetView &target = state.targets[index];
        if (!takesLoads(target, now))
            continue;
        for (const ResidentSlot &slot : target.resident) {
            const bool tooYoung = slot.since + state.config.minResidency > now;
            if (slot.pins > 0 || tooYoung || isWanted(state, slot.adapter))
                continue;
            const double cost = evictionCost(state, target, slot, now);
            const Instant last = lastRequestOf(state.demand, slot.adapter);
            const bool better = cost < lowest || (cost == lowest && last < leastRecent);
            if (!better)
                continue;
            lowest = cost;
            leastRecent = last;
            best = SlotChoice{index, slot.adapter};
        }
    }
    return best;
}

std::optional<SlotChoice> slotFor(const PlacementState &state, Instant now)
{
    const std::optional<SlotChoice> free = freeSlot(state, now);
    if (free)
        return free;
    // By their old rates newly popular adapters look cold, and each would be evicted for the next
    // one until the shift is certain. Least recently used eviction avoids that.
    if (shiftSuspected(state.demand))
        return leastRecentSlot(state, now);
    return cheapestSlot(state, now);
}

/**
 * Rate above which an adapter is worth a slot: that of the adapter to evict; zero if the rates
 * cannot be trusted or a slot is free.
 */
double minWorthwhileRate(const PlacementState &state, const SlotChoice &slot, Instant now)
{
    if (!ratesTrusted(state) || slot.evict.value == 0)
        return 0;
    return rateOf(state.demand, slot.evict, now);
}

// Stalls saved by loading now rather than later: of the waiting requests and of those expected
// meanwhile. An adapter that is much hotter than the evicted one goes first, so that under overload
// hot adapters do not queue behind the long tail. The age term bounds how long a single waiting
// request can be overtaken.
double benefitOf(const PlacementState &state, AdapterId adapter, const WantSet &set, double hotRate,
                 Instant now)
{
    const double age = std::max(0.0, toSeconds(now - set.oldest()));
    const double rate = rateOf(state.demand, adapter, now);
    const double expected = rate * toSeconds(expectedLoadTime(state)) * 10;
    const double preference = hotRate > 0 && rate > 2 * hotRate ? hotPreference : 1;
    return preference * (set.weight() * (1 + age / ageOfOneWaiterSeconds) + expected);
}

struct DatedWant
{
    Instant deadline;
    AdapterId adapter;

    auto operator<=>(const DatedWant &) const = default;
};

// A load of higher benefit may go first only if all wanted adapters still fit their deadlines
// after it. Otherwise the one with the earliest deadline is returned; value 0: nothing is urgent.
AdapterId urgentLoad(const PlacementState &state, Instant now)
{
    std::vector<DatedWant> dated;
    for (const auto &[adapter, set] : state.wants) {
        if (mayLoad(state, adapter, now))
            dated.push_back({set.deadline(), adapter});
    }
    std::sort(dated.begin(), dated.end());
    const Duration load = expectedLoadTime(state);
    Duration needed = load;
    for (const DatedWant &want : dated) {
        needed += load;
        if (now + needed >= want.deadline)
            return dated.front().adapter;
    }
    return AdapterId{};
}

AdapterId mostBeneficial(const PlacementState &state, double hotRate, Instant now)
{
    AdapterId best;
    double highest = -1;
    for (const auto &[adapter, set] : state.wants) {
        if (!mayLoad(state, adapter, now))
            continue;
        const double benefit = benefitOf(state, adapter, set, hotRate, now);
        const bool better = benefit > highest || (benefit == highest && adapter < best);
        if (!better)
            continue;
        highest = benefit;
        best = adapter;
    }
    return best;
}

std::optional<LoadChoice> demandedLoad(const PlacementState &state, Instant now)
{
    if (state.wants.empty())
        return std::nullopt;
    const std::optional<SlotChoice> slot = slotFor(state, now);
    if (!slot)
        return std::nullopt;
    AdapterId adapter = urgentLoad(state, now);
    if (adapter.value == 0)
        adapter = mostBeneficial(state, minWorthwhileRate(state, *slot, now), now);
    if (adapter.value == 0)
        return std::nullopt;
    return LoadChoice{adapter, *slot, false};
}

// Only free slots are filled ahead of demand, as after a restart. Evicting for a prefetch was
// measured to be worse: it delays the next demanded load (docs/design/residency.md).
std::optional<LoadChoice> prefetch(const PlacementState &state, Instant now)
{
    const std::optional<SlotChoice> slot = freeSlot(state, now);
    if (!slot)
        return std::nullopt;
    std::size_t held = 0;
    for (const TargetView &target : state.targets)
        held += target.resident.size() + target.loading.size();
    for (const AdapterId adapter : hottest(state.demand, held + 1, now)) {
        if (!mayLoad(state, adapter, now) || rateOf(state.demand, adapter, now) <= 0)
            continue;
        return LoadChoice{adapter, *slot, true};
    }
    return std::nullopt;
}

/** True if the adapter's loads fail and the next attempt cannot end before the deadline. */
bool failsUntil(const PlacementState &state, AdapterId adapter, Instant deadline)
{
    const auto backoff = state.backoffs.find(adapter);
    return backoff != state.backoffs.end()
        && backoff->second.until + expectedLoadTime(state) > deadline;
}

// A load that takes many times the expected time means that the store is down or very slow. The
// stall is expected to last as long again as it has lasted so far.
Duration expectedStall(const PlacementState &state, Instant now)
{
    Duration longest{};
    for (const auto &[permit, load] : state.pending)
        longest = std::max(longest, Duration(now - load.startedAt));
    const bool stalled = longest > stallFactor * expectedLoadTime(state);
    return stalled ? longest : Duration{};
}

struct NewWant
{
    Instant deadline;
    double weight;
    AdapterId adapter;
};

bool heavierFirst(const NewWant &a, const NewWant &b)
{
    return a.weight != b.weight ? a.weight > b.weight : a.adapter < b.adapter;
}

// A want that was admitted stays admitted, so that a late refusal comes only from a failing load or
// a stalled store. A new one is admitted if its load still ends in time after all admitted ones.
std::vector<AdapterId> refuseHopeless(PlacementState &state, Instant now)
{
    std::vector<NewWant> newWants;
    std::size_t admitted = 0;
    std::vector<AdapterId> refused;
    const Duration stall = expectedStall(state, now);
    for (const auto &[adapter, set] : state.wants) {
        const bool hopeless = stall > Duration{} && now + stall > set.deadline();
        if (hopeless) {
            refused.push_back(adapter);
            continue;
        }
        if (state.copies.contains(adapter))
            continue;
        if (failsUntil(state, adapter, set.deadline()))
            refused.push_back(adapter);
        else if (set.admitted)
            ++admitted;
        else
            newWants.push_back({set.deadline(), set.weight(), adapter});
    }
    std::sort(newWants.begin(), newWants.end(), heavierFirst);
    const double loadSeconds = toSeconds(expectedLoadTime(state));
    for (const NewWant &want : newWants) {
        const auto ahead = static_cast<double>(admitted + state.pending.size());
        const double availableSeconds = toSeconds(want.deadline - now) * admissibleShare;
        // With nothing ahead it is always admitted: if one slow load made the policy refuse all
        // wants, no load would ever show that the store is fast again.
        if (ahead > 0 && (ahead + 1) * loadSeconds > availableSeconds) {
            refused.push_back(want.adapter);
            continue;
        }
        ++admitted;
        state.wants[want.adapter].admitted = true;
    }
    return refused;
}

constexpr PlacementPolicy forecast{"forecast",   1,        routeByWeights,
                                   demandedLoad, prefetch, refuseHopeless};

} // namespace

} // namespace monsoonbay

MONSOONBAY_REGISTER_PLACEMENT(Forecast, monsoonbay::forecast);
