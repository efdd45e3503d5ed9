#include "LeaseModel.h"

#include <algorithm>

namespace monsoonbay::leasemodel {

namespace {

constexpr int renewEveryTicks = 5;
constexpr int newsEveryTicks = 2;
constexpr int noteTicks = 4; ///< from the read of the records to the addition, as with a slow store

struct Play
{
    LeaseTiming timing;
    Mutation mutation;
    ModelStore store;
    std::array<ModelVm, vmCount> vms;
    std::array<bool, static_cast<int>(Fault::Count)> on{};
    int lastOrderer = -1;
    Instant lastOrderAt{};
    Duration shortest = Duration::max();
    int ordered = 0;

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

    bool reachesStore(int vm) const
    {
        return !this->is(vm == 0 ? Fault::StoreUnreachableFromFirst
                                 : Fault::StoreUnreachableFromSecond);
    }
};

void apply(Play &play, const Toggle &toggle)
{
    if (!toggle.fault) {
        play.store.reassign();
        return;
    }
    bool &on = play.on[static_cast<int>(*toggle.fault)];
    on = !on;
    if (*toggle.fault == Fault::FirstDown)
        play.vms[0] = ModelVm{};
    if (*toggle.fault == Fault::SecondDown)
        play.vms[1] = ModelVm{};
}

// A VM adds its record some ticks after it read the others, so that the other VM acts in between.
void noteOrders(Play &play, int index, int tick, Instant now)
{
    ModelVm &vm = play.vms[static_cast<std::size_t>(index)];
    if (!play.reachesStore(index)) {
        vm.claims.clear();
        return;
    }
    if (!vm.claims.empty() && tick < vm.addAt)
        return;
    HolderRecords &notes = play.store.notes;
    if (!vm.claims.empty() && (vm.readEnd == notes.logEnd || play.mutation.recordsBlindly)) {
        ++notes.logEnd;
        notes.byPartition[0] = {nameOf(index), vm.lease.generation};
        if (!play.is(Fault::AnswersLost))
            confirmClaims(vm.lease, vm.claims, now);
    }
    vm.claims.clear();
    if (play.is(Fault::AnswersLost) || !isWriteDue(vm.lease, now))
        return;
    vm.readEnd = notes.logEnd;
    vm.addAt = tick + noteTicks;
    vm.claims = claimsToRecord(vm.lease, notes, nameOf(index), play.timing, now);
}

void renew(Play &play, int index, Instant now)
{
    ModelVm &vm = play.vms[static_cast<std::size_t>(index)];
    const bool reaches = play.reachesStore(index);
    if (reaches)
        play.store.join(index, now);
    vm.renewalFailing = !reaches || play.is(Fault::AnswersLost);
    if (vm.renewalFailing)
        return;
    LeaseGrant grant;
    grant.generation = play.store.generation;
    if (play.store.owner == index)
        grant.partitions = {0};
    renewLease(vm.lease, grant, play.timing, now, now);
}

void tellNews(Play &play, int index, Instant now)
{
    if (play.is(Fault::PeersCut) || play.isFrozen(1 - index) || play.isDown(1 - index))
        return;
    const ModelVm &vm = play.vms[static_cast<std::size_t>(index)];
    ModelVm &other = play.vms[static_cast<std::size_t>(1 - index)];
    for (const PartitionRelease &release : vm.lease.releases)
        applyRelease(other.lease, release, play.timing);
    other.hasPeerState = true;
    other.peer.receivedAt = now;
    other.peer.generation = vm.lease.generation;
    other.peer.storeUnreachable = vm.renewalFailing || play.mutation.trustsAnyPeer;
    if (play.mutation.trustsAnyPeer)
        other.peer.generation = 0;
}

void extend(Play &play, ModelVm &vm, Instant now)
{
    if (!vm.renewalFailing)
        return;
    std::vector<PeerLeaseState> mates;
    if (vm.hasPeerState)
        mates.push_back(vm.peer);
    extendLease(vm.lease, mates, play.timing, now);
}

void order(Play &play, int index, Instant now)
{
    if (play.lastOrderer >= 0 && play.lastOrderer != index)
        play.shortest = std::min(play.shortest, now - play.lastOrderAt);
    play.lastOrderer = index;
    play.lastOrderAt = now;
    ++play.ordered;
}

void tickVm(Play &play, int index, int tick, Instant now)
{
    ModelVm &vm = play.vms[static_cast<std::size_t>(index)];
    if (play.isDown(index))
        return;
    if (play.isFrozen(index)) {
        vm.totalPause += tickLength;
        return;
    }
    // The worst case: a VM that wakes up sends commands before it does anything else.
    const Duration pause =
        play.mutation.ignoresPause ? vm.totalPause.time_since_epoch() : Duration::zero();
    if (mayCommand(vm.lease, 0, now - pause))
        order(play, index, now);
    // The VMs do not act in the same ticks.
    if ((tick + 2 * index) % renewEveryTicks == 0)
        renew(play, index, now);
    noteOrders(play, index, tick, now);
    if ((tick + index) % newsEveryTicks == 0)
        tellNews(play, index, now);
    extend(play, vm, now - pause);
}

Play played(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
            const Mutation &mutation)
{
    Play play;
    play.timing = timing;
    play.mutation = mutation;
    for (int tick = 0; tick < ticks; ++tick) {
        const Instant now = modelStart + tick * tickLength;
        for (const Toggle &toggle : schedule) {
            if (toggle.tick == tick)
                apply(play, toggle);
        }
        play.store.expire(now, timing.ttl);
        for (int vm = 0; vm < vmCount; ++vm)
            tickVm(play, vm, tick, now);
    }
    return play;
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

void ModelStore::reassign()
{
    const int other = 1 - this->owner;
    if (this->owner >= 0 && this->isMember(other))
        this->assign(other);
}

Duration shortestChange(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
                        const Mutation &mutation)
{
    return played(schedule, ticks, timing, mutation).shortest;
}

int ticksActive(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing)
{
    return played(schedule, ticks, timing, Mutation{}).ordered;
}

} // namespace monsoonbay::leasemodel
