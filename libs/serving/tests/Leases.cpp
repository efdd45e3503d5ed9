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
    if (kind < static_cast<int>(Fault::Count))
        toggle.fault = static_cast<Fault>(kind);
    return toggle;
}

constexpr int kinds = static_cast<int>(Fault::Count) + 1;
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

bool findsTwoHolders(const LeaseTiming &timing, const Mutation &mutation)
{
    const LeaseTiming real;
    return !forAllSchedules([&](const std::vector<Toggle> &schedule) {
        return shortestHandover(schedule, ticks, timing, mutation) >= real.handoverGap;
    });
}

/** Adds the holder records that the lease asks for, as if no other VM added any. */
void recordAll(PartitionLease &lease, const HolderRecords &records, const std::string &vm,
               Instant now)
{
    confirmClaims(lease, claimsToRecord(lease, records, vm, LeaseTiming{}, now), now);
}

/** Records by which `vm` was the last holder of partitions 1 and 2. */
HolderRecords recordsBy(const std::string &vm, std::int64_t generation)
{
    HolderRecords records;
    records.byPartition[1] = {vm, generation};
    records.byPartition[2] = {vm, generation};
    return records;
}

} // namespace

// Guards against two VMs that both send commands to a partition within the time that has to pass
// between holders. Runs every second one of all schedules of three faults at whole seconds, with
// two VMs, one partition and one store: the store unreachable from either or both, the VMs cut off
// from each other, answers lost, a VM frozen or restarted, the partition reassigned.
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
        const LeaseTiming timing;
        RC_ASSERT(shortestHandover(schedule, ticks, timing, Mutation{}) >= timing.handoverGap);
    }));
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
    const LeaseTiming timing;
    const int undisturbed = ticksActive({}, ticks, timing);
    cr_assert_geq(ticksActive(outage, 180, timing), ticksActive({}, 180, timing));
    cr_assert_gt(ticksActive(outage, ticks, timing), undisturbed - 70);
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
    const int ticksLost = ticksActive({}, 220, timing) - ticksActive(cut, 220, timing);
    const Duration allowed = timing.handoverGap + timing.margin + 700ms;
    cr_assert_leq(ticksLost, allowed / tickLength, "%d ticks without commands", ticksLost);
    cr_assert_geq(shortestHandover(cut, ticks, timing, Mutation{}), timing.handoverGap);
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
    grant.generation = 9;
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
    grant.generation = 3;
    grant.partitions = {1};
    renewLease(lease, grant, timing, modelStart, modelStart);
    grant.generation = 6;
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
    grant.generation = 3;
    grant.partitions = {1};
    Instant now = modelStart;
    for (; now < modelStart + 10s; now += 500ms)
        renewLease(lease, grant, timing, now, now);
    cr_assert(isWriteDue(lease, now));
    cr_assert(!mayCommand(lease, 1, now));
    recordAll(lease, recordsBy("vm-2", 2), "vm-1", now);
    cr_assert(mayCommand(lease, 1, now));
    cr_assert(!isWriteDue(lease, now));
}

// Guards against a needless wait in a rolling restart, where no VM sent commands to an engine for 6
// s at each step: the VM that gives up a partition reports that, and its successor waits only for
// the time between two holders.
Test(leases, a_handed_over_partition_is_waited_for_less)
{
    const LeaseTiming timing;
    PartitionLease leaver;
    LeaseGrant grant;
    grant.generation = 4;
    grant.partitions = {1};
    renewLease(leaver, grant, timing, modelStart, modelStart);
    recordAll(leaver, recordsBy("vm-1", 4), "vm-1", modelStart);
    recordCommand(leaver, 1, modelStart + 300ms);
    const Instant before = recordCommand(leaver, 1, modelStart + 400ms);
    retractCommand(leaver, 1, modelStart + 400ms, before);
    dropLease(leaver, modelStart + 450ms);
    cr_assert_eq(leaver.releases.size(), 1);
    PartitionLease successor;
    grant.generation = 5;
    renewLease(successor, grant, timing, modelStart + 500ms, modelStart + 500ms);
    PartitionLease later = successor;
    applyRelease(successor, leaver.releases.front(), timing);
    cr_assert(!mayCommand(successor, 1, modelStart + 500ms));
    cr_assert_eq(
        successor.activeFrom.at(1).time_since_epoch().count(),
        (modelStart + 300ms + timing.handoverGap + timing.margin).time_since_epoch().count());
    later.acquiredIn[1] = 6; // another VM may have held it in between
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
    grant.generation = 4;
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
    grant.generation = 4;
    grant.partitions = {1, 2};
    renewLease(lease, grant, timing, now, now);
    recordAll(lease, recordsBy("vm-1", 4), "vm-1", now);
    grant.generation = 5;
    grant.partitions = {2};
    renewLease(lease, grant, timing, now + 500ms, now + 500ms);
    cr_assert(!mayCommand(lease, 1, now + 510ms));
    cr_assert(mayCommand(lease, 2, now + 510ms));
    cr_assert(!mayCommand(lease, 2, now + 500ms + timing.ttl), "the lease ends with its ttl");
}
