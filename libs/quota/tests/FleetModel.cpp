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
constexpr Duration told = std::chrono::milliseconds(50); ///< between two snapshots
constexpr std::size_t toldKept = 160;
constexpr Duration away = std::chrono::seconds(1); ///< between the end of a VM and its start
constexpr Duration noteTakes = std::chrono::milliseconds(40); ///< duration of a store write
const std::string name = "workspace";

/** Units of a call: log-normal, most of a few thousand and some of many, or uniform if bounded. */
struct Calls
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
struct Came
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
    StartupSnapshots notes;
    bool heardNotes = true; ///< has received the snapshots that others read at their start
};

/** The state updates of all VMs at one moment. */
struct Snapshot
{
    struct Told
    {
        WorkspaceUse use;
        bool up = true;
        int group = 0;
    };

    std::vector<Told> vms;
    std::vector<UsagePermits> permits; ///< by zone
    std::vector<UnitsByAge> units; ///< of all VMs that the zone's relay reaches, by zone
};

/** The VMs of one zone. Its relay is the first of them that is up. */
struct Zone
{
    std::size_t relay = 0;
    Instant relaySince{};
    UsageSnapshotWriter noting;
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
    Fleet(const FleetScenario &day, Division division)
        : day(day)
        , division(division)
        , random(day.seed)
        , limit(day.limit)
    {
        std::uniform_real_distribution<double> part(0, 1);
        for (int index = 0; index < day.vms; ++index) {
            Vm vm;
            vm.record.carry = part(this->random);
            vm.age = toSeconds(day.updateAge) * (0.5 + part(this->random));
            vm.permitAge = toSeconds(day.permitAge) / toSeconds(day.updateAge) * vm.age;
            this->vms.push_back(vm);
        }
        this->zones.resize(static_cast<std::size_t>(day.zones));
        this->store.resize(this->zones.size());
        this->drawEnds();
        this->calls.largest = day.largestCall;
        this->ideal.level = day.limit.burst;
        for (Vm &vm : this->vms)
            vm.level = day.limit.burst / day.vms;
    }

    FleetOutcome play()
    {
        for (Duration at{}; at < length; at += step)
            this->playStep(at);
        this->outcome.mostOfBound = this->mostOfBound;
        this->outcome.served = this->ran / std::max(this->idealRan, 1.0);
        this->outcome.servedInCalm = this->calmRan / std::max(this->calmIdeal, 1.0);
        this->outcome.servedCalls = this->allHot.share();
        for (std::size_t index = 0; index < callClassCount; ++index)
            this->outcome.servedByClass[index] = this->hotByClass[index].share();
        this->outcome.servedAfter = this->ranAfter / std::max(this->askedAfter, 1.0);
        return this->outcome;
    }

private:
    bool within(Duration at, int from, int to) const
    {
        return at >= std::chrono::seconds(from) && at < std::chrono::seconds(to);
    }

    void playStep(Duration at)
    {
        this->now = begin + at;
        this->setGroups(at);
        for (Vm &vm : this->vms)
            this->endOrStart(vm);
        for (Vm &vm : this->vms)
            this->hearNotes(vm);
        if (at == std::chrono::seconds(18))
            this->limit.ratePerSecond *= this->day.lowered;
        this->writeNotes();
        if (at.count() % told.count() == 0)
            this->tell();
        const double seconds = toSeconds(step);
        this->ideal.refill(this->limit, seconds);
        for (Vm &vm : this->vms)
            this->refill(vm, seconds);
        if (this->day.quietBefore && at < std::chrono::seconds(this->day.hotFrom))
            return;
        const bool hot = this->within(at, this->day.hotFrom, 24);
        const double rate =
            this->day.usual * this->day.limit.ratePerSecond * (hot ? this->day.hot : 1);
        this->hot = hot;
        if (this->day.kinds.empty())
            this->playMany(rate * seconds / this->calls.mean(), {});
        double mean = 0;
        for (const CallsOfKind &kind : this->day.kinds)
            mean += kind.callsPerSecond * static_cast<double>(kind.units);
        for (std::size_t index = 0; index < this->day.kinds.size(); ++index) {
            const CallsOfKind &kind = this->day.kinds[index];
            const double times = hot && index == this->day.burstOf ? this->day.burst : 1;
            this->playMany(times * rate * seconds * kind.callsPerSecond / mean, kind);
        }
        this->checkWindow(at);
    }

    /** `expected`: mean number of calls in this step. */
    void playMany(double expected, const CallsOfKind &kind)
    {
        std::poisson_distribution<int> count(expected);
        const int calls = count(this->random);
        for (int call = 0; call < calls; ++call)
            this->playCall(kind);
    }

    void setGroups(Duration at)
    {
        const bool cut = this->within(at, 10, 26);
        for (int index = 0; index < this->day.vms; ++index) {
            Vm &vm = this->vms[static_cast<std::size_t>(index)];
            vm.group = 0;
            if (cut && index < this->day.cutAlone)
                vm.group = 1 + index;
            else if (cut && index >= this->day.vms * (1 - this->day.cutTogether))
                vm.group = -1;
        }
    }

    void drawEnds()
    {
        if (this->nextRestart >= this->day.restarts.size())
            return;
        std::uniform_real_distribution<double> part(0, 1);
        const Instant from = begin + this->day.restarts[this->nextRestart];
        for (Vm &vm : this->vms)
            vm.endsAt = from + fromSeconds(toSeconds(this->day.apart) * part(this->random));
        this->lastUp = from + this->day.apart + away;
        ++this->nextRestart;
    }

    void endOrStart(Vm &vm)
    {
        if (vm.endsAt == Instant{} || this->now < vm.endsAt)
            return;
        vm.up = false;
        if (this->now < vm.endsAt + away)
            return;
        const double carry = std::uniform_real_distribution<double>(0, 1)(this->random);
        vm.up = true;
        vm.endsAt = Instant{};
        vm.record = UsageWindow();
        vm.record.carry = carry;
        vm.record.since = this->now;
        vm.started = this->now;
        vm.level = 0;
        vm.notes = {true, this->now, this->store};
        vm.heardNotes = false;
        const bool all = std::all_of(this->vms.begin(), this->vms.end(),
                                     [](const Vm &other) { return other.endsAt == Instant{}; });
        if (all)
            this->drawEnds();
    }

    // By the time that a VM receives the others' usage, it has also received the snapshots that
    // VMs which started earlier had read.
    void hearNotes(Vm &vm)
    {
        if (vm.heardNotes || !vm.up || this->now - vm.started < fromSeconds(vm.age))
            return;
        vm.heardNotes = true;
        for (const Vm &other : this->vms) {
            if (other.up && other.group == vm.group)
                adoptSnapshots(vm.notes, other.notes, this->day.policy, this->now);
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
        startSnapshotWriter(zone.noting, {name}, this->day.policy, vm.started, this->now);
    }

    bool reachesStore(std::size_t zone) const
    {
        const Duration at = this->now - begin;
        const bool outage = at >= this->day.storeAwayFrom && at < this->day.storeAwayUntil;
        return !outage || static_cast<int>(zone) >= this->day.storeAwayFor;
    }

    void writeNotes()
    {
        for (std::size_t index = 0; index < this->zones.size(); ++index) {
            Zone &zone = this->zones[index];
            this->chooseRelay(index);
            if (zone.relaySince == Instant{})
                continue;
            if (zone.noting.isWriting && this->now >= zone.writtenAt) {
                endSnapshot(zone.noting, this->reachesStore(index));
                if (this->reachesStore(index))
                    this->store[index] = zone.writing;
            }
            if (this->now.time_since_epoch().count() % told.count() != 0)
                continue;
            UsagePercents wanted;
            const int percent =
                percentNeeded(this->limit, this->day.policy, this->seenBy(zone.relay));
            if (percent > 0)
                wanted[name] = percent;
            updateWantedPercents(zone.noting, wanted, this->now);
            if (!isWriteDue(zone.noting, this->now))
                continue;
            zone.writing.clear();
            for (const auto &[workspace, named] : beginSnapshot(zone.noting, this->now))
                zone.writing[workspace] = {named, this->unitsHeard(index)};
            zone.writtenAt = this->now + noteTakes;
        }
    }

    UnitsByAge unitsHeard(std::size_t zone) const
    {
        const Vm &relay = this->vms[this->zones[zone].relay];
        UnitsByAge units{};
        const Snapshot *heard = this->heardBy(relay, relay.age);
        if (heard != nullptr)
            addUnits(units, heard->units[zone], this->day.policy, fromSeconds(relay.age));
        return units;
    }

    void tell()
    {
        Snapshot snapshot;
        snapshot.units.resize(this->zones.size());
        for (const Zone &zone : this->zones)
            snapshot.permits.push_back(permitsOf(zone.noting));
        for (Vm &vm : this->vms) {
            snapshot.vms.push_back({this->ownUse(vm), vm.up, vm.group});
            if (!vm.up)
                continue;
            UnitsByAge units = unitsByAge(vm.record, this->day.policy, this->now);
            if (vm.started != Instant{})
                addAssumedUnits(units, name, this->limit, this->day.policy, vm.notes, this->day.vms,
                                vm.started, this->now);
            for (std::size_t zone = 0; zone < this->zones.size(); ++zone) {
                if (this->vms[this->zones[zone].relay].group == vm.group)
                    addUnits(snapshot.units[zone], units, this->day.policy, Duration::zero());
            }
        }
        this->snapshots.push_back(std::move(snapshot));
        if (this->snapshots.size() > toldKept)
            this->snapshots.pop_front();
    }

    WorkspaceUse ownUse(Vm &vm)
    {
        if (!vm.up)
            return {};
        WorkspaceUse use = usageOf(vm.record, this->day.policy, this->now);
        if (&vm - this->vms.data() < this->day.silentOnClasses) {
            use.requestedByClass = {};
            use.callsInWindowByClass = {};
            use.requestedInWindow = 0;
        }
        if (vm.started != Instant{})
            addUsage(use,
                     assumedUsageAtStart(name, this->limit, this->day.policy, vm.notes,
                                         this->day.vms, vm.started, this->now));
        return use;
    }

    /** The state updates of `age` seconds ago; null: there were none, or the VM was not up. */
    const Snapshot *heardBy(const Vm &vm, double age) const
    {
        const auto back = static_cast<std::size_t>(age / toSeconds(told));
        const bool sinceStart =
            vm.started == Instant{} || this->now - vm.started > fromSeconds(age);
        if (back >= this->snapshots.size() || !sinceStart)
            return nullptr;
        return &this->snapshots[this->snapshots.size() - 1 - back];
    }

    FleetUsage seenBy(std::size_t self)
    {
        Vm &vm = this->vms[self];
        FleetUsage seen;
        seen.usage = this->ownUse(vm);
        seen.knownVms = this->day.vms;
        seen.updateAge = this->day.updateAge;
        seen.allowedShare = shareWithoutSnapshot;
        const std::size_t zone = self % this->zones.size();
        if (this->zones[zone].relaySince != Instant{} && this->zones[zone].relay == self)
            seen.allowedShare = shareAllowed(permitsOf(this->zones[zone].noting), name, this->now);
        const Snapshot *permitted = this->heardBy(vm, vm.permitAge);
        const std::size_t relay = this->zones[zone].relay;
        if (permitted != nullptr && permitted->vms[relay].group == vm.group)
            seen.allowedShare = std::max(seen.allowedShare,
                                         shareAllowed(permitted->permits[zone], name, this->now));
        const Snapshot *heard = this->heardBy(vm, vm.age);
        if (heard == nullptr)
            return seen;
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            const Snapshot::Told &told = heard->vms[other];
            if (other == self || !told.up || told.group != vm.group)
                continue;
            addUsage(seen.usage, told.use);
            ++seen.reachableVms;
        }
        return seen;
    }

    double partOf(std::size_t self)
    {
        if (this->division == Division::Even)
            return 1.0 / this->day.vms;
        const FleetUsage seen = this->seenBy(self);
        const auto own = static_cast<double>(
            usageOf(this->vms[self].record, this->day.policy, this->now).requestedPerSecond);
        const double all = std::max(static_cast<double>(seen.usage.requestedPerSecond), 1.0);
        return own / all * seen.reachableVms / this->day.vms;
    }

    void refill(Vm &vm, double seconds)
    {
        if (this->division == Division::BySum)
            return;
        const auto self = static_cast<std::size_t>(&vm - this->vms.data());
        const double part = this->partOf(self);
        vm.level += part * this->limit.ratePerSecond * seconds;
        vm.level = std::min(vm.level, std::max(part, 1.0 / this->day.vms) * this->limit.burst);
    }

    CallClass classAt(std::size_t self, const CallsOfKind &kind)
    {
        if (this->day.kinds.empty() || this->day.oneClass)
            return CallClass::Rank2;
        return classOf(this->seenBy(self).usage, kind.units, kind.rank);
    }

    void playCall(const CallsOfKind &kind)
    {
        std::uniform_int_distribution<std::size_t> where(
            0, static_cast<std::size_t>(this->day.callersAt) - 1);
        const std::size_t self = where(this->random);
        const std::int64_t units = this->day.kinds.empty()
            ? static_cast<std::int64_t>(this->calls.units(this->random)) + 1
            : kind.units;
        Vm &vm = this->vms[self];
        if (!vm.up)
            return;
        const CallClass callClass = this->classAt(self, kind);
        recordRequested(vm.record, this->day.policy, units, this->now, callClass);
        const auto cost = static_cast<double>(units);
        const bool after = this->lastUp != Instant{} && this->now >= this->lastUp
            && this->now < this->lastUp + this->day.policy.window;
        this->askedAfter += after ? cost : 0;
        if (this->ideal.take(cost)) {
            this->idealRan += cost;
            this->calmIdeal += this->hot ? 0 : cost;
        }
        const bool admitted = this->isAdmitted(self, units, callClass);
        if (this->hot)
            this->noteHot(callClass, admitted);
        if (!admitted)
            return;
        recordUsage(vm.record, this->day.policy, units, this->now);
        this->ran += cost;
        this->calmRan += this->hot ? 0 : cost;
        this->ranAfter += after ? cost : 0;
        this->recent.push_back({this->now, cost});
        this->inWindow += cost;
    }

    void noteRefusal(std::size_t self, std::int64_t units, CallClass callClass,
                     const FleetUsage &seen, const QuotaDecision &verdict)
    {
        const double usable = reachableShare(seen) * usableInWindow(this->limit, this->day.policy);
        Refusal refusal;
        refusal.at = this->now - begin;
        refusal.vm = self;
        refusal.callClass = callClass;
        refusal.units = units;
        refusal.fits = verdict.fits;
        refusal.share = verdict.share;
        refusal.window = static_cast<double>(seen.usage.unitsInWindow) / usable;
        refusal.allowed = seen.allowedShare;
        refusal.reachableVms = seen.reachableVms;
        this->outcome.refusals.push_back(refusal);
    }

    void noteHot(CallClass callClass, bool admitted)
    {
        for (Came *came : {&this->allHot, &this->hotByClass[indexOf(callClass)]}) {
            ++came->calls;
            came->ran += admitted ? 1 : 0;
        }
    }

    bool isAdmitted(std::size_t self, std::int64_t units, CallClass callClass)
    {
        Vm &vm = this->vms[self];
        if (this->division == Division::BySum) {
            const FleetUsage seen = this->seenBy(self);
            const QuotaDecision verdict = admitCall(vm.record, this->limit, this->day.policy, seen,
                                                    units, this->now, callClass);
            if (!verdict.admitted)
                this->noteRefusal(self, units, callClass, seen, verdict);
            return verdict.admitted;
        }
        if (vm.level <= 0)
            return false;
        vm.level -= static_cast<double>(units);
        return true;
    }

    void checkWindow(Duration at)
    {
        while (!this->recent.empty()
               && this->now - this->recent.front().at > this->day.policy.window) {
            this->inWindow -= this->recent.front().units;
            this->recent.pop_front();
        }
        // A lowered limit is enforced one window after all VMs have it.
        const bool settling = this->day.lowered < 1 && this->within(at, 18, 29);
        const WorkspaceLimit &binding = settling ? this->day.limit : this->limit;
        this->mostOfBound =
            std::max(this->mostOfBound, this->inWindow / maxInWindow(binding, this->day.policy));
    }

    struct Ran
    {
        Instant at{};
        double units = 0;
    };

    FleetScenario day;
    Division division;
    std::mt19937_64 random;
    WorkspaceLimit limit;
    Calls calls;
    std::vector<Vm> vms;
    Bucket ideal;
    Instant now{};
    std::deque<Snapshot> snapshots;
    std::vector<Zone> zones;
    std::vector<UsageSnapshot> store; ///< by zone
    std::size_t nextRestart = 0;
    Instant lastUp{}; ///< when all VMs are up again after the latest restart that was drawn
    std::deque<Ran> recent;
    double inWindow = 0;
    double mostOfBound = 0;
    double ran = 0;
    double idealRan = 0;
    double calmRan = 0;
    double calmIdeal = 0;
    bool hot = false;
    Came allHot;
    std::array<Came, callClassCount> hotByClass{};
    double ranAfter = 0;
    double askedAfter = 0;
    FleetOutcome outcome;
};

} // namespace

FleetOutcome simulateDay(const FleetScenario &day, Division division)
{
    FleetOutcome outcome = Fleet(day, division).play();
    if (std::getenv("PRINT_REFUSALS") != nullptr)
        printRefusals(day, outcome.refusals);
    return outcome;
}

} // namespace monsoonbay
