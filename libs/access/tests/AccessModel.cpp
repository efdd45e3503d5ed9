#include "AccessModel.h"

#include <optional>

#include "access/Confirmation.h"

namespace monsoonbay {

namespace {

constexpr Duration tick = std::chrono::milliseconds(1000);
constexpr std::int64_t revokedIn = 2; ///< version that revokes the key
constexpr std::int64_t reassignedIn = 3; ///< version that assigns it to another workspace

struct Report
{
    std::int64_t version = 0;
    Duration age{};
    bool confirmed = false;
};

struct Vm
{
    std::int64_t version = 0; ///< in force; 0: none
    Confirmations confirmations;
};

struct World
{
    Instant now = Instant{} + std::chrono::seconds(100);
    std::int64_t stored = 1;
    Instant revokedAt{};
    Vm reader;
    Vm learner;
    Duration suspended{}; ///< time that the learner's clock has not counted
    bool learnerSuspended = false;
    std::optional<Instant> readSince;
    std::int64_t readFound = 0; ///< version at the start of the read
    std::optional<Instant> askedSince;
    Report answered; ///< state at the start of the exchange
};

enum class Step : std::uint8_t {
    Tick,
    Change,
    BeginRead,
    EndReadAsOfBegin,
    EndReadAsOfNow,
    LoseRead,
    Ask,
    AnswerAsOfAsk,
    AnswerAsOfNow,
    LoseAnswer,
    SuspendOrWake,
    Restart,
    Count,
};

class Explorer
{
public:
    explicit Explorer(AccessFault fault)
        : fault(fault)
    { }

    Exploration run(int depth)
    {
        World world;
        world.reader.version = 1;
        recordConfirmation(world.reader.confirmations, {1, world.now});
        world.learner = world.reader;
        this->explore(world, depth);
        return this->found;
    }

private:
    void explore(const World &world, int depth)
    {
        ++this->found.states;
        this->check(world);
        if (depth == 0 || this->found.broken)
            return;
        for (int step = 0; step < static_cast<int>(Step::Count); ++step) {
            World next = world;
            if (this->take(next, static_cast<Step>(step)))
                this->explore(next, depth - 1);
        }
    }

    Instant learnerClock(const World &world) const
    {
        const bool stops = this->fault == AccessFault::ClockStops;
        return stops ? world.now - world.suspended : world.now;
    }

    Report reportOf(const World &world) const
    {
        Report report;
        report.version = world.reader.version;
        const auto confirmed = confirmedAt(world.reader.confirmations, report.version);
        report.confirmed = confirmed.has_value();
        if (confirmed)
            report.age = world.now - *confirmed;
        return report;
    }

    void endRead(World &world, std::int64_t found) const
    {
        const Instant from =
            this->fault == AccessFault::CountsFromAnswer ? world.now : *world.readSince;
        world.reader.version = std::max(world.reader.version, found);
        recordConfirmation(world.reader.confirmations, {found, from});
        world.readSince.reset();
    }

    void takeAnswer(World &world, const Report &report) const
    {
        const Instant asked = *world.askedSince;
        world.askedSince.reset();
        if (!report.confirmed)
            return;
        const bool forgets = this->fault == AccessFault::ForgetsOwnWait;
        Confirmation heard = confirmationFromAnswer(report.version, report.age,
                                                    forgets ? this->learnerClock(world) : asked);
        // Only the version is part of an exchange; the document may arrive at any later time.
        if (this->fault == AccessFault::IgnoresVersion)
            heard.version = world.learner.version;
        else
            world.learner.version = std::max(world.learner.version, report.version);
        recordConfirmation(world.learner.confirmations, heard);
    }

    bool take(World &world, Step step) const
    {
        switch (step) {
        case Step::Tick:
            world.now += tick;
            if (world.learnerSuspended)
                world.suspended += tick;
            return true;
        case Step::Change:
            if (world.stored >= reassignedIn)
                return false;
            ++world.stored;
            if (world.stored == revokedIn)
                world.revokedAt = world.now;
            return true;
        case Step::BeginRead:
            if (world.readSince)
                return false;
            world.readSince = world.now;
            world.readFound = world.stored;
            return true;
        case Step::EndReadAsOfBegin:
        case Step::EndReadAsOfNow:
            if (!world.readSince)
                return false;
            this->endRead(world, step == Step::EndReadAsOfNow ? world.stored : world.readFound);
            return true;
        case Step::LoseRead:
            if (!world.readSince)
                return false;
            world.readSince.reset();
            return true;
        case Step::Ask:
            if (world.askedSince || world.learnerSuspended)
                return false;
            world.askedSince = this->learnerClock(world);
            world.answered = this->reportOf(world);
            return true;
        case Step::AnswerAsOfAsk:
        case Step::AnswerAsOfNow:
            if (!world.askedSince || world.learnerSuspended)
                return false;
            this->takeAnswer(world,
                             step == Step::AnswerAsOfNow ? this->reportOf(world) : world.answered);
            return true;
        case Step::LoseAnswer:
            if (!world.askedSince)
                return false;
            world.askedSince.reset();
            return true;
        case Step::SuspendOrWake:
            world.learnerSuspended = !world.learnerSuspended;
            return true;
        case Step::Restart:
            world.learner = Vm();
            world.askedSince.reset();
            return true;
        case Step::Count:
            break;
        }
        return false;
    }

    void check(const World &world)
    {
        if (world.stored < revokedIn || world.now - world.revokedAt <= policy().revokedWithin)
            return;
        const bool learns =
            !world.learnerSuspended && this->accepts(world.learner, this->learnerClock(world));
        if (learns || this->accepts(world.reader, world.now))
            this->found.broken = true;
    }

    static AccessPolicy policy()
    {
        return {true, 2 * tick};
    }

    /** True if the VM accepts the key revoked in `revokedIn` for its former workspace. */
    bool accepts(const Vm &vm, Instant clock) const
    {
        const bool holds = vm.version > 0 && vm.version < revokedIn;
        return holds && mayAcceptKeys(policy(), confirmedAt(vm.confirmations, vm.version), clock);
    }

    AccessFault fault;
    Exploration found;
};

} // namespace

Exploration exploreAccess(int depth, AccessFault fault)
{
    return Explorer(fault).run(depth);
}

} // namespace monsoonbay
