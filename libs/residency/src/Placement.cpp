#include "residency/Placement.h"

#include <algorithm>
#include <cassert>

#include "residency/PlacementPolicy.h"

namespace monsoonbay {

namespace {

constexpr double loadTimeSmoothing = 0.2;
constexpr double maxLoadTimeFactor = 3; ///< cap of a measured load time, in expected load times
constexpr Duration prefetchPause = std::chrono::seconds(1);
constexpr Duration declinedPause = std::chrono::milliseconds(100);

template <typename Change>
void forEachCopy(PlacementState &state, const TargetView &view, Change change)
{
    if (!view.usable || view.leaving)
        return;
    for (const ResidentSlot &slot : view.resident)
        change(state.copies[slot.adapter]);
    for (const AdapterId adapter : view.loading)
        change(state.copies[adapter]);
}

void uncountCopies(PlacementState &state, const TargetView &view)
{
    forEachCopy(state, view, [](int &count) { --count; });
    const auto eraseIfNone = [&state](AdapterId adapter) {
        const auto found = state.copies.find(adapter);
        if (found != state.copies.end() && found->second == 0)
            state.copies.erase(found);
    };
    for (const ResidentSlot &slot : view.resident)
        eraseIfNone(slot.adapter);
    for (const AdapterId adapter : view.loading)
        eraseIfNone(adapter);
}

void countCopies(PlacementState &state, const TargetView &view)
{
    forEachCopy(state, view, [](int &count) { ++count; });
}

void dropStaleWants(PlacementState &state, Instant now)
{
    for (auto iterator = state.wants.begin(); iterator != state.wants.end();) {
        std::vector<Want> &wants = iterator->second.wants;
        std::erase_if(wants, [&](const Want &want) {
            return want.receivedAt + state.config.wantLifetime < now || want.deadline <= now;
        });
        iterator = wants.empty() ? state.wants.erase(iterator) : std::next(iterator);
    }
}

// The owner of a target may die between a command and its result. Without this timeout its permit
// would never be returned and no adapter would be loaded again.
void dropLostLoads(PlacementState &state, Instant now)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[permit, load] : state.pending) {
        if (load.startedAt + state.config.loadTimeout < now)
            lost.push_back(permit);
    }
    for (const std::uint64_t permit : lost) {
        ++state.counters.loadsLost;
        recordLoadResult(state, permit, LoadOutcome::Failed, now);
    }
}

void backOff(Backoff &backoff, const PlacementConfig &config, std::uint64_t seed, Instant now)
{
    backoff.failures = std::min(backoff.failures + 1, 16);
    const double base =
        toSeconds(config.firstBackoff) * static_cast<double>(1U << (backoff.failures - 1));
    const double capped = std::min(base, toSeconds(config.maxBackoff));
    const double jitter =
        0.5 + static_cast<double>(rendezvousScore(seed, backoff.failures) >> 11U) * 0x1p-53;
    backoff.until = now + fromSeconds(capped * jitter);
}

void removeLoading(TargetView &target, AdapterId adapter)
{
    const auto found = std::find(target.loading.begin(), target.loading.end(), adapter);
    if (found != target.loading.end())
        target.loading.erase(found);
}

// The owner's state is newer than this view: the victim is in use, or the target takes no commands
// now. Another choice is made at once; the owner's next report corrects the view.
void restoreDeclined(PlacementState &state, TargetView &target, const LoadOrder &order, Instant now)
{
    target.backoffUntil = std::max(target.backoffUntil, now + declinedPause);
    if (order.evict.value == 0)
        return;
    uncountCopies(state, target);
    target.resident.push_back(ResidentSlot{order.evict, 1, now});
    countCopies(state, target);
}

bool isPermitFree(const PlacementState &state, Instant now)
{
    const int limit = state.policy->loadsAtOnce == 0 ? static_cast<int>(state.targets.size())
                                                     : state.policy->loadsAtOnce;
    // Loads that a previous coordinator commanded still use the store; the owners report them.
    std::size_t loading = 0;
    for (const TargetView &target : state.targets)
        loading += target.loading.size();
    const std::size_t underWay = std::max(state.pending.size(), loading);
    return static_cast<int>(underWay) < limit && now >= state.nextLoadAt;
}

// Searching 67,000 adapters for one worth prefetching takes milliseconds. After a search without a
// result the coordinator pauses: at every tick it would use more than its share of a core.
std::optional<LoadChoice> prefetchIfDue(PlacementState &state, Instant now)
{
    if (state.policy->prefetch == nullptr || now < state.nextPrefetchAt)
        return std::nullopt;
    std::optional<LoadChoice> choice = state.policy->prefetch(state, now);
    if (!choice)
        state.nextPrefetchAt = now + prefetchPause;
    return choice;
}

LoadOrder startLoad(PlacementState &state, const LoadChoice &choice, Instant now)
{
    TargetView &target = state.targets[choice.slot.target];
    uncountCopies(state, target);
    if (choice.slot.evict.value != 0) {
        std::erase_if(target.resident, [&](const ResidentSlot &slot) {
            assert(slot.adapter != choice.slot.evict || slot.pins == 0);
            return slot.adapter == choice.slot.evict;
        });
    }
    target.loading.push_back(choice.adapter);
    countCopies(state, target);
    const LoadOrder order{state.nextPermit++, target.target, choice.adapter, choice.slot.evict};
    state.pending[order.permit] = PendingLoad{order, now};
    ++state.counters.loadsOrdered;
    state.counters.prefetches += choice.prefetch ? 1 : 0;
    // During a partition several sides use one store: each limits its load starts to its share.
    if (state.config.storeShare < 1)
        state.nextLoadAt =
            now + fromSeconds(1 / (state.config.loadsPerSecond * state.config.storeShare));
    return order;
}

void refuseWaiters(PlacementState &state, PlacementActions &actions, AdapterId adapter,
                   ErrorKind kind, Instant now)
{
    const auto found = state.wants.find(adapter);
    if (found == state.wants.end())
        return;
    const auto backoff = state.backoffs.find(adapter);
    Duration wait = expectedLoadTime(state) * static_cast<int>(state.wants.size());
    if (backoff != state.backoffs.end())
        wait = std::max(wait, backoff->second.until - now);
    for (const Want &want : found->second.wants) {
        actions.verdicts.push_back(WantVerdict{adapter, want.origin, kind, wait});
        state.counters.refusals += static_cast<std::uint64_t>(want.waiting);
    }
    state.wants.erase(found);
}

} // namespace

int WantSet::waiting() const noexcept
{
    int sum = 0;
    for (const Want &want : this->wants)
        sum += want.waiting;
    return sum;
}

double WantSet::weight() const noexcept
{
    double sum = 0;
    for (const Want &want : this->wants)
        sum += want.weight;
    return sum;
}

Instant WantSet::oldest() const noexcept
{
    Instant oldest = Instant::max();
    for (const Want &want : this->wants)
        oldest = std::min(oldest, want.oldest);
    return oldest;
}

Instant WantSet::deadline() const noexcept
{
    Instant nearest = Instant::max();
    for (const Want &want : this->wants)
        nearest = std::min(nearest, want.deadline);
    return nearest;
}

PlacementState makePlacement(const PlacementConfig &config, const PlacementPolicy &policy,
                             Instant now, std::uint64_t firstPermit)
{
    PlacementState state;
    state.config = config;
    state.policy = &policy;
    state.demand = makeDemandTable(config.demand, now);
    state.nextPermit = firstPermit;
    return state;
}

void updateTarget(PlacementState &state, const TargetView &view)
{
    const auto known = state.targetIndex.find(view.target);
    if (known == state.targetIndex.end()) {
        state.targetIndex[view.target] = state.targets.size();
        state.targets.push_back(view);
        countCopies(state, view);
        return;
    }
    TargetView &target = state.targets[known->second];
    uncountCopies(state, target);
    const Instant backoffUntil = target.backoffUntil;
    const int failures = target.failures;
    target = view;
    target.backoffUntil = backoffUntil;
    target.failures = failures;
    // The owner's report may be older than a command that is on its way to it.
    for (const auto &[permit, load] : state.pending) {
        if (load.order.target != view.target)
            continue;
        std::erase_if(target.resident, [&load = load](const ResidentSlot &slot) {
            return slot.adapter == load.order.evict || slot.adapter == load.order.adapter;
        });
        removeLoading(target, load.order.adapter);
        target.loading.push_back(load.order.adapter);
    }
    countCopies(state, target);
}

void setTargetLeaving(PlacementState &state, TargetId target, bool leaving)
{
    const auto known = state.targetIndex.find(target);
    if (known == state.targetIndex.end())
        return;
    TargetView &view = state.targets[known->second];
    uncountCopies(state, view);
    view.leaving = leaving;
    countCopies(state, view);
}

void forgetTarget(PlacementState &state, TargetId target)
{
    const auto known = state.targetIndex.find(target);
    if (known == state.targetIndex.end())
        return;
    const std::size_t index = known->second;
    uncountCopies(state, state.targets[index]);
    std::erase_if(state.pending,
                  [target](const auto &item) { return item.second.order.target == target; });
    state.targetIndex.erase(known);
    state.targets.erase(state.targets.begin() + static_cast<std::ptrdiff_t>(index));
    for (std::size_t later = index; later < state.targets.size(); ++later)
        state.targetIndex[state.targets[later].target] = later;
}

void recordDemand(PlacementState &state, AdapterId adapter, int count, int hits, Instant now)
{
    for (int request = 0; request < count; ++request)
        recordHit(state.demand, request < hits, now);
    recordRequests(state.demand, adapter, count, now);
}

void updateWant(PlacementState &state, const Want &want, Instant now)
{
    WantSet &set = state.wants[want.adapter];
    std::erase_if(set.wants, [&](const Want &known) { return known.origin == want.origin; });
    if (want.waiting > 0) {
        set.wants.push_back(want);
        set.wants.back().receivedAt = now;
    }
    if (set.wants.empty())
        state.wants.erase(want.adapter);
}

void recordLoadResult(PlacementState &state, std::uint64_t permit, LoadOutcome outcome, Instant now)
{
    const auto found = state.pending.find(permit);
    if (found == state.pending.end())
        return;
    const PendingLoad load = found->second;
    state.pending.erase(found);
    const auto index = state.targetIndex.find(load.order.target);
    if (index != state.targetIndex.end()) {
        TargetView &target = state.targets[index->second];
        uncountCopies(state, target);
        removeLoading(target, load.order.adapter);
        if (outcome == LoadOutcome::Loaded)
            target.resident.push_back(ResidentSlot{load.order.adapter, 0, now});
        countCopies(state, target);
        if (outcome == LoadOutcome::Failed) {
            Backoff backoff{target.failures, {}};
            backOff(backoff, state.config, load.order.target.value, now);
            target.failures = backoff.failures;
            target.backoffUntil = backoff.until;
        } else if (outcome == LoadOutcome::Loaded) {
            target.failures = 0;
        } else {
            restoreDeclined(state, target, load.order, now);
        }
    }
    if (outcome == LoadOutcome::Declined) {
        ++state.counters.loadsDeclined;
        return;
    }
    if (outcome == LoadOutcome::Failed) {
        ++state.counters.loadsFailed;
        backOff(state.backoffs[load.order.adapter], state.config, load.order.adapter.value, now);
        return;
    }
    ++state.counters.loadsDone;
    state.backoffs.erase(load.order.adapter);
    // A load that lasted through an outage of the store says nothing about the next one.
    const double measured = std::min(toSeconds(now - load.startedAt),
                                     maxLoadTimeFactor * toSeconds(expectedLoadTime(state)));
    state.loadSeconds = state.loadSeconds == 0
        ? measured
        : state.loadSeconds + loadTimeSmoothing * (measured - state.loadSeconds);
}

PlacementActions decide(PlacementState &state, Instant now)
{
    PlacementActions actions;
    dropStaleWants(state, now);
    dropLostLoads(state, now);
    for (const AdapterId adapter : state.policy->refuse(state, now)) {
        const bool failing = state.backoffs.contains(adapter);
        refuseWaiters(state, actions, adapter,
                      failing ? ErrorKind::LoadFailed : ErrorKind::StoreSaturated, now);
    }
    while (isPermitFree(state, now)) {
        std::optional<LoadChoice> choice = state.policy->nextLoad(state, now);
        if (!choice)
            choice = prefetchIfDue(state, now);
        if (!choice)
            break;
        actions.orders.push_back(startLoad(state, *choice, now));
    }
    return actions;
}

bool isResident(const PlacementState &state, AdapterId adapter)
{
    for (const TargetView &target : state.targets) {
        if (!target.usable || target.leaving)
            continue;
        for (const ResidentSlot &slot : target.resident) {
            if (slot.adapter == adapter)
                return true;
        }
    }
    return false;
}

Duration expectedLoadTime(const PlacementState &state)
{
    const double byRate = 1 / (state.config.loadsPerSecond * state.config.storeShare);
    return fromSeconds(std::max(byRate, state.loadSeconds));
}

std::size_t bytesOf(const PlacementState &state)
{
    constexpr std::size_t mapNode = 40;
    std::size_t bytes = sizeof(state) + bytesOf(state.demand);
    for (const TargetView &target : state.targets)
        bytes += sizeof(target) + target.resident.capacity() * sizeof(ResidentSlot)
            + target.loading.capacity() * sizeof(AdapterId);
    bytes += state.copies.size() * mapNode + state.copies.bucket_count() * sizeof(void *);
    for (const auto &[adapter, set] : state.wants)
        bytes += mapNode + sizeof(set) + set.wants.capacity() * sizeof(Want);
    return bytes;
}

} // namespace monsoonbay
