#include "LeaseModel.h"

#include <algorithm>

namespace monsoonbay::leasemodel {

namespace {

constexpr int renewEveryTicks = 5;
constexpr int reportEveryTicks = 2;
constexpr int yieldAfterTicks = 20;
constexpr int recordTicks = 4; ///< from reading the records to adding one: a slow store

struct Simulation
{
    LeaseTiming timing;
    Mutation mutation;
    ModelStore store;
    std::array<ModelVm, vmCount> vms;
    std::array<bool, static_cast<int>(Fault::Count)> on{};
    int lastSender = -1;
    Instant lastCommandAt{};
    Duration shortest = Duration::max();
    int activeTicks = 0;

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
        return this->is(vm == 0 ? Fault::FirstDown : Fault::SecondDown);
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

void apply(Simulation &simulation, const Toggle &toggle)
{
    if (!toggle.fault) {
        simulation.store.reassign();
        return;
    }
    bool &on = simulation.on[static_cast<int>(*toggle.fault)];
    on = !on;
    if (*toggle.fault == Fault::FirstDown)
        simulation.vms[0] = ModelVm{};
    if (*toggle.fault == Fault::SecondDown)
        simulation.vms[1] = ModelVm{};
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
        records.byPartition[0] = {nameOf(index), vm.lease.generation};
        if (!simulation.is(Fault::AnswersLost))
            confirmClaims(vm.lease, vm.claims, now);
    }
    vm.claims.clear();
    if (simulation.is(Fault::AnswersLost) || !isWriteDue(vm.lease, now))
        return;
    vm.readEnd = records.logEnd;
    vm.addAt = tick + recordTicks;
    vm.claims = claimsToRecord(vm.lease, records, nameOf(index), simulation.timing, now);
}

void renew(Simulation &simulation, int index, Instant now)
{
    ModelVm &vm = simulation.vms[static_cast<std::size_t>(index)];
    const bool reaches = simulation.reachesStore(index);
    if (reaches)
        simulation.store.join(index, now);
    vm.renewalFailing = !reaches || simulation.is(Fault::AnswersLost);
    if (vm.renewalFailing)
        return;
    LeaseGrant grant;
    grant.generation = simulation.store.generation;
    if (simulation.store.owner == index)
        grant.partitions = {0};
    renewLease(vm.lease, grant, simulation.timing, now, now);
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
    other.hasPeerState = true;
    other.peer.receivedAt = now;
    other.peer.generation = vm.lease.generation;
    other.peer.storeUnreachable = vm.renewalFailing || simulation.mutation.trustsAnyPeer;
    if (simulation.mutation.trustsAnyPeer)
        other.peer.generation = 0;
}

void extend(Simulation &simulation, ModelVm &vm, Instant now)
{
    if (!vm.renewalFailing)
        return;
    std::vector<PeerLeaseState> peers;
    if (vm.hasPeerState)
        peers.push_back(vm.peer);
    extendLease(vm.lease, peers, simulation.timing, now);
}

void sendCommand(Simulation &simulation, int index, Instant now)
{
    if (!simulation.mutation.forgetsCommands)
        recordCommand(simulation.vms[static_cast<std::size_t>(index)].lease, 0, now);
    if (simulation.lastSender >= 0 && simulation.lastSender != index)
        simulation.shortest = std::min(simulation.shortest, now - simulation.lastCommandAt);
    simulation.lastSender = index;
    simulation.lastCommandAt = now;
    ++simulation.activeTicks;
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
    if (!simulation.isUnlinked(index) && mayCommand(vm.lease, 0, now - pause))
        sendCommand(simulation, index, now);
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

Simulation simulate(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
                    const Mutation &mutation)
{
    Simulation simulation;
    simulation.timing = timing;
    simulation.mutation = mutation;
    for (int tick = 0; tick < ticks; ++tick) {
        const Instant now = modelStart + tick * tickLength;
        for (const Toggle &toggle : schedule) {
            if (toggle.tick == tick)
                apply(simulation, toggle);
        }
        simulation.store.expire(now, timing.ttl);
        for (int vm = 0; vm < vmCount; ++vm)
            tickVm(simulation, vm, tick, now);
    }
    return simulation;
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
    ++this->generation;
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
            ++this->generation;
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
        ++this->generation;
}

void ModelStore::reassign()
{
    const int other = 1 - this->owner;
    if (this->owner >= 0 && this->isMember(other))
        this->assign(other);
}

Duration shortestHandover(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
                          const Mutation &mutation)
{
    return simulate(schedule, ticks, timing, mutation).shortest;
}

int ticksActive(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing)
{
    return simulate(schedule, ticks, timing, Mutation{}).activeTicks;
}

} // namespace monsoonbay::leasemodel
