#include "LeaseModel.h"

#include <algorithm>

namespace monsoonbay::leasemodel {

namespace {

constexpr int renewEveryTicks = 5;
constexpr int reportEveryTicks = 2;
constexpr int yieldAfterTicks = 20;
constexpr int recordTicks = 4; ///< from reading the records to adding one: a slow store
constexpr int recentCopyTicks = 20; ///< age of the copy that the store comes back from
constexpr int olderCopyTicks = 60;
constexpr int readListEveryTicks = 100;

struct Simulation
{
    LeaseTiming timing;
    Mutation mutation;
    ModelStore store;
    std::array<ModelVm, vmCount> vms;
    std::array<bool, static_cast<int>(Fault::Count)> on{};
    std::vector<ModelStore> copies; ///< that the schedule's restores come back from, by toggle
    const ModelStore *restoredFrom = nullptr;
    int lastSender = -1;
    Instant lastCommandAt{};
    std::int64_t lastToken = 0;
    Outcome outcome;

    bool is(Fault fault) const
    {
        return this->on[static_cast<int>(fault)];
    }

    bool isFrozen(int vm) const
    {
        return this->is(vm == 0 ? Fault::FirstFrozen : Fault::SecondFrozen);
    }

    bool isDown(int vm) const
    {
        return vm == 0 ? this->is(Fault::FirstDown)
                       : this->is(Fault::SecondDown) || this->is(Fault::SecondStopped);
    }

    bool isUnlinked(int vm) const
    {
        return this->is(vm == 0 ? Fault::FirstUnlinked : Fault::SecondUnlinked);
    }

    bool reachesStore(int vm) const
    {
        return !this->is(vm == 0 ? Fault::StoreUnreachableFromFirst
                                 : Fault::StoreUnreachableFromSecond);
    }
};

int copyAge(StoreEvent event)
{
    return event == StoreEvent::RestoreRecent ? recentCopyTicks : olderCopyTicks;
}

void reportToPeer(Simulation &simulation, int index, Instant now);

/** The VM drops its lease, leaves the lease group, reports that to the other VM, and ends. */
void stop(Simulation &simulation, int index, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    if (simulation.isDown(index) || simulation.isFrozen(index))
        return;
    dropLease(vm.lease, now);
    vm.left = true;
    if (simulation.reachesStore(index))
        simulation.store.leave(index);
    reportToPeer(simulation, index, now);
}

void apply(Simulation &simulation, const Toggle &toggle, const ModelStore &copy, Instant now)
{
    if (!toggle.fault && toggle.event == StoreEvent::Reassign) {
        simulation.store.reassign();
        return;
    }
    if (!toggle.fault) {
        const bool again =
            toggle.event == StoreEvent::RestoreAgain && simulation.restoredFrom != nullptr;
        if (!again)
            simulation.restoredFrom = &copy;
        simulation.store.restore(*simulation.restoredFrom, now);
        return;
    }
    bool &on = simulation.on[static_cast<int>(*toggle.fault)];
    if (*toggle.fault == Fault::SecondStopped && !on)
        stop(simulation, 1, now);
    on = !on;
    if (*toggle.fault == Fault::FirstDown)
        simulation.vms[0] = ModelVm{};
    if (*toggle.fault == Fault::SecondDown || *toggle.fault == Fault::SecondStopped)
        simulation.vms[1] = ModelVm{};
}

std::int64_t eraOf(const Simulation &simulation)
{
    return simulation.mutation.ignoresEra ? 0 : simulation.store.generation.era;
}

HolderRecords recordsAnswered(const Simulation &simulation)
{
    HolderRecords records = simulation.store.records;
    records.era = eraOf(simulation);
    for (auto &[partition, record] : records.byPartition) {
        if (simulation.mutation.trustsOldRecords)
            record.generation.era = records.era;
    }
    return records;
}

ZoneMembers membersOf(const Simulation &simulation, const ModelVm &vm)
{
    ZoneMembers members;
    members.listRead = vm.listRead;
    const bool unheard = vm.peer && vm.peer->lastMessageAt == Instant{};
    const bool left = vm.peer && vm.peer->report && vm.peer->report->leftGroup;
    const bool ignored = (unheard && simulation.mutation.ignoresUnheard)
        || (left && simulation.mutation.trustsOldLeave);
    if (vm.peer && !ignored)
        members.others.push_back(*vm.peer);
    return members;
}

LeaseGroupView groupOf(const Simulation &simulation, int index)
{
    const ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    return {nameOf(index), vm.joinedAt, membersOf(simulation, vm)};
}

/** The times by which a VM adds its records. */
LeaseTiming recordTimingOf(const Simulation &simulation)
{
    LeaseTiming timing = simulation.timing;
    if (simulation.mutation.newMemberNeverWaits || simulation.mutation.recordsWhileWaiting)
        timing.newMemberWait = Duration::zero();
    return timing;
}

// A VM adds its record some ticks after it read the others, so that the other VM acts in between.
void addRecord(Simulation &simulation, int index, int tick, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    if (!simulation.reachesStore(index)) {
        vm.claims.clear();
        return;
    }
    if (!vm.claims.empty() && tick < vm.addAt)
        return;
    HolderRecords &records = simulation.store.records;
    if (!vm.claims.empty()
        && (vm.readEnd == records.logEnd || simulation.mutation.recordsBlindly)) {
        ++records.logEnd;
        records.byPartition[0] = {nameOf(index), vm.claimedIn};
        if (!simulation.is(Fault::AnswersLost))
            confirmClaims(vm.lease, vm.claims, eraOf(simulation), now);
    }
    vm.claims.clear();
    const LeaseGroupView group = groupOf(simulation, index);
    const LeaseTiming timing = recordTimingOf(simulation);
    if (simulation.is(Fault::AnswersLost) || !isWriteDue(vm.lease, group, timing, now))
        return;
    vm.readEnd = records.logEnd;
    vm.addAt = tick + recordTicks;
    vm.claimedIn = vm.lease.generation;
    const HolderRecords answered = recordsAnswered(simulation);
    const auto record = answered.byPartition.find(0);
    const bool isNamed = record != answered.byPartition.end() && record->second.vm == nameOf(index);
    vm.namedAsHolder = vm.namedAsHolder || isNamed;
    vm.claims = claimsToRecord(vm.lease, answered, group, timing, now);
}

/** What a VM knows of the other one. */
ZoneMember &peerOf(Simulation &simulation, int index, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    if (!vm.peer) {
        vm.peer.emplace();
        vm.peer->knownSince = now;
        vm.peer->vm = nameOf(1 - index);
    }
    return *vm.peer;
}

/** Reads the list of VMs and adds this one to it. */
void readList(Simulation &simulation, int index, int tick, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    vm.listRead = vm.listRead || simulation.mutation.assumesList;
    const bool due = !vm.listRead || tick % readListEveryTicks == 0;
    if (!due || !simulation.reachesStore(index) || simulation.is(Fault::ListUnreadable))
        return;
    if (simulation.store.listed[static_cast<std::size_t>(1 - index)])
        peerOf(simulation, index, now);
    simulation.store.listed[static_cast<std::size_t>(index)] = true;
    vm.listRead = true;
}

void renew(Simulation &simulation, int index, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    if (!vm.listRead)
        return;
    if (vm.joinedAt == Instant{})
        vm.joinedAt = now;
    const bool reaches = simulation.reachesStore(index);
    if (reaches)
        simulation.store.join(index, now);
    vm.renewalFailing = !reaches || simulation.is(Fault::AnswersLost);
    if (vm.renewalFailing)
        return;
    LeaseGrant grant;
    grant.generation = {eraOf(simulation), simulation.store.generation.number};
    if (simulation.store.owner == index)
        grant.partitions = {0};
    const PartitionLease before = vm.lease;
    renewLease(vm.lease, grant, simulation.timing, now, now);
    const bool waits = before.activeFrom.count(0) > 0 && vm.lease.activeFrom.count(0) > 0;
    if (simulation.mutation.countsOldWait && waits)
        vm.lease.activeFrom[0] = before.activeFrom.at(0);
}

void reportToPeer(Simulation &simulation, int index, Instant now)
{
    if (simulation.is(Fault::PeersCut) || simulation.isFrozen(1 - index)
        || simulation.isDown(1 - index))
        return;
    const ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    ModelVm &other = simulation.vms[static_cast<std::size_t>(1 - index)];
    for (const PartitionRelease &release : vm.lease.releases)
        applyRelease(other.lease, release, simulation.timing);
    peerOf(simulation, index, now); // that asked for the report
    ZoneMember &member = peerOf(simulation, 1 - index, now);
    member.lastMessageAt = now;
    if (!member.report)
        member.firstReportAt = now;
    // A VM that has just started is not a member yet.
    const bool mayHold = vm.joinedAt != Instant{} && !vm.renewalFailing && !vm.left;
    PeerLeaseState report{now, vm.lease.generation, !mayHold, vm.left};
    if (simulation.mutation.trustsAnyPeer) {
        report.storeUnreachable = true;
        report.generation = {};
    }
    member.report = report;
}

void extend(Simulation &simulation, ModelVm &vm, Instant now)
{
    if (!vm.renewalFailing)
        return;
    extendLease(vm.lease, membersOf(simulation, vm), simulation.timing, now);
}

bool maySend(const Simulation &simulation, int index, Instant now)
{
    const ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    const bool waits = simulation.mutation.recordsWhileWaiting && !vm.namedAsHolder
        && now < newMemberActiveFrom(membersOf(simulation, vm), FormerHolder::Unknown, {},
                                     vm.joinedAt, simulation.timing);
    return !simulation.isUnlinked(index) && !waits && mayCommand(vm.lease, 0, now);
}

void sendCommand(Simulation &simulation, int index, Instant now)
{
    PartitionLease &lease = simulation.vms[static_cast<std::size_t>(index)].lease;
    if (!simulation.mutation.forgetsCommands)
        recordCommand(lease, 0, now);
    const std::int64_t token = toNumber(lease.generation);
    const bool handover = simulation.lastSender >= 0 && simulation.lastSender != index;
    Outcome &outcome = simulation.outcome;
    if (handover)
        outcome.shortestHandover =
            std::min(outcome.shortestHandover, now - simulation.lastCommandAt);
    if (token < simulation.lastToken || (handover && token == simulation.lastToken))
        ++outcome.wrongTokens;
    simulation.lastSender = index;
    simulation.lastCommandAt = now;
    simulation.lastToken = std::max(simulation.lastToken, token);
    ++outcome.activeTicks;
}

/** True if the VM has left the group as it reaches no engine; as leaseLoop() of the gateway. */
bool hasYielded(Simulation &simulation, int index, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    vm.unlinkedTicks = simulation.isUnlinked(index) ? vm.unlinkedTicks + 1 : 0;
    if (vm.unlinkedTicks < yieldAfterTicks)
        return false;
    if (vm.unlinkedTicks > yieldAfterTicks)
        return true;
    dropLease(vm.lease, now);
    vm.renewalFailing = false;
    vm.claims.clear();
    if (simulation.reachesStore(index))
        simulation.store.leave(index);
    return true;
}

void tickVm(Simulation &simulation, int index, int tick, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    if (simulation.isDown(index))
        return;
    if (simulation.isFrozen(index)) {
        vm.totalPause += tickLength;
        return;
    }
    // The worst case: a VM that wakes up sends commands before it does anything else.
    const Duration pause =
        simulation.mutation.ignoresPause ? vm.totalPause.time_since_epoch() : Duration::zero();
    if (maySend(simulation, index, now - pause))
        sendCommand(simulation, index, now);
    readList(simulation, index, tick, now);
    const bool yielded = hasYielded(simulation, index, now);
    // The VMs do not act in the same ticks.
    if (!yielded && (tick + 2 * index) % renewEveryTicks == 0)
        renew(simulation, index, now);
    if (!yielded)
        addRecord(simulation, index, tick, now);
    if ((tick + index) % reportEveryTicks == 0)
        reportToPeer(simulation, index, now);
    extend(simulation, vm, now - pause);
}

} // namespace

std::string nameOf(int vm)
{
    return "vm-" + std::to_string(vm);
}

bool ModelStore::isMember(int vm) const
{
    return this->joinedAt[static_cast<std::size_t>(vm)] != Instant{};
}

void ModelStore::assign(int vm)
{
    this->owner = vm;
    ++this->generation.number;
}

void ModelStore::expire(Instant now, Duration ttl)
{
    for (int vm = 0; vm < vmCount; ++vm) {
        Instant &joined = this->joinedAt[static_cast<std::size_t>(vm)];
        if (joined == Instant{} || now - joined < ttl)
            continue;
        joined = Instant{};
        if (this->owner == vm)
            this->assign(this->isMember(1 - vm) ? 1 - vm : -1);
        else
            ++this->generation.number;
    }
}

void ModelStore::join(int vm, Instant now)
{
    const bool isNew = !this->isMember(vm);
    this->joinedAt[static_cast<std::size_t>(vm)] = now;
    if (isNew)
        this->assign(this->owner < 0 ? vm : this->owner);
}

void ModelStore::leave(int vm)
{
    if (!this->isMember(vm))
        return;
    this->joinedAt[static_cast<std::size_t>(vm)] = Instant{};
    if (this->owner == vm)
        this->assign(this->isMember(1 - vm) ? 1 - vm : -1);
    else
        ++this->generation.number;
}

void ModelStore::reassign()
{
    const int other = 1 - this->owner;
    if (this->owner >= 0 && this->isMember(other))
        this->assign(other);
}

// Members do not expire while the store is away.
void ModelStore::restore(const ModelStore &copy, Instant now)
{
    const std::int64_t era = this->generation.era + 1;
    *this = copy;
    this->generation.era = era;
    for (Instant &joined : this->joinedAt)
        joined = joined == Instant{} ? joined : now;
}

Outcome play(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
             const Mutation &mutation)
{
    Simulation simulation;
    simulation.timing = timing;
    simulation.mutation = mutation;
    simulation.copies.resize(schedule.size());
    for (int tick = 0; tick < ticks; ++tick) {
        const Instant now = modelStart + tick * tickLength;
        for (std::size_t index = 0; index < schedule.size(); ++index) {
            const Toggle &toggle = schedule[index];
            if (toggle.tick - copyAge(toggle.event) == tick)
                simulation.copies[index] = simulation.store;
            if (toggle.tick == tick)
                apply(simulation, toggle, simulation.copies[index], now);
        }
        simulation.store.expire(now, timing.ttl);
        for (int vm = 0; vm < vmCount; ++vm)
            tickVm(simulation, vm, tick, now);
    }
    return simulation.outcome;
}

} // namespace monsoonbay::leasemodel
