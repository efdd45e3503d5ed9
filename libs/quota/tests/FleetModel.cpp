#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>

#include "Refusals.h"
#include "quota/UsageSnapshotWriter.h"

namespace monsoonbay {

namespace {

constexpr Instant begin = Instant{} + std::chrono::seconds(1000);
constexpr Duration length = std::chrono::seconds(34);
constexpr Duration step = std::chrono::milliseconds(10);
constexpr Duration updateInterval = std::chrono::milliseconds(50); ///< between two state updates
constexpr std::size_t maxUpdates = 160;
constexpr Duration downtime = std::chrono::seconds(1); ///< between the end of a VM and its start
constexpr Duration writeLatency = std::chrono::milliseconds(40); ///< duration of a store write
const std::string name = "workspace";

/** Units of a call: log-normal, most of a few thousand and some of many, or uniform if bounded. */
struct CallSizes
{
    std::lognormal_distribution<double> unbounded{8.6, 1.0};
    double largest = 0; ///< 0: unbounded

    double mean() const
    {
        return this->largest > 0 ? this->largest / 2 : std::exp(8.6 + 0.5);
    }

    double units(std::mt19937_64 &random)
    {
        if (this->largest > 0)
            return std::uniform_real_distribution<double>(0, this->largest)(random);
        return this->unbounded(random);
    }
};

/** Counts of the calls of one class and of those that ran. */
struct CallCounts
{
    int calls = 0;
    int ran = 0;

    double share() const
    {
        return static_cast<double>(this->ran) / std::max(this->calls, 1);
    }
};

struct Vm
{
    UsageWindow record;
    double level = 0; ///< of its own token bucket, if the division gives it one
    double age = 0; ///< of the state updates that it has, s
    double permitAge = 0; ///< s
    int group = 0; ///< reaches the VMs of the same group
    Instant started{};
    Instant endsAt{}; ///< at the next restart
    bool up = true;
    StartupSnapshots startupSnapshots;
    bool hasPeerSnapshots = true; ///< has received the snapshots that others read at their start
};

/** The state updates of all VMs at one moment. */
struct FleetUpdates
{
    struct VmUpdate
    {
        WorkspaceUse use;
        bool up = true;
        int group = 0;
    };

    std::vector<VmUpdate> vms;
    std::vector<UsagePermits> permits; ///< by zone
    std::vector<UnitsByAge> units; ///< of all VMs that the zone's relay reaches, by zone
};

/** The VMs of one zone. Its relay is the first of them that is up. */
struct Zone
{
    std::size_t relay = 0;
    Instant relaySince{};
    UsageSnapshotWriter writer;
    UsageSnapshot writing;
    Instant writtenAt{};
};

/** One token bucket for all VMs, as an ideal coordinator without delay would keep it. */
struct Bucket
{
    double level = 0;

    void refill(const WorkspaceLimit &limit, double seconds)
    {
        this->level = std::min(this->level + limit.ratePerSecond * seconds, limit.burst);
    }

    bool take(double units)
    {
        if (this->level <= 0)
            return false;
        this->level -= units;
        return true;
    }
};

class Fleet
{
public:
    Fleet(const FleetScenario &scenario, Division division)
        : scenario(scenario)
        , division(division)
        , random(scenario.seed)
        , limit(scenario.limit)
    {
        std::uniform_real_distribution<double> part(0, 1);
        for (int index = 0; index < scenario.vms; ++index) {
            Vm vm;
            vm.record.carry = part(this->random);
            vm.age = toSeconds(scenario.updateAge) * (0.5 + part(this->random));
            vm.permitAge = toSeconds(scenario.permitAge) / toSeconds(scenario.updateAge) * vm.age;
            this->vms.push_back(vm);
        }
        this->zones.resize(static_cast<std::size_t>(scenario.zones));
        this->store.resize(this->zones.size());
        this->drawRestarts();
        this->calls.largest = scenario.largestCall;
        this->ideal.level = scenario.limit.burst;
        for (Vm &vm : this->vms)
            vm.level = scenario.limit.burst / scenario.vms;
    }

    FleetOutcome run()
    {
        for (Duration at{}; at < length; at += step)
            this->runStep(at);
        this->outcome.maxOfBound = this->maxOfBound;
        this->outcome.served = this->ran / std::max(this->idealRan, 1.0);
        this->outcome.servedInCalm = this->calmRan / std::max(this->calmIdeal, 1.0);
        this->outcome.servedCalls = this->allHot.share();
        for (std::size_t index = 0; index < callClassCount; ++index)
            this->outcome.servedByClass[index] = this->hotByClass[index].share();
        this->outcome.servedAfter = this->ranAfter / std::max(this->requestedAfter, 1.0);
        return this->outcome;
    }

private:
    bool within(Duration at, int from, int to) const
    {
        return at >= std::chrono::seconds(from) && at < std::chrono::seconds(to);
    }

    void runStep(Duration at)
    {
        this->now = begin + at;
        this->setGroups(at);
        for (Vm &vm : this->vms)
            this->stopOrStart(vm);
        for (Vm &vm : this->vms)
            this->receiveSnapshots(vm);
        if (at == std::chrono::seconds(18))
            this->limit.ratePerSecond *= this->scenario.rateFactor;
        this->writeSnapshots();
        if (at.count() % updateInterval.count() == 0)
            this->publishUpdates();
        const double seconds = toSeconds(step);
        this->ideal.refill(this->limit, seconds);
        for (Vm &vm : this->vms)
            this->refill(vm, seconds);
        if (this->scenario.quietBefore && at < std::chrono::seconds(this->scenario.hotFromSecond))
            return;
        const bool hot = this->within(at, this->scenario.hotFromSecond, 24);
        const double rate = this->scenario.usualDemand * this->scenario.limit.ratePerSecond
            * (hot ? this->scenario.hot : 1);
        this->hot = hot;
        if (this->scenario.kinds.empty())
            this->runCalls(rate * seconds / this->calls.mean(), {});
        double mean = 0;
        for (const CallsOfKind &kind : this->scenario.kinds)
            mean += kind.callsPerSecond * static_cast<double>(kind.units);
        for (std::size_t index = 0; index < this->scenario.kinds.size(); ++index) {
            const CallsOfKind &kind = this->scenario.kinds[index];
            const double times = hot && index == this->scenario.burstOf ? this->scenario.burst : 1;
            this->runCalls(times * rate * seconds * kind.callsPerSecond / mean, kind);
        }
        this->checkWindow(at);
    }

    /** `expected`: mean number of calls in this step. */
    void runCalls(double expected, const CallsOfKind &kind)
    {
        std::poisson_distribution<int> count(expected);
        const int calls = count(this->random);
        for (int call = 0; call < calls; ++call)
            this->runCall(kind);
    }

    void setGroups(Duration at)
    {
        const bool cut = this->within(at, 10, 26);
        for (int index = 0; index < this->scenario.vms; ++index) {
            Vm &vm = this->vms[static_cast<std::size_t>(index)];
            vm.group = 0;
            if (cut && index < this->scenario.isolatedVms)
                vm.group = 1 + index;
            else if (cut && index >= this->scenario.vms * (1 - this->scenario.partitionedShare))
                vm.group = -1;
        }
    }

    void drawRestarts()
    {
        if (this->nextRestart >= this->scenario.restarts.size())
            return;
        std::uniform_real_distribution<double> part(0, 1);
        const Instant from = begin + this->scenario.restarts[this->nextRestart];
        for (Vm &vm : this->vms)
            vm.endsAt =
                from + fromSeconds(toSeconds(this->scenario.restartSpread) * part(this->random));
        this->lastUp = from + this->scenario.restartSpread + downtime;
        ++this->nextRestart;
    }

    void stopOrStart(Vm &vm)
    {
        if (vm.endsAt == Instant{} || this->now < vm.endsAt)
            return;
        vm.up = false;
        if (this->now < vm.endsAt + downtime)
            return;
        const double carry = std::uniform_real_distribution<double>(0, 1)(this->random);
        vm.up = true;
        vm.endsAt = Instant{};
        vm.record = UsageWindow();
        vm.record.carry = carry;
        vm.record.since = this->now;
        vm.started = this->now;
        vm.level = 0;
        vm.startupSnapshots = {true, this->now, this->store};
        vm.hasPeerSnapshots = false;
        const bool all = std::all_of(this->vms.begin(), this->vms.end(),
                                     [](const Vm &other) { return other.endsAt == Instant{}; });
        if (all)
            this->drawRestarts();
    }

    // By the time that a VM receives the others' usage, it has also received the snapshots that
    // VMs which started earlier had read.
    void receiveSnapshots(Vm &vm)
    {
        if (vm.hasPeerSnapshots || !vm.up || this->now - vm.started < fromSeconds(vm.age))
            return;
        vm.hasPeerSnapshots = true;
        for (const Vm &other : this->vms) {
            if (other.up && other.group == vm.group)
                adoptSnapshots(vm.startupSnapshots, other.startupSnapshots, this->scenario.policy,
                               this->now);
        }
    }

    void chooseRelay(std::size_t index)
    {
        Zone &zone = this->zones[index];
        std::size_t relay = index;
        while (relay < this->vms.size() && !this->vms[relay].up)
            relay += this->zones.size();
        if (relay >= this->vms.size()) {
            zone.relaySince = Instant{};
            return;
        }
        const Vm &vm = this->vms[relay];
        const bool same =
            zone.relay == relay && zone.relaySince != Instant{} && vm.started <= zone.relaySince;
        if (same)
            return;
        zone.relay = relay;
        zone.relaySince = this->now;
        zone.writtenAt = Instant{};
        startSnapshotWriter(zone.writer, {name}, this->scenario.policy, vm.started, this->now);
    }

    bool reachesStore(std::size_t zone) const
    {
        const Duration at = this->now - begin;
        const bool outage = at >= this->scenario.rejectedFrom && at < this->scenario.rejectedUntil;
        return !outage || static_cast<int>(zone) >= this->scenario.rejectedZones;
    }

    void writeSnapshots()
    {
        for (std::size_t index = 0; index < this->zones.size(); ++index) {
            Zone &zone = this->zones[index];
            this->chooseRelay(index);
            if (zone.relaySince == Instant{})
                continue;
            if (zone.writer.isWriting && this->now >= zone.writtenAt) {
                endSnapshot(zone.writer, this->reachesStore(index));
                if (this->reachesStore(index))
                    this->store[index] = zone.writing;
            }
            if (this->now.time_since_epoch().count() % updateInterval.count() != 0)
                continue;
            UsagePercents wanted;
            const int percent =
                percentNeeded(this->limit, this->scenario.policy, this->usageSeenBy(zone.relay));
            if (percent > 0)
                wanted[name] = percent;
            updateWantedPercents(zone.writer, wanted, this->now);
            if (!isWriteDue(zone.writer, this->now))
                continue;
            zone.writing.clear();
            for (const auto &[workspace, named] : beginSnapshot(zone.writer, this->now))
                zone.writing[workspace] = {named, this->reportedUnits(index)};
            zone.writtenAt = this->now + writeLatency;
        }
    }

    UnitsByAge reportedUnits(std::size_t zone) const
    {
        const Vm &relay = this->vms[this->zones[zone].relay];
        UnitsByAge units{};
        const FleetUpdates *updates = this->updatesFor(relay, relay.age);
        if (updates != nullptr)
            addUnits(units, updates->units[zone], this->scenario.policy, fromSeconds(relay.age));
        return units;
    }

    void publishUpdates()
    {
        FleetUpdates fleetUpdates;
        fleetUpdates.units.resize(this->zones.size());
        for (const Zone &zone : this->zones)
            fleetUpdates.permits.push_back(permitsOf(zone.writer));
        for (Vm &vm : this->vms) {
            fleetUpdates.vms.push_back({this->ownUse(vm), vm.up, vm.group});
            if (!vm.up)
                continue;
            UnitsByAge units = unitsByAge(vm.record, this->scenario.policy, this->now);
            if (vm.started != Instant{})
                addAssumedUnits(units, name, this->limit, this->scenario.policy,
                                vm.startupSnapshots, this->scenario.vms, vm.started, this->now);
            for (std::size_t zone = 0; zone < this->zones.size(); ++zone) {
                if (this->vms[this->zones[zone].relay].group == vm.group)
                    addUnits(fleetUpdates.units[zone], units, this->scenario.policy,
                             Duration::zero());
            }
        }
        this->updateHistory.push_back(std::move(fleetUpdates));
        if (this->updateHistory.size() > maxUpdates)
            this->updateHistory.pop_front();
    }

    WorkspaceUse ownUse(Vm &vm)
    {
        if (!vm.up)
            return {};
        WorkspaceUse use = usageOf(vm.record, this->scenario.policy, this->now);
        if (&vm - this->vms.data() < this->scenario.vmsWithoutClasses) {
            use.requestedByClass = {};
            use.callsInWindowByClass = {};
            use.requestedInWindow = 0;
        }
        if (vm.started != Instant{})
            addUsage(use,
                     assumedUsageAtStart(name, this->limit, this->scenario.policy,
                                         vm.startupSnapshots, this->scenario.vms, vm.started,
                                         this->now));
        return use;
    }

    /** The state updates of `age` seconds ago; null: there were none, or the VM was not up. */
    const FleetUpdates *updatesFor(const Vm &vm, double age) const
    {
        const auto back = static_cast<std::size_t>(age / toSeconds(updateInterval));
        const bool sinceStart =
            vm.started == Instant{} || this->now - vm.started > fromSeconds(age);
        if (back >= this->updateHistory.size() || !sinceStart)
            return nullptr;
        return &this->updateHistory[this->updateHistory.size() - 1 - back];
    }

    FleetUsage usageSeenBy(std::size_t self)
    {
        Vm &vm = this->vms[self];
        FleetUsage fleetUsage;
        fleetUsage.usage = this->ownUse(vm);
        fleetUsage.knownVms = this->scenario.vms;
        fleetUsage.updateAge = this->scenario.updateAge;
        fleetUsage.allowedShare = shareWithoutSnapshot;
        const std::size_t zone = self % this->zones.size();
        if (this->zones[zone].relaySince != Instant{} && this->zones[zone].relay == self)
            fleetUsage.allowedShare =
                shareAllowed(permitsOf(this->zones[zone].writer), name, this->now);
        const FleetUpdates *permitted = this->updatesFor(vm, vm.permitAge);
        const std::size_t relay = this->zones[zone].relay;
        if (permitted != nullptr && permitted->vms[relay].group == vm.group)
            fleetUsage.allowedShare = std::max(
                fleetUsage.allowedShare, shareAllowed(permitted->permits[zone], name, this->now));
        const FleetUpdates *updates = this->updatesFor(vm, vm.age);
        if (updates == nullptr)
            return fleetUsage;
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            const FleetUpdates::VmUpdate &update = updates->vms[other];
            if (other == self || !update.up || update.group != vm.group)
                continue;
            addUsage(fleetUsage.usage, update.use);
            ++fleetUsage.reachableVms;
        }
        return fleetUsage;
    }

    double partOf(std::size_t self)
    {
        if (this->division == Division::Even)
            return 1.0 / this->scenario.vms;
        const FleetUsage fleetUsage = this->usageSeenBy(self);
        const auto own = static_cast<double>(
            usageOf(this->vms[self].record, this->scenario.policy, this->now).requestedPerSecond);
        const double all = std::max(static_cast<double>(fleetUsage.usage.requestedPerSecond), 1.0);
        return own / all * fleetUsage.reachableVms / this->scenario.vms;
    }

    void refill(Vm &vm, double seconds)
    {
        if (this->division == Division::BySum)
            return;
        const auto self = static_cast<std::size_t>(&vm - this->vms.data());
        const double part = this->partOf(self);
        vm.level += part * this->limit.ratePerSecond * seconds;
        vm.level = std::min(vm.level, std::max(part, 1.0 / this->scenario.vms) * this->limit.burst);
    }

    CallClass classAt(std::size_t self, const CallsOfKind &kind)
    {
        if (this->scenario.kinds.empty() || this->scenario.oneClass)
            return CallClass::Rank2;
        return classOf(this->usageSeenBy(self).usage, kind.units, kind.rank);
    }

    void runCall(const CallsOfKind &kind)
    {
        std::uniform_int_distribution<std::size_t> where(
            0, static_cast<std::size_t>(this->scenario.vmsWithCalls) - 1);
        const std::size_t self = where(this->random);
        const std::int64_t units = this->scenario.kinds.empty()
            ? static_cast<std::int64_t>(this->calls.units(this->random)) + 1
            : kind.units;
        Vm &vm = this->vms[self];
        if (!vm.up)
            return;
        const CallClass callClass = this->classAt(self, kind);
        recordRequested(vm.record, this->scenario.policy, units, this->now, callClass);
        const auto cost = static_cast<double>(units);
        const bool after = this->lastUp != Instant{} && this->now >= this->lastUp
            && this->now < this->lastUp + this->scenario.policy.window;
        this->requestedAfter += after ? cost : 0;
        if (this->ideal.take(cost)) {
            this->idealRan += cost;
            this->calmIdeal += this->hot ? 0 : cost;
        }
        const bool admitted = this->isAdmitted(self, units, callClass);
        if (this->hot)
            this->recordHotCall(callClass, admitted);
        if (!admitted)
            return;
        recordUsage(vm.record, this->scenario.policy, units, this->now);
        this->ran += cost;
        this->calmRan += this->hot ? 0 : cost;
        this->ranAfter += after ? cost : 0;
        this->recent.push_back({this->now, cost});
        this->inWindow += cost;
    }

    void recordRefusal(std::size_t self, std::int64_t units, CallClass callClass,
                       const FleetUsage &fleetUsage, const QuotaDecision &decision)
    {
        const double usable =
            reachableShare(fleetUsage) * usableInWindow(this->limit, this->scenario.policy);
        Refusal refusal;
        refusal.at = this->now - begin;
        refusal.vm = self;
        refusal.callClass = callClass;
        refusal.units = units;
        refusal.fits = decision.fits;
        refusal.share = decision.share;
        refusal.window = static_cast<double>(fleetUsage.usage.unitsInWindow) / usable;
        refusal.allowed = fleetUsage.allowedShare;
        refusal.reachableVms = fleetUsage.reachableVms;
        this->outcome.refusals.push_back(refusal);
    }

    void recordHotCall(CallClass callClass, bool admitted)
    {
        for (CallCounts *counts : {&this->allHot, &this->hotByClass[indexOf(callClass)]}) {
            ++counts->calls;
            counts->ran += admitted ? 1 : 0;
        }
    }

    bool isAdmitted(std::size_t self, std::int64_t units, CallClass callClass)
    {
        Vm &vm = this->vms[self];
        if (this->division == Division::BySum) {
            const FleetUsage fleetUsage = this->usageSeenBy(self);
            const QuotaDecision decision = admitCall(vm.record, this->limit, this->scenario.policy,
                                                     fleetUsage, units, this->now, callClass);
            if (!decision.admitted)
                this->recordRefusal(self, units, callClass, fleetUsage, decision);
            return decision.admitted;
        }
        if (vm.level <= 0)
            return false;
        vm.level -= static_cast<double>(units);
        return true;
    }

    void checkWindow(Duration at)
    {
        while (!this->recent.empty()
               && this->now - this->recent.front().at > this->scenario.policy.window) {
            this->inWindow -= this->recent.front().units;
            this->recent.pop_front();
        }
        // A lowered limit is enforced one window after all VMs have it.
        const bool settling = this->scenario.rateFactor < 1 && this->within(at, 18, 29);
        const WorkspaceLimit &binding = settling ? this->scenario.limit : this->limit;
        this->maxOfBound = std::max(this->maxOfBound,
                                    this->inWindow / maxInWindow(binding, this->scenario.policy));
    }

    struct Ran
    {
        Instant at{};
        double units = 0;
    };

    FleetScenario scenario;
    Division division;
    std::mt19937_64 random;
    WorkspaceLimit limit;
    CallSizes calls;
    std::vector<Vm> vms;
    Bucket ideal;
    Instant now{};
    std::deque<FleetUpdates> updateHistory;
    std::vector<Zone> zones;
    std::vector<UsageSnapshot> store; ///< by zone
    std::size_t nextRestart = 0;
    Instant lastUp{}; ///< when all VMs are up again after the latest restart that was drawn
    std::deque<Ran> recent;
    double inWindow = 0;
    double maxOfBound = 0;
    double ran = 0;
    double idealRan = 0;
    double calmRan = 0;
    double calmIdeal = 0;
    bool hot = false;
    CallCounts allHot;
    std::array<CallCounts, callClassCount> hotByClass{};
    double ranAfter = 0;
    double requestedAfter = 0;
    FleetOutcome outcome;
};

} // namespace

FleetOutcome simulateScenario(const FleetScenario &scenario, Division division)
{
    FleetOutcome outcome = Fleet(scenario, division).run();
    if (std::getenv("PRINT_REFUSALS") != nullptr)
        printRefusals(scenario, outcome.refusals);
    return outcome;
}

} // namespace monsoonbay
