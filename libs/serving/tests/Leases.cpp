#include <algorithm>
#include <array>
#include <optional>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "LeaseModel.h"

using namespace monsoonbay;
using namespace monsoonbay::leasemodel;
using namespace std::chrono_literals;

namespace {

constexpr int ticks = 300;
constexpr int firstToggle = 80; ///< the first holder sends commands from about 6 s on
constexpr int lastToggle = 240;
constexpr int step = 10; ///< between toggles: one second

Toggle toggleAt(int tick, int kind)
{
    Toggle toggle;
    toggle.tick = tick;
    constexpr int faults = static_cast<int>(Fault::Count);
    if (kind < faults)
        toggle.fault = static_cast<Fault>(kind);
    else
        toggle.event = static_cast<StoreEvent>(kind - faults);
    return toggle;
}

constexpr int kinds = static_cast<int>(Fault::Count) + static_cast<int>(StoreEvent::Count);
/** Half a second: between toggles of the schedules of one order of events. */
constexpr int shortStep = 5;
constexpr int cutTicks = 120; ///< the longest cut that has to be tolerated: 12 s
constexpr int toggleSeconds = (lastToggle - firstToggle) / step;

/** All schedules of up to three toggles at whole seconds; calls `judge` until it returns false. */
template <typename Judge> bool forAllSchedules(Judge visit)
{
    const int choices = kinds * toggleSeconds;
    for (int a = 0; a < choices; ++a) {
        for (int b = a; b < choices; ++b) {
            for (int c = b; c < choices; c += 2) {
                std::vector<Toggle> schedule;
                for (const int choice : {a, b, c})
                    schedule.push_back(
                        toggleAt(firstToggle + choice / kinds * step, choice % kinds));
                if (!visit(schedule))
                    return false;
            }
        }
    }
    return true;
}

/**
 * Schedules in which the store assigns the partition to the second VM and, while it turns that VM
 * away, back to the first, and is then restored; all at any tick. Calls `visit` until it returns
 * false.
 */
template <typename Judge> bool forAllRestoresAfterReturns(Judge visit)
{
    constexpr int longestStay = 80;
    constexpr int restoreWithin = 17;
    const Fault turnedAway = Fault::StoreUnreachableFromSecond;
    for (int returned = firstToggle; returned < firstToggle + longestStay; ++returned) {
        for (int restored = returned; restored < returned + restoreWithin; ++restored) {
            for (const StoreEvent copy : {StoreEvent::RestoreRecent, StoreEvent::RestoreOlder}) {
                const std::vector<Toggle> schedule{{firstToggle, {}, StoreEvent::Reassign},
                                                   {returned, turnedAway},
                                                   {returned, {}, StoreEvent::Reassign},
                                                   {restored, {}, copy},
                                                   {restored, turnedAway}};
                if (!visit(schedule))
                    return false;
            }
        }
    }
    return true;
}

/**
 * Schedules in which the second VM is absent for some seconds, the first one restarts meanwhile,
 * and is then cut off from the store and the second VM, for 12 s; `alsoFails` fails during the
 * restart. Calls `visit` until it returns false.
 */
template <typename Judge>
bool forAllRestartsBesideAbsence(Fault absence, std::optional<Fault> alsoFails, Judge visit)
{
    for (int down = firstToggle; down < firstToggle + 40; down += shortStep) {
        for (int up = down + shortStep; up <= down + 20; up += shortStep) {
            for (int cut = up; cut < up + 40; cut += shortStep) {
                for (int back = up; back < cut + 60; back += shortStep) {
                    std::vector<Toggle> schedule{
                        {firstToggle, absence},
                        {down, Fault::FirstDown},
                        {up, Fault::FirstDown},
                        {cut, Fault::PeersCut},
                        {cut, Fault::StoreUnreachableFromFirst},
                        {back, absence},
                        {cut + cutTicks, Fault::PeersCut},
                        {cut + cutTicks, Fault::StoreUnreachableFromFirst}};
                    if (alsoFails) {
                        schedule.push_back({down, alsoFails});
                        schedule.push_back({cut + cutTicks, alsoFails});
                    }
                    if (!visit(schedule))
                        return false;
                }
            }
        }
    }
    return true;
}

/**
 * Schedules in which the second VM starts for the first time while the first one is cut off, for 12
 * s. Calls `visit` until it returns false.
 */
template <typename Judge> bool forAllNewVmsInCuts(Judge visit)
{
    for (int cut = firstToggle; cut < firstToggle + 20; cut += shortStep) {
        for (int up = cut - 20; up < cut + 60; up += shortStep) {
            const std::vector<Toggle> schedule{{0, Fault::SecondDown},
                                               {up, Fault::SecondDown},
                                               {cut, Fault::PeersCut},
                                               {cut, Fault::StoreUnreachableFromFirst},
                                               {cut + cutTicks, Fault::PeersCut},
                                               {cut + cutTicks, Fault::StoreUnreachableFromFirst}};
            if (!visit(schedule))
                return false;
        }
    }
    return true;
}

/**
 * Schedules in which the second VM starts for the first time while the first one is cut off, for 12
 * s, and is killed and started again; `also` happens in between. Calls `visit` until it returns
 * false.
 */
template <typename Judge>
bool forAllRestartsOfNewVmsInCuts(std::optional<StoreEvent> also, Judge visit)
{
    constexpr int restartTicks = 5;
    constexpr int cut = firstToggle;
    for (int up = cut - 20; up < cut + 40; up += shortStep) {
        for (int killed = up + shortStep; killed < cut + cutTicks; killed += shortStep) {
            for (int event = up; event < cut + cutTicks; event += 2 * shortStep) {
                std::vector<Toggle> schedule{{0, Fault::SecondDown},
                                             {up, Fault::SecondDown},
                                             {cut, Fault::PeersCut},
                                             {cut, Fault::StoreUnreachableFromFirst},
                                             {killed, Fault::SecondDown},
                                             {killed + restartTicks, Fault::SecondDown},
                                             {cut + cutTicks, Fault::PeersCut},
                                             {cut + cutTicks, Fault::StoreUnreachableFromFirst}};
                if (also)
                    schedule.push_back({event, {}, *also});
                if (!visit(schedule))
                    return false;
                if (!also)
                    break;
            }
        }
    }
    return true;
}

/**
 * Schedules in which the second VM is down for longer than the first one remembers it, and is back
 * around the time at which that one is cut off, for 12 s. Calls `visit` until it returns false.
 */
template <typename Judge> bool forAllReturnsAfterLongAbsence(Judge visit)
{
    constexpr int absence = 460;
    const int back = firstToggle + absence;
    for (int assigned = firstToggle - 40; assigned < firstToggle; assigned += shortStep) {
        for (int cut = back - 40; cut < back + 20; cut += shortStep) {
            const std::vector<Toggle> schedule{{assigned, {}, StoreEvent::Reassign},
                                               {firstToggle, Fault::SecondDown},
                                               {back, Fault::SecondDown},
                                               {cut, Fault::PeersCut},
                                               {cut, Fault::StoreUnreachableFromFirst},
                                               {cut + cutTicks, Fault::PeersCut},
                                               {cut + cutTicks, Fault::StoreUnreachableFromFirst}};
            if (!visit(schedule))
                return false;
        }
    }
    return true;
}

bool hasOneHolder(const Outcome &outcome)
{
    return outcome.shortestHandover >= LeaseTiming().handoverGap && outcome.wrongTokens == 0;
}

bool findsTwoHolders(const LeaseTiming &timing, const Mutation &mutation)
{
    return !forAllSchedules([&](const std::vector<Toggle> &schedule) {
        return hasOneHolder(play(schedule, ticks, timing, mutation));
    });
}

bool keepsOneHolderInRestarts(Fault absence, std::optional<Fault> alsoFails,
                              const Mutation &mutation)
{
    return forAllRestartsBesideAbsence(
        absence, alsoFails, [&mutation](const std::vector<Toggle> &schedule) {
            return hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation));
        });
}

int ticksActive(const std::vector<Toggle> &schedule, int until)
{
    return play(schedule, until, LeaseTiming()).activeTicks;
}

/** A VM that joined so long ago that all holders know it. */
LeaseGroupView longJoined(const std::string &vm)
{
    LeaseGroupView group;
    group.vm = vm;
    group.joinedAt = modelStart - LeaseTiming().newMemberWait;
    return group;
}

/** A VM that joined at `modelStart` and knows of one other VM, which has not answered. */
LeaseGroupView newBesideSilent(const std::string &vm, const std::string &silent)
{
    LeaseGroupView group;
    group.vm = vm;
    group.joinedAt = modelStart;
    group.members.listRead = true;
    group.members.others.push_back({modelStart, Instant{}, std::nullopt, Instant{}, silent});
    return group;
}

/** Adds the holder records that the lease asks for, as if no other VM added any. */
void recordAll(PartitionLease &lease, const HolderRecords &records, const LeaseGroupView &group,
               Instant now)
{
    confirmClaims(lease, claimsToRecord(lease, records, group, LeaseTiming{}, now), records.era,
                  now);
}

void recordAll(PartitionLease &lease, const HolderRecords &records, const std::string &vm,
               Instant now)
{
    recordAll(lease, records, longJoined(vm), now);
}

/** Records by which `vm` was the last holder of partitions 1 and 2. */
HolderRecords recordsBy(const std::string &vm, std::int64_t generation, std::int64_t era = 0)
{
    HolderRecords records;
    records.era = era;
    records.byPartition[1] = {vm, {era, generation}};
    records.byPartition[2] = {vm, {era, generation}};
    return records;
}

} // namespace

// Guards against two VMs that both send commands to a partition within the time that has to pass
// between holders, or with a token that is not above those used before. Runs every second one of
// all schedules of three faults at whole seconds, with two VMs, one partition and one store: the
// store unreachable from either or both, the VMs cut off from each other, answers lost, a VM frozen
// or restarted, the partition reassigned, the store restored from a copy.
Test(leases, no_schedule_of_three_faults_has_two_holders)
{
    cr_assert(!findsTwoHolders(LeaseTiming{}, Mutation{}));
}

// The same for random schedules, with faults at any tick.
Test(leases, random_schedules_have_no_two_holders)
{
    cr_assert(rc::check("drawn", [] {
        std::vector<Toggle> schedule;
        const auto drawn =
            *rc::gen::resize(12,
                             rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                                 rc::gen::inRange(0, ticks), rc::gen::inRange(0, kinds))));
        for (const auto &[tick, kind] : drawn)
            schedule.push_back(toggleAt(tick, kind));
        RC_ASSERT(hasOneHolder(play(schedule, ticks, LeaseTiming())));
    }));
}

// Guards against a lease that is extended without the report of a member that has sent nothing
// since this VM's start: that one, back from its absence, is assigned the partition and commands as
// well.
Test(leases, no_restart_beside_an_absent_vm_has_two_holders)
{
    for (const Fault absence : {Fault::SecondFrozen, Fault::SecondDown, Fault::SecondStopped}) {
        cr_expect(keepsOneHolderInRestarts(absence, std::nullopt, Mutation{}));
        cr_expect(keepsOneHolderInRestarts(absence, Fault::ListUnreadable, Mutation{}));
    }
}

// Guards against a model that does not notice that unheard members have no say. A restarted VM that
// waits like a new one would hide that, so none waits here.
Test(leases, the_model_finds_unheard_members_that_do_not_count)
{
    Mutation mutation;
    mutation.newMemberNeverWaits = true;
    for (const Fault absence : {Fault::SecondFrozen, Fault::SecondDown, Fault::SecondStopped})
        cr_expect(keepsOneHolderInRestarts(absence, std::nullopt, mutation));
    mutation.ignoresUnheard = true;
    for (const Fault absence : {Fault::SecondFrozen, Fault::SecondDown, Fault::SecondStopped})
        cr_expect(!keepsOneHolderInRestarts(absence, std::nullopt, mutation));
}

// Guards against a model that does not notice a grant that comes before the list of VMs was read.
Test(leases, the_model_finds_a_list_that_is_taken_for_empty)
{
    Mutation mutation;
    mutation.assumesList = true;
    cr_assert(!keepsOneHolderInRestarts(Fault::SecondFrozen, Fault::ListUnreadable, mutation));
}

// Guards against a VM that commands beside a holder that does not know it: it starts for the first
// time while the holder is cut off, and gets its first report once the cut is over.
Test(leases, no_vm_that_starts_in_a_cut_commands_beside_the_holder)
{
    const auto keepsOneHolder = [](const Mutation &mutation) {
        return forAllNewVmsInCuts([&mutation](const std::vector<Toggle> &schedule) {
            return hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation));
        });
    };
    cr_assert(keepsOneHolder({}));
    Mutation newMemberNeverWaits;
    newMemberNeverWaits.newMemberNeverWaits = true;
    cr_assert(!keepsOneHolder(newMemberNeverWaits));
}

// Guards against a new VM that takes a record which it added while it still had to wait for proof
// that it was the last holder: it reads it after a kill, or once more, and commands beside a holder
// that is cut off.
Test(leases, a_new_vm_that_restarts_in_a_cut_is_no_former_holder)
{
    const std::array<std::optional<StoreEvent>, 4> events{
        std::nullopt, StoreEvent::Reassign, StoreEvent::RestoreRecent, StoreEvent::RestoreOlder};
    const auto keepsOneHolder = [&events](const Mutation &mutation) {
        return std::all_of(events.begin(), events.end(), [&mutation](const auto &also) {
            return forAllRestartsOfNewVmsInCuts(
                also, [&mutation](const std::vector<Toggle> &schedule) {
                    return hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation));
                });
        });
    };
    cr_expect(keepsOneHolder({}));
    Mutation recordsWhileWaiting;
    recordsWhileWaiting.recordsWhileWaiting = true;
    cr_expect(!keepsOneHolder(recordsWhileWaiting));
}

// Guards against a VM that was down until the holder forgot it, and that trusts a record of its
// own from before.
Test(leases, a_vm_back_after_the_others_forgot_it_waits_like_a_new_one)
{
    constexpr int longPlay = 800;
    cr_assert(forAllReturnsAfterLongAbsence([](const std::vector<Toggle> &schedule) {
        return hasOneHolder(play(schedule, longPlay, LeaseTiming()));
    }));
}

// Guards against a new VM that waits 15 s for VMs that are gone, although the record names another
// last holder, which has answered; and against one that does not wait for the named one.
Test(leases, a_new_vm_waits_for_the_last_holder_alone)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 9};
    grant.partitions = {1};
    LeaseGroupView group = newBesideSilent("vm-1", "vm-2");
    group.members.others.push_back(
        {modelStart, modelStart, PeerLeaseState{modelStart, {0, 9}}, modelStart, "vm-3"});
    renewLease(lease, grant, timing, modelStart, modelStart);
    PartitionLease afterSilent = lease;
    claimsToRecord(lease, recordsBy("vm-3", 8), group, timing, modelStart);
    cr_assert(commandableFrom(lease, 1, group, timing) == lease.activeFrom.at(1));
    claimsToRecord(afterSilent, recordsBy("vm-2", 8), group, timing, modelStart);
    cr_assert(commandableFrom(afterSilent, 1, group, timing) == modelStart + timing.newMemberWait);
    cr_assert(
        claimsToRecord(afterSilent, recordsBy("vm-2", 8), group, timing, modelStart + 14s).empty());
    cr_assert_eq(
        claimsToRecord(afterSilent, recordsBy("vm-2", 8), group, timing, modelStart + 15s).size(),
        1);
}

// Guards against a record of an earlier era of the store that names the last holder, or proves that
// there was none: the records that followed may be lost.
Test(leases, a_new_vm_waits_for_all_after_a_restore)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {2, 9};
    grant.partitions = {1, 3};
    const LeaseGroupView group = newBesideSilent("vm-1", "vm-2");
    renewLease(lease, grant, timing, modelStart, modelStart);
    HolderRecords copied = recordsBy("vm-1", 8, 1);
    copied.era = 2;
    claimsToRecord(lease, copied, group, timing, modelStart);
    for (const int partition : grant.partitions)
        cr_assert(commandableFrom(lease, partition, group, timing)
                  == modelStart + timing.newMemberWait);
}

// Guards against a wait of 15 s for engines that no VM has ever commanded.
Test(leases, a_new_vm_waits_for_nobody_where_nobody_was_recorded)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 9};
    grant.partitions = {1};
    const LeaseGroupView group = newBesideSilent("vm-1", "vm-2");
    renewLease(lease, grant, timing, modelStart, modelStart);
    claimsToRecord(lease, HolderRecords(), group, timing, modelStart);
    cr_assert(commandableFrom(lease, 1, group, timing) == lease.activeFrom.at(1));
}

// Guards against a holder that restarted, commands by its own record, and after a restore of the
// store waits as if it had never commanded.
Test(leases, a_restarted_holder_goes_on_after_a_restore)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {1, 9};
    grant.partitions = {1};
    const LeaseGroupView group = newBesideSilent("vm-1", "vm-2");
    renewLease(lease, grant, timing, modelStart, modelStart);
    recordAll(lease, recordsBy("vm-1", 8, 1), group, modelStart);
    cr_assert(mayCommand(lease, 1, modelStart));
    const Instant now = modelStart + 500ms;
    grant.generation = {2, 7};
    renewLease(lease, grant, timing, now, now);
    HolderRecords copied = recordsBy("vm-2", 6, 1);
    copied.era = 2;
    recordAll(lease, copied, group, now);
    cr_assert(mayCommand(lease, 1, now));
}

// Guards against a VM that waits for one that was started after it, and knows it by the list.
Test(leases, a_new_vm_waits_for_none_that_started_later)
{
    const LeaseTiming timing;
    ZoneMembers members;
    const Instant later = modelStart + 1s;
    members.others.push_back({later, later, PeerLeaseState{later, {}, true}, later, "vm-2"});
    cr_assert(newMemberActiveFrom(members, FormerHolder::Unknown, {}, modelStart, timing)
              <= modelStart);
    members.others.front().report.reset();
    cr_assert(newMemberActiveFrom(members, FormerHolder::Unknown, {}, modelStart, timing)
              == modelStart + timing.newMemberWait);
}

// Guards against a member that left, and is back while this VM is cut off, but still has no say.
Test(leases, a_leave_counts_only_until_the_vm_may_be_back)
{
    const std::vector<Toggle> schedule{{80, {}, StoreEvent::Reassign},
                                       {140, {}, StoreEvent::Reassign},
                                       {190, Fault::StoreUnreachableFromFirst},
                                       {195, Fault::SecondStopped},
                                       {196, Fault::PeersCut},
                                       {201, Fault::SecondStopped}};
    cr_expect(hasOneHolder(play(schedule, ticks, LeaseTiming())));
    Mutation mutation;
    mutation.newMemberNeverWaits = true;
    cr_expect(hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation)));
    mutation.trustsOldLeave = true;
    cr_expect(!hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation)));
}

// Guards against commands that stop beside a VM that restarts gracefully while the store is
// unreachable for all.
Test(leases, a_peer_that_restarts_in_an_outage_stops_no_commands)
{
    const std::vector<Toggle> schedule{{100, Fault::StoreUnreachableFromFirst},
                                       {100, Fault::StoreUnreachableFromSecond},
                                       {110, Fault::SecondStopped},
                                       {130, Fault::SecondStopped}};
    cr_assert_geq(ticksActive(schedule, 180), ticksActive({}, 180));
}

// Guards against a list without the VM that is gone for good: it no longer stops an extension.
Test(leases, a_member_that_is_gone_has_no_say)
{
    const LeaseTiming timing;
    ZoneMembers members;
    members.others.push_back({modelStart, Instant{}, std::nullopt, Instant{}, "vm-2"});
    const Instant now = modelStart + timing.goneAfter;
    cr_assert(extensionEnd({}, members, timing, now + 1ms) == Instant{}, "no list was read");
    members.listRead = true;
    cr_assert(extensionEnd({}, members, timing, now) == Instant{});
    cr_assert(extensionEnd({}, members, timing, now + 1ms) > now);
}

// Guards against a model that does not notice a new holder that sends commands too early.
Test(leases, the_model_finds_a_successor_that_does_not_wait)
{
    LeaseTiming hasty;
    hasty.handoverGap = 0ms;
    cr_assert(findsTwoHolders(hasty, Mutation{}));
}

// Guards against a model that does not notice a lease extended by a peer that reaches the store.
Test(leases, the_model_finds_trust_in_a_peer_that_reaches_the_store)
{
    Mutation mutation;
    mutation.trustsAnyPeer = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, mutation));
}

// Guards against a model that does not notice a lease on a clock that stops in a pause.
Test(leases, the_model_finds_a_clock_that_misses_a_pause)
{
    Mutation mutation;
    mutation.ignoresPause = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, mutation));
}

// Guards against an outage of the store that stops commands: with the store unreachable for 8 s, no
// engine got a command for 13 s. The lease is extended while both VMs report the outage.
Test(leases, an_outage_for_all_costs_no_commands)
{
    const std::vector<Toggle> outage{toggleAt(100, int(Fault::StoreUnreachableFromFirst)),
                                     toggleAt(100, int(Fault::StoreUnreachableFromSecond)),
                                     toggleAt(180, int(Fault::StoreUnreachableFromFirst)),
                                     toggleAt(180, int(Fault::StoreUnreachableFromSecond))};
    cr_assert_geq(ticksActive(outage, 180), ticksActive({}, 180));
    cr_assert_gt(ticksActive(outage, ticks), ticksActive({}, ticks) - 70);
}

// Guards against a model that does not notice records added although others were added since the
// read.
Test(leases, the_model_finds_records_that_are_added_blindly)
{
    Mutation mutation;
    mutation.recordsBlindly = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, mutation));
}

// Guards against a model that does not notice a release that does not count the last command.
Test(leases, the_model_finds_a_release_that_forgets_commands)
{
    Mutation mutation;
    mutation.forgetsCommands = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, mutation));
}

// Guards against engines that get no commands for most of a cut: their holder has lost its links,
// and its successor waited from the release on, though the last command was sent before the cut.
Test(leases, a_holder_without_links_is_succeeded_soon)
{
    const std::vector<Toggle> cut{toggleAt(100, int(Fault::FirstUnlinked)),
                                  toggleAt(100 + 120, int(Fault::FirstUnlinked))};
    const LeaseTiming timing;
    const int ticksLost = ticksActive({}, 220) - ticksActive(cut, 220);
    const Duration allowed = timing.handoverGap + timing.margin + 700ms;
    cr_assert_leq(ticksLost, allowed / tickLength, "%d ticks without commands", ticksLost);
    cr_assert(hasOneHolder(play(cut, ticks, timing)));
}

// Guards against a needless wait: after a restart of all VMs, or after the store had reassigned a
// partition and returned it, no VM sent commands for 5 s. The VM that the last record names as the
// last holder may continue at once.
Test(leases, the_last_holder_continues_at_once)
{
    const LeaseTiming timing;
    const Instant now = modelStart;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 9};
    grant.partitions = {1, 2};
    renewLease(lease, grant, timing, now, now + 5ms);
    PartitionLease moved = lease;
    PartitionLease later = lease;
    recordAll(lease, recordsBy("vm-1", 4), "vm-1", now + 8ms);
    cr_assert(mayCommand(lease, 1, now + 10ms));
    cr_assert(isFullyActive(lease, now + 10ms));
    recordAll(moved, recordsBy("vm-2", 4), "vm-1", now + 8ms);
    cr_assert(!mayCommand(moved, 1, now + 10ms));
    cr_assert(!isFullyActive(moved, now + 10ms));
    later.activeFrom[1] = now;
    recordAll(later, recordsBy("vm-2", 10), "vm-1", now + 8ms);
    cr_assert(!mayCommand(later, 1, now + 10ms), "another VM was assigned it after that grant");
}

// Guards against engines that get no commands while a lease lasts: a VM waits for a partition;
// between two of its renewals the partition is assigned to its last holder, which adds a record and
// continues at once, and then assigned back. So the record is of a later generation than the one in
// which the waiting VM acquired the partition.
Test(leases, a_partition_reassigned_and_returned_is_waited_for_again)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 3};
    grant.partitions = {1};
    renewLease(lease, grant, timing, modelStart, modelStart);
    grant.generation = {0, 6};
    Instant now = modelStart + 500ms;
    renewLease(lease, grant, timing, now, now);
    recordAll(lease, recordsBy("vm-2", 5), "vm-1", now);
    const Instant back = now;
    for (; now < back + 5900ms; now += 300ms) {
        renewLease(lease, grant, timing, now, now);
        recordAll(lease, recordsBy("vm-2", 5), "vm-1", now);
        cr_assert(!mayCommand(lease, 1, now));
    }
    now = back + 6100ms;
    renewLease(lease, grant, timing, now, now);
    recordAll(lease, recordsBy("vm-2", 5), "vm-1", now);
    cr_assert(mayCommand(lease, 1, now));
}

// Guards against two holders because of a command without a record: a VM waits until commands are
// allowed; the store becomes unreachable, and the previous holder comes back and finds its own
// record as the last one.
Test(leases, no_command_without_a_holder_record)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 3};
    grant.partitions = {1};
    Instant now = modelStart;
    for (; now < modelStart + 10s; now += 500ms)
        renewLease(lease, grant, timing, now, now);
    cr_assert(isWriteDue(lease, longJoined("vm-1"), timing, now));
    cr_assert(!mayCommand(lease, 1, now));
    recordAll(lease, recordsBy("vm-2", 2), "vm-1", now);
    cr_assert(mayCommand(lease, 1, now));
    cr_assert(!isWriteDue(lease, longJoined("vm-1"), timing, now));
}

// Guards against a needless wait in a rolling restart, where no VM sent commands to an engine for 6
// s at each step: the VM that gives up a partition reports that, and its successor waits only for
// the time between two holders.
Test(leases, a_handed_over_partition_is_waited_for_less)
{
    const LeaseTiming timing;
    PartitionLease leaver;
    LeaseGrant grant;
    grant.generation = {0, 4};
    grant.partitions = {1};
    renewLease(leaver, grant, timing, modelStart, modelStart);
    recordAll(leaver, recordsBy("vm-1", 4), "vm-1", modelStart);
    recordCommand(leaver, 1, modelStart + 300ms);
    const Instant before = recordCommand(leaver, 1, modelStart + 400ms);
    retractCommand(leaver, 1, modelStart + 400ms, before);
    dropLease(leaver, modelStart + 450ms);
    cr_assert_eq(leaver.releases.size(), 1);
    PartitionLease successor;
    grant.generation = {0, 5};
    renewLease(successor, grant, timing, modelStart + 500ms, modelStart + 500ms);
    PartitionLease later = successor;
    applyRelease(successor, leaver.releases.front(), timing);
    cr_assert(!mayCommand(successor, 1, modelStart + 500ms));
    cr_assert_eq(
        successor.activeFrom.at(1).time_since_epoch().count(),
        (modelStart + 300ms + timing.handoverGap + timing.margin).time_since_epoch().count());
    later.acquiredIn[1] = {0, 6}; // another VM may have held it in between
    applyRelease(later, leaver.releases.front(), timing);
    cr_assert(later.activeFrom.at(1) > successor.activeFrom.at(1));
}

// Guards against a release by a VM that was still waiting: it does not know whether the previous
// holder has stopped.
Test(leases, a_holder_that_was_still_waiting_releases_nothing)
{
    const LeaseTiming timing;
    PartitionLease waiting;
    LeaseGrant grant;
    grant.generation = {0, 4};
    grant.partitions = {1};
    renewLease(waiting, grant, timing, modelStart, modelStart);
    dropLease(waiting, modelStart + 400ms);
    cr_assert(waiting.releases.empty());
}

// Guards against commands to a partition that was reassigned, or after the lease ended.
Test(leases, a_partition_that_was_taken_away_gets_no_commands)
{
    const LeaseTiming timing;
    const Instant now = modelStart;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {0, 4};
    grant.partitions = {1, 2};
    renewLease(lease, grant, timing, now, now);
    recordAll(lease, recordsBy("vm-1", 4), "vm-1", now);
    grant.generation = {0, 5};
    grant.partitions = {2};
    renewLease(lease, grant, timing, now + 500ms, now + 500ms);
    cr_assert(!mayCommand(lease, 1, now + 510ms));
    cr_assert(mayCommand(lease, 2, now + 510ms));
    cr_assert(!mayCommand(lease, 2, now + 500ms + timing.ttl), "the lease ends with its ttl");
}

// Guards against a model that does not notice one of these: all answers of the store count as of
// one era, so that a restored record proves that no other VM has sent commands since; only such
// records do.
Test(leases, the_model_finds_evidence_of_an_earlier_era)
{
    Mutation ignoresEra;
    ignoresEra.ignoresEra = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, ignoresEra));
    Mutation trustsOldRecords;
    trustsOldRecords.trustsOldRecords = true;
    cr_assert(findsTwoHolders(LeaseTiming{}, trustsOldRecords));
}

// Guards against time waited before a restore that counts after it: a VM waits; while the store
// turns it away the partition goes back to its last holder, which commands at once; the restore
// loses all of that, and the waiting VM commands right after the other one.
Test(leases, time_waited_before_a_restore_does_not_count_after_it)
{
    const auto keepsOneHolder = [](const Mutation &mutation) {
        return forAllRestoresAfterReturns([&mutation](const std::vector<Toggle> &schedule) {
            return hasOneHolder(play(schedule, ticks, LeaseTiming(), mutation));
        });
    };
    cr_assert(keepsOneHolder({}));
    Mutation countsOldWait;
    countsOldWait.countsOldWait = true;
    cr_assert(!keepsOneHolder(countsOldWait));
}

// Guards against a record that counts as added although the store was restored after the read that
// it is based on: the log of the new era may end at the same place.
Test(leases, a_record_added_after_a_restore_confirms_nothing)
{
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {1, 9};
    grant.partitions = {1};
    const LeaseTiming timing;
    renewLease(lease, grant, timing, modelStart, modelStart);
    const HolderRecords records = recordsBy("vm-1", 8, 1);
    const auto claims = claimsToRecord(lease, records, longJoined("vm-1"), timing, modelStart);
    cr_assert_eq(claims.size(), 1);
    confirmClaims(lease, claims, 2, modelStart);
    cr_assert(!mayCommand(lease, 1, modelStart));
    confirmClaims(lease, claims, 1, modelStart);
    cr_assert(mayCommand(lease, 1, modelStart));
}

// Guards against two VMs that command with one token after a restore: the store has assigned all
// partitions anew, both VMs have added records, and the copy that it comes back from is older.
Test(leases, after_a_restore_the_own_older_record_proves_nothing)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {1, 3};
    grant.partitions = {2};
    renewLease(lease, grant, timing, modelStart, modelStart);
    const Instant restored = modelStart + 500ms;
    grant.generation = {2, 2};
    grant.partitions = {1};
    renewLease(lease, grant, timing, restored, restored);
    cr_assert_gt(toNumber(lease.generation), toNumber({1, 3}));
    HolderRecords copied = recordsBy("vm-1", 2, 1);
    copied.era = 2;
    recordAll(lease, copied, "vm-1", restored);
    cr_assert(!mayCommand(lease, 1, restored));
    Instant now = restored;
    for (; now < restored + 6500ms; now += 500ms)
        renewLease(lease, grant, timing, now, now);
    recordAll(lease, copied, "vm-1", now);
    cr_assert(mayCommand(lease, 1, now));
}

// Guards against engines that get no commands for 6 s after a restore although their holder never
// lost its lease; it adds its record again first. An answer that comes late from the era before
// changes nothing.
Test(leases, an_unbroken_holder_goes_on_after_a_restore)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {1, 9};
    grant.partitions = {1};
    renewLease(lease, grant, timing, modelStart, modelStart);
    recordAll(lease, recordsBy("vm-1", 8, 1), "vm-1", modelStart);
    cr_assert(mayCommand(lease, 1, modelStart));
    const Instant now = modelStart + 500ms;
    const LeaseGrant earlier = grant;
    grant.generation = {2, 7};
    renewLease(lease, grant, timing, now, now);
    cr_assert(!mayCommand(lease, 1, now), "its record of this era is missing");
    HolderRecords copied = recordsBy("vm-2", 6, 1);
    copied.era = 2;
    recordAll(lease, copied, "vm-1", now);
    cr_assert(mayCommand(lease, 1, now));
    const PartitionLease before = lease;
    renewLease(lease, earlier, timing, now, now);
    cr_assert(lease == before);
}

// Guards against a release of the lost history that shortens a wait: the generations that follow
// one another are given out again, for other holders.
Test(leases, a_release_of_an_earlier_era_shortens_no_wait)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {2, 5};
    grant.partitions = {1};
    renewLease(lease, grant, timing, modelStart, modelStart);
    const PartitionLease before = lease;
    applyRelease(lease, {1, {1, 4}, modelStart}, timing);
    cr_assert(lease == before);
    applyRelease(lease, {1, {2, 4}, modelStart}, timing);
    cr_assert(lease != before);
}

// Guards against a lease that is extended beside another holder: the peer's generation is of a
// later era, but its number is lower.
Test(leases, a_peer_of_a_later_era_ends_the_extension)
{
    const LeaseTiming timing;
    PartitionLease lease;
    LeaseGrant grant;
    grant.generation = {1, 9};
    grant.partitions = {1};
    renewLease(lease, grant, timing, modelStart, modelStart);
    ZoneMembers members;
    members.listRead = true;
    members.others.push_back(
        {modelStart, modelStart, PeerLeaseState{modelStart, {1, 8}, true}, modelStart, "vm-2"});
    extendLease(lease, members, timing, modelStart);
    cr_assert(lease.extendedUntil > modelStart);
    members.others.front().report->generation = {2, 3};
    extendLease(lease, members, timing, modelStart);
    cr_assert(lease.extendedUntil == Instant{});
}

// Guards against two boots of a VM that share a count, as the store has lost that of the first.
Test(leases, a_boot_after_a_restore_counts_higher_than_all_before)
{
    cr_assert_eq(nextBootCount(4, 0), 5);
    const std::int64_t lost = nextBootCount(nextBootCount(4, 1), 1);
    cr_assert_gt(nextBootCount(4, 2), lost);
    cr_assert_gt(nextBootCount(nextBootCount(4, 2), 2), nextBootCount(4, 2));
}
