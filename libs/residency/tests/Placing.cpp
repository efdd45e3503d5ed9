// Placement decisions under random events, and by single scenarios.

#include <set>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "residency/PlacementPolicy.h"

using namespace monsoonbay;

namespace {

constexpr int targetCount = 3;
constexpr int slotCount = 2;

AdapterId adapterOf(int number)
{
    return AdapterId::of("a" + std::to_string(number));
}

TargetView emptyTarget(int index)
{
    TargetView view;
    view.target = TargetId{static_cast<std::uint64_t>(index) + 1};
    view.slots = slotCount;
    return view;
}

Want wantOf(int adapter, int waiting, Instant now, Duration maxWait)
{
    return Want{adapterOf(adapter), VmId{1}, waiting, now, now + maxWait, 1.0 * waiting, now};
}

PlacementState threeTargets(const PlacementPolicy &policy, Instant now)
{
    PlacementState state = makePlacement({}, policy, now);
    for (int index = 0; index < targetCount; ++index)
        updateTarget(state, emptyTarget(index));
    return state;
}

/** Checks a load command against the state before it was given. */
void checkCommand(const std::vector<TargetView> &before, const LoadOrder &order)
{
    for (const TargetView &target : before) {
        if (target.target != order.target)
            continue;
        RC_ASSERT(target.usable && !target.leaving);
        bool victimResident = order.evict.value == 0;
        for (const ResidentSlot &slot : target.resident) {
            RC_ASSERT(slot.adapter != order.adapter);
            if (slot.adapter != order.evict)
                continue;
            RC_ASSERT(slot.pins == 0);
            victimResident = true;
        }
        RC_ASSERT(victimResident);
        if (order.evict.value == 0)
            RC_ASSERT(target.freeSlots() > 0);
    }
}

void runSchedule(const PlacementPolicy &policy)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(policy, now);
    std::vector<LoadOrder> pendingCommands;
    const auto events = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(1, 12), rc::gen::inRange(0, 3)));
    for (const auto &[event, adapter, other] : events) {
        now += std::chrono::milliseconds(700);
        if (event <= 1) {
            recordDemand(state, adapterOf(adapter), 1, 0, now);
            updateWant(state, wantOf(adapter, 1 + other, now, std::chrono::seconds(30)), now);
        } else if (event == 2 && !pendingCommands.empty()) {
            const LoadOutcome outcome = static_cast<LoadOutcome>(other);
            recordLoadResult(state, pendingCommands.front().permit, outcome, now);
            pendingCommands.erase(pendingCommands.begin());
        } else if (event == 3) { // requests pin or unpin the slots of a target
            TargetView view = state.targets[static_cast<std::size_t>(other)];
            for (ResidentSlot &slot : view.resident)
                slot.pins = adapter % 2;
            view.loading.clear();
            updateTarget(state, view);
        } else if (event == 4) {
            updateTarget(state, emptyTarget(other)); // restarted cold
        } else if (event == 5) {
            TargetView view = state.targets[static_cast<std::size_t>(other)];
            view.leaving = adapter % 3 == 0;
            view.loading.clear();
            updateTarget(state, view);
        }
        const std::vector<TargetView> before = state.targets;
        const PlacementActions actions = decide(state, now);
        for (const LoadOrder &order : actions.orders) {
            checkCommand(before, order);
            pendingCommands.push_back(order);
        }
        if (policy.loadsAtOnce > 0)
            RC_ASSERT(static_cast<int>(state.pending.size()) <= policy.loadsAtOnce);
        for (const TargetView &target : state.targets)
            RC_ASSERT(target.freeSlots() >= 0);
    }
}

} // namespace

// Guards against evicting a pinned adapter, overfilling a target, loading on one that takes no
// work, and more concurrent loads than the policy allows, in random sequences of events.
Test(placement, commands_evict_only_idle_slots_and_keep_to_the_permits)
{
    for (const char *name : {"forecast", "plain-good"}) {
        const PlacementPolicy *policy = findPlacementPolicy(name);
        cr_assert_not_null(policy);
        cr_assert(rc::check(name, [policy] { runSchedule(*policy); }));
    }
}

// Guards against a policy that the linker drops, so that it is not found by its name.
Test(placement, three_policies_registered_themselves)
{
    cr_assert_eq(placementPolicies().size(), 3);
    cr_assert_null(findPlacementPolicy("no-such"));
}

// Guards against requests for a cold adapter that wait until their deadline and are refused then:
// the store's queue has to be compared with the deadline when they arrive.
Test(placement, what_cannot_be_loaded_in_time_is_refused_at_once)
{
    const Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    for (int adapter = 1; adapter <= 40; ++adapter)
        updateWant(state, wantOf(adapter, 1, now, std::chrono::seconds(5)), now);
    const PlacementActions actions = decide(state, now);
    cr_assert_eq(actions.orders.size(), 1);
    // Two loads a second and 0.3 of five seconds: three can be loaded, the rest is refused now.
    cr_assert_eq(actions.verdicts.size(), 37);
    for (const WantVerdict &verdict : actions.verdicts)
        cr_assert(verdict.refusal == ErrorKind::StoreSaturated);
    cr_assert_eq(decide(state, now).verdicts.size(), 0, "admitted wants are not refused later");
}

// Guards against requests that wait until their deadlines while the store is down: a load is in
// progress when the store stops, and the expected load time stays the usual one.
Test(placement, requests_are_refused_while_the_store_is_stalled)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    updateWant(state, wantOf(1, 1, now, std::chrono::seconds(30)), now);
    cr_assert_eq(decide(state, now).orders.size(), 1);
    const Instant deadline = now + std::chrono::seconds(30);
    std::size_t refused = 0;
    Instant refusedAt{};
    while (now < deadline && refused == 0) {
        now += std::chrono::milliseconds(100);
        Want again = wantOf(1, 1, now, deadline - now);
        updateWant(state, again, now);
        refused += decide(state, now).verdicts.size();
        refusedAt = now;
    }
    cr_assert_eq(refused, 1);
    cr_assert_lt(refusedAt, deadline - std::chrono::seconds(10));
}

// Guards against refusing every request after an outage of the store: a load lasts through the
// outage, its time is taken for that of the next one, and no load is tried any more.
Test(placement, loads_are_tried_again_after_a_stall)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    updateWant(state, wantOf(1, 1, now, std::chrono::hours(1)), now);
    const PlacementActions first = decide(state, now);
    now += std::chrono::seconds(50);
    recordLoadResult(state, first.orders.at(0).permit, LoadOutcome::Loaded, now);
    for (int adapter = 2; adapter <= 6; ++adapter) {
        updateWant(state, wantOf(adapter, 1, now, std::chrono::seconds(10)), now);
        const PlacementActions next = decide(state, now);
        cr_assert_eq(next.orders.size(), 1);
        now += std::chrono::milliseconds(500);
        recordLoadResult(state, next.orders[0].permit, LoadOutcome::Loaded, now);
    }
    cr_assert_lt(toSeconds(expectedLoadTime(state)), 1.0);
}

// Guards against a permit that is never returned, so that nothing is loaded any more: the owner
// dies between the command and its result.
Test(placement, a_lost_load_returns_its_permit)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    updateWant(state, wantOf(1, 1, now, std::chrono::hours(1)), now);
    cr_assert_eq(decide(state, now).orders.size(), 1);
    now += state.config.loadTimeout + std::chrono::seconds(1);
    updateWant(state, wantOf(2, 1, now, std::chrono::hours(1)), now);
    cr_assert_eq(decide(state, now).orders.size(), 1);
    cr_assert_eq(state.counters.loadsLost, 1);
}

// Guards against an adapter that is never loaded again after its first load failed: its count of
// copies stayed in the map with the value zero and was taken for a copy.
Test(placement, a_failed_load_is_tried_again_after_its_back_off)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("plain-good"), now);
    updateWant(state, wantOf(1, 1, now, std::chrono::hours(1)), now);
    const PlacementActions first = decide(state, now);
    recordLoadResult(state, first.orders.at(0).permit, LoadOutcome::Failed, now);
    now += std::chrono::seconds(31);
    updateWant(state, wantOf(1, 1, now, std::chrono::hours(1)), now);
    cr_assert_eq(decide(state, now).orders.size(), 1);
}

// Guards against an adapter that is resident only on a leaving target and never loaded elsewhere,
// while its requests wait until their deadlines: the leaving target's copy still counted.
Test(placement, what_a_leaving_target_holds_is_loaded_elsewhere)
{
    const Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    TargetView view = emptyTarget(0);
    view.resident.push_back(ResidentSlot{adapterOf(1), 0, now});
    updateTarget(state, view);
    setTargetLeaving(state, view.target, true);
    updateWant(state, wantOf(1, 1, now, std::chrono::hours(1)), now);
    const PlacementActions actions = decide(state, now);
    cr_assert_eq(actions.orders.size(), 1);
    cr_assert(actions.orders[0].target != view.target);
}

// Guards against one broken adapter that keeps the store busy, without a back-off after failures.
Test(placement, a_failing_load_backs_off_and_its_requests_are_refused)
{
    Instant now = Instant{} + std::chrono::seconds(10);
    PlacementState state = threeTargets(*findPlacementPolicy("forecast"), now);
    int orders = 0;
    for (int second = 0; second < 60; ++second) {
        now += std::chrono::seconds(1);
        updateWant(state, wantOf(1, 1, now, std::chrono::minutes(5)), now);
        for (const LoadOrder &order : decide(state, now).orders) {
            ++orders;
            recordLoadResult(state, order.permit, LoadOutcome::Failed, now);
        }
    }
    cr_assert_geq(orders, 3);
    cr_assert_leq(orders, 12);
    updateWant(state, wantOf(1, 1, now, std::chrono::milliseconds(200)), now);
    const PlacementActions actions = decide(state, now);
    cr_assert_eq(actions.verdicts.size(), 1);
    cr_assert(actions.verdicts[0].refusal == ErrorKind::LoadFailed);
}

// Guards against loading formerly popular adapters for minutes after a popularity shift, because
// old rates outweigh present demand, and against shifts detected in steady demand.
Test(demand, a_shift_is_detected_and_steady_demand_is_not)
{
    DemandTable table = makeDemandTable({}, Instant{});
    Instant now{};
    for (int request = 0; request < 20000; ++request) {
        now += std::chrono::milliseconds(300);
        recordRequests(table, adapterOf(request % 40), 1, now);
        recordHit(table, request % 9 < 5, now);
    }
    cr_assert_eq(table.shiftsSeen, 0);
    const double before = rateOf(table, adapterOf(3), now);
    for (int request = 0; request < 60; ++request) {
        now += std::chrono::milliseconds(300);
        recordRequests(table, adapterOf(1000 + request % 10), 1, now);
        recordHit(table, request % 15 == 0, now);
    }
    cr_assert_eq(table.shiftsSeen, 1);
    cr_assert_lt(rateOf(table, adapterOf(3), now), before / 5);
    cr_assert_gt(rateOf(table, adapterOf(1003), now), rateOf(table, adapterOf(3), now) * 3);
}

// Guards against a demand table that takes more than 4 MiB for 67,000 adapters.
Test(demand, sixty_seven_thousand_adapters_take_few_megabytes)
{
    DemandTable table = makeDemandTable({}, Instant{});
    for (int adapter = 0; adapter < 67000; ++adapter)
        recordRequests(table, adapterOf(adapter), 1, Instant{} + std::chrono::seconds(1));
    cr_assert_lt(bytesOf(table), 4U * 1024 * 1024);
    cr_assert_eq(table.used, 67000);
}
