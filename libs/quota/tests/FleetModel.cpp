#include "FleetModel.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace monsoonbay {

namespace {

constexpr Duration length = std::chrono::seconds(34);
constexpr Duration step = std::chrono::milliseconds(10);
constexpr Duration told = std::chrono::milliseconds(50); ///< between two snapshots
constexpr std::size_t toldKept = 160;

/** Units of a call: most are of a few thousand, some of many. */
struct Calls
{
    std::lognormal_distribution<double> units{8.6, 1.0};
};

struct Vm
{
    SpendRecord record;
    double level = 0; ///< of its own bucket, where the division gives it one
    double age = 0; ///< of its news, s
    int group = 0; ///< hears those of the same group
    Instant started{};
};

/** One bucket for all VMs, as a coordinator without delay would keep it. */
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
    Fleet(const FleetDay &day, Division division)
        : day(day)
        , division(division)
        , random(day.seed)
        , limit(day.limit)
    {
        std::uniform_real_distribution<double> part(0, 1);
        for (int index = 0; index < day.vms; ++index) {
            Vm vm;
            vm.record.carry = part(this->random);
            vm.age = toSeconds(day.newsAge) * (0.5 + part(this->random));
            this->vms.push_back(vm);
        }
        this->ideal.level = day.limit.burst;
        for (Vm &vm : this->vms)
            vm.level = day.limit.burst / day.vms;
    }

    FleetOutcome play()
    {
        for (Duration at{}; at < length; at += step)
            this->playStep(at);
        FleetOutcome outcome;
        outcome.mostOfBound = this->mostOfBound;
        outcome.served = this->ran / std::max(this->idealRan, 1.0);
        outcome.servedInCalm = this->calmRan / std::max(this->calmIdeal, 1.0);
        return outcome;
    }

private:
    bool within(Duration at, int from, int to) const
    {
        return at >= std::chrono::seconds(from) && at < std::chrono::seconds(to);
    }

    void playStep(Duration at)
    {
        this->now = Instant{} + std::chrono::seconds(1000) + at;
        this->setGroups(at);
        if (this->day.restart && at == std::chrono::seconds(17))
            this->restartAll();
        if (at == std::chrono::seconds(18))
            this->limit.ratePerSecond *= this->day.lowered;
        if (at.count() % told.count() == 0)
            this->tell();
        const double seconds = toSeconds(step);
        this->ideal.refill(this->limit, seconds);
        for (Vm &vm : this->vms)
            this->refill(vm, seconds);
        if (this->day.restart && this->within(at, 16, 17))
            return;
        if (this->day.quietBefore && at < std::chrono::seconds(this->day.hotFrom))
            return;
        const bool hot = this->within(at, this->day.hotFrom, 24);
        const double rate =
            this->day.usual * this->day.limit.ratePerSecond * (hot ? this->day.hot : 1);
        const double mean = std::exp(8.6 + 0.5);
        std::poisson_distribution<int> count(rate * seconds / mean);
        const int calls = count(this->random);
        for (int call = 0; call < calls; ++call)
            this->playCall(!hot);
        this->checkWindow(at);
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

    void restartAll()
    {
        std::uniform_real_distribution<double> part(0, 1);
        for (Vm &vm : this->vms) {
            vm.record = SpendRecord();
            vm.record.carry = part(this->random);
            vm.started = this->now;
            vm.record.since = this->now;
            vm.level = 0;
        }
        this->snapshots.clear();
    }

    void tell()
    {
        std::vector<WorkspaceUse> uses;
        for (Vm &vm : this->vms)
            uses.push_back(this->ownUse(vm));
        this->snapshots.push_back(std::move(uses));
        if (this->snapshots.size() > toldKept)
            this->snapshots.pop_front();
    }

    WorkspaceUse ownUse(Vm &vm)
    {
        WorkspaceUse use = useOf(vm.record, this->day.policy, this->now);
        if (vm.started != Instant{})
            addUse(use,
                   useBeforeStart(this->limit, this->day.policy, this->day.vms,
                                  this->now - vm.started));
        return use;
    }

    FleetUse seenBy(std::size_t self)
    {
        Vm &vm = this->vms[self];
        FleetUse seen;
        seen.use = this->ownUse(vm);
        seen.vmsKnown = this->day.vms;
        seen.newsAge = this->day.newsAge;
        const auto back = static_cast<std::size_t>(vm.age / toSeconds(told));
        if (back >= this->snapshots.size())
            return seen;
        const std::vector<WorkspaceUse> &uses = this->snapshots[this->snapshots.size() - 1 - back];
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            if (other == self || this->vms[other].group != vm.group)
                continue;
            addUse(seen.use, uses[other]);
            ++seen.vmsInTouch;
        }
        return seen;
    }

    double partOf(std::size_t self)
    {
        if (this->division == Division::Even)
            return 1.0 / this->day.vms;
        const FleetUse seen = this->seenBy(self);
        const auto own = static_cast<double>(
            useOf(this->vms[self].record, this->day.policy, this->now).askedPerSecond);
        const double all = std::max(static_cast<double>(seen.use.askedPerSecond), 1.0);
        return own / all * seen.vmsInTouch / this->day.vms;
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

    void playCall(bool calm)
    {
        std::uniform_int_distribution<std::size_t> where(
            0, static_cast<std::size_t>(this->day.callersAt) - 1);
        const std::size_t self = where(this->random);
        const auto units = static_cast<std::int64_t>(this->calls.units(this->random)) + 1;
        Vm &vm = this->vms[self];
        noteAsked(vm.record, this->day.policy, units, this->now);
        const auto cost = static_cast<double>(units);
        if (this->ideal.take(cost)) {
            this->idealRan += cost;
            this->calmIdeal += calm ? cost : 0;
        }
        if (!this->isAdmitted(self, units))
            return;
        noteSpent(vm.record, this->day.policy, units, this->now);
        this->ran += cost;
        this->calmRan += calm ? cost : 0;
        this->recent.push_back({this->now, cost});
        this->inWindow += cost;
    }

    bool isAdmitted(std::size_t self, std::int64_t units)
    {
        Vm &vm = this->vms[self];
        if (this->division == Division::BySum)
            return admitCall(vm.record, this->limit, this->day.policy, this->seenBy(self), units,
                             this->now)
                .admitted;
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
        // A lower limit binds one window after it is known everywhere.
        const bool settling = this->day.lowered < 1 && this->within(at, 18, 29);
        const WorkspaceLimit &binding = settling ? this->day.limit : this->limit;
        this->mostOfBound =
            std::max(this->mostOfBound, this->inWindow / mostInWindow(binding, this->day.policy));
    }

    struct Ran
    {
        Instant at{};
        double units = 0;
    };

    FleetDay day;
    Division division;
    std::mt19937_64 random;
    WorkspaceLimit limit;
    Calls calls;
    std::vector<Vm> vms;
    Bucket ideal;
    Instant now{};
    std::deque<std::vector<WorkspaceUse>> snapshots;
    std::deque<Ran> recent;
    double inWindow = 0;
    double mostOfBound = 0;
    double ran = 0;
    double idealRan = 0;
    double calmRan = 0;
    double calmIdeal = 0;
};

} // namespace

FleetOutcome playDay(const FleetDay &day, Division division)
{
    return Fleet(day, division).play();
}

} // namespace monsoonbay
