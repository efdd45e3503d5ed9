// Placement by forecast. The store's rate is the hard limit, so the three regimes get their own
// answer: store idle - prefetch and replicate; store near its rate - choose well what to evict
// and load what helps most waiters; store over its rate - refuse at once what cannot come in time.

#include <algorithm>
#include <array>
#include <limits>

#include "PlacementSupport.h"

namespace monsoonbay {

namespace {

/** A resident copy in another zone costs a hop of a millisecond; almost nothing. */
constexpr double zoneHopCost = 0.02;
/** A cached prefix only breaks ties: its hint is late and has gaps. */
constexpr double prefixBonus = 0.01;
/** What a full target's queue costs over any other choice. */
constexpr double queueCost = 10;
/** Preference of a load that deserves its slot for longer than the one request. */
constexpr double hotPreference = 20;
/** Seconds of evidence from which on rates tell the hot from the merely recent. */
constexpr double trustedWindow = 300;
/** What a slot's demand counts while another target holds the adapter too. */
constexpr double spareCopyShare = 0.25;
constexpr double leastWeight = 0.05;
/** A load that has taken so many times the usual means that the store stands still. */
constexpr int standstillFactor = 4;
/** Share of the time to a deadline that loads already admitted may fill. */
constexpr double admissibleShare = 0.3;
/** The waiters' age that counts as much as one more waiter. */
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

/** Value of a wholly filled target, in requests a second that would have to wait, at equal weights.
 */
constexpr double fillValue = 0.006;

/** False during a popularity shift and until enough has been seen after it. */
bool ratesTrusted(const PlacementState &state)
{
    return !shiftSuspected(state.demand) && state.demand.slowWindow >= trustedWindow;
}

// Expected stall that evicting a slot causes, in requests a second that would have to wait. The
// weights exchange it against batch efficiency: on a busy target the loaded adapter's requests
// share steps that run anyway, so a slot there is worth evicting even if it is a little warmer.
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
        state.config.batchWeight / std::max(leastWeight, state.config.stallWeight);
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
    // By old rates the newly popular look cold, and each would be evicted for the next one before
    // the shift is certain; recency does not make that mistake.
    if (shiftSuspected(state.demand))
        return leastRecentSlot(state, now);
    return cheapestSlot(state, now);
}

/**
 * The rate from which on an adapter deserves a slot: that of the one to evict; zero while rates
 * cannot tell.
 */
double residentRate(const PlacementState &state, const SlotChoice &slot, Instant now)
{
    if (!ratesTrusted(state) || slot.evict.value == 0)
        return 0;
    return rateOf(state.demand, slot.evict, now);
}

// Stall that loading now rather than later saves: those who wait and those who will come
// meanwhile. One that deserves its slot goes first, so that under overload the tail's queue does
// not make the hot set wait; the age term bounds how long a lone waiter can be overtaken.
double benefitOf(const PlacementState &state, AdapterId adapter, const WantSet &set, double hotRate,
                 Instant now)
{
    const double age = std::max(0.0, toSeconds(now - set.oldest()));
    const double rate = rateOf(state.demand, adapter, now);
    const double coming = rate * toSeconds(expectedLoadTime(state)) * 10;
    const double preference = hotRate > 0 && rate > 2 * hotRate ? hotPreference : 1;
    return preference * (set.weight() * (1 + age / ageOfOneWaiterSeconds) + coming);
}

struct DatedWant
{
    Instant deadline;
    AdapterId adapter;

    auto operator<=>(const DatedWant &) const = default;
};

// Whoever was admitted is loaded in time. Helpful loads may go first only as long as all admitted
// ones still fit before their deadlines; then the earliest deadline goes first.
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

AdapterId mostHelpful(const PlacementState &state, double hotRate, Instant now)
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
        adapter = mostHelpful(state, residentRate(state, *slot, now), now);
    if (adapter.value == 0)
        return std::nullopt;
    return LoadChoice{adapter, *slot, false};
}

// Only free slots are filled ahead of demand, as after a restart. Evicting for a prefetch was
// measured to lose: it delays the demanded load that comes meanwhile (docs/design/residency.md).
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

/** True if the adapter's loads fail and the next try cannot end before the deadline. */
bool failsUntil(const PlacementState &state, AdapterId adapter, Instant deadline)
{
    const auto backoff = state.backoffs.find(adapter);
    return backoff != state.backoffs.end()
        && backoff->second.until + expectedLoadTime(state) > deadline;
}

// A load that takes many times what loads take means that the store is down or very slow. For how
// long is unknown; what has lasted for some time is expected to last that long again.
Duration expectedStandstill(const PlacementState &state, Instant now)
{
    Duration longest{};
    for (const auto &[permit, load] : state.pending)
        longest = std::max(longest, Duration(now - load.startedAt));
    const bool stands = longest > standstillFactor * expectedLoadTime(state);
    return stands ? longest : Duration{};
}

struct FreshWant
{
    Instant deadline;
    double weight;
    AdapterId adapter;
};

bool heavierFirst(const FreshWant &a, const FreshWant &b)
{
    return a.weight != b.weight ? a.weight > b.weight : a.adapter < b.adapter;
}

// A want that is admitted keeps its place, so that nobody is refused late but for a failed load.
// A new one is admitted if its load still ends in time after all that are admitted.
std::vector<AdapterId> refuseHopeless(PlacementState &state, Instant now)
{
    std::vector<FreshWant> fresh;
    std::size_t admitted = 0;
    std::vector<AdapterId> refused;
    const Duration standstill = expectedStandstill(state, now);
    for (const auto &[adapter, set] : state.wants) {
        const bool hopeless = standstill > Duration{} && now + standstill > set.deadline();
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
            fresh.push_back({set.deadline(), set.weight(), adapter});
    }
    std::sort(fresh.begin(), fresh.end(), heavierFirst);
    const double loadSeconds = toSeconds(expectedLoadTime(state));
    for (const FreshWant &want : fresh) {
        const auto ahead = static_cast<double>(admitted + state.pending.size());
        const double room = toSeconds(want.deadline - now) * admissibleShare;
        // With nothing ahead it is always tried: if everybody were refused on the word of a slow
        // load, no load would ever show that the store is quick again.
        if (ahead > 0 && (ahead + 1) * loadSeconds > room) {
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
