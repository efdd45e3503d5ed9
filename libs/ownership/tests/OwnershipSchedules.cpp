// Ownership under random schedules of cuts, pauses and outages. Guards against an adapter that is
// evicted during a request: the engine accepts a command of one entry VM while another may still
// dispatch requests to it.

#include <array>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "ownership/Ownership.h"

namespace {

using namespace monsoonbay;

constexpr std::size_t vmCount = 3;
constexpr Duration step = std::chrono::milliseconds(100);
constexpr Duration detection = std::chrono::milliseconds(1200);
const TargetId target = TargetId::of("engine");

/** What a schedule can do in a step. */
enum class Action {
    Nothing,
    CutPeers,
    HealPeers,
    CutEngine,
    HealEngine,
    LogDown,
    LogUp,
    CutLog,
    HealLog,
    Pause,
    Wake,
    LoseAppend
};

struct Move
{
    Action action = Action::Nothing;
    std::size_t a = 0;
    std::size_t b = 0;
};

struct LogClaim
{
    std::uint64_t offset;
    VmId vm;
};

struct Vm
{
    OwnershipState state;
    std::size_t logRead = 0;
    bool paused = false;
    bool reachesEngine = true;
    bool reachesLog = true;
    std::array<bool, vmCount> receivesFrom{};
    std::array<Instant, vmCount> reportedAt{}; ///< by any path
    std::array<Instant, vmCount> exchangedAt{}; ///< by a direct exchange
};

struct World
{
    bool fenced = true;
    bool logUp = true;
    bool loseNextAppend = false;
    Instant now{};
    FencingToken engineToken;
    std::vector<LogClaim> log;
    std::array<Vm, vmCount> vms;
    std::uint64_t commands = 0;
    std::string breach;
};

VmId idOf(std::size_t index)
{
    return VmId{index + 1};
}

World makeWorld(bool fenced)
{
    World world;
    world.fenced = fenced;
    world.now = Instant{} + std::chrono::seconds(100);
    for (std::size_t index = 0; index < vmCount; ++index) {
        Vm &vm = world.vms[index];
        vm.state = makeOwnership(OwnershipConfig{}, idOf(index), "zone", world.now);
        setTargets(vm.state, {OwnedTarget{target, "zone", fenced}});
        vm.receivesFrom.fill(true);
        vm.reportedAt.fill(world.now);
        vm.exchangedAt.fill(world.now);
    }
    return world;
}

bool connected(const World &world, std::size_t a, std::size_t b)
{
    return world.vms[a].receivesFrom[b] && world.vms[b].receivesFrom[a] && !world.vms[a].paused
        && !world.vms[b].paused;
}

bool connectedByAnyPath(const World &world, std::size_t a, std::size_t b)
{
    if (connected(world, a, b))
        return true;
    for (std::size_t via = 0; via < vmCount; ++via) {
        if (connected(world, a, via) && connected(world, via, b))
            return true;
    }
    return false;
}

void apply(World &world, const Move &move)
{
    Vm &vm = world.vms[move.a];
    switch (move.action) {
    case Action::CutPeers:
        vm.receivesFrom[move.b] = false;
        break;
    case Action::HealPeers:
        vm.receivesFrom[move.b] = true;
        break;
    case Action::CutEngine:
        vm.reachesEngine = false;
        break;
    case Action::HealEngine:
        vm.reachesEngine = true;
        break;
    case Action::LogDown:
        world.logUp = false;
        break;
    case Action::LogUp:
        world.logUp = true;
        break;
    case Action::CutLog:
        vm.reachesLog = false;
        break;
    case Action::HealLog:
        vm.reachesLog = true;
        break;
    case Action::Pause:
        vm.paused = true;
        break;
    case Action::Wake:
        vm.paused = false;
        break;
    case Action::LoseAppend:
        world.loseNextAppend = true;
        break;
    case Action::Nothing:
        break;
    }
}

void receiveReports(World &world, std::size_t index)
{
    Vm &vm = world.vms[index];
    std::vector<OwnerCandidate> alive{{idOf(index), "zone"}};
    Instant oldest = world.now;
    for (std::size_t other = 0; other < vmCount; ++other) {
        if (other == index)
            continue;
        if (connectedByAnyPath(world, index, other))
            vm.reportedAt[other] = world.now;
        if (connected(world, index, other))
            vm.exchangedAt[other] = world.now;
        if (vm.reportedAt[other] + detection > world.now)
            alive.push_back({idOf(other), "zone"});
        oldest = std::min(oldest, vm.exchangedAt[other]);
    }
    setCandidates(vm.state, alive);
    recordZonePeersContact(vm.state, oldest);
}

void readLog(World &world, Vm &vm)
{
    if (!world.logUp || !vm.reachesLog)
        return;
    for (; vm.logRead < world.log.size(); ++vm.logRead) {
        const LogClaim &claim = world.log[vm.logRead];
        if (claim.vm != vm.state.self)
            applyClaim(vm.state, target, claim.vm, FencingToken{claim.offset, 0}, false);
    }
    recordLogRead(vm.state, world.now);
}

void append(World &world, Vm &vm, const std::vector<TargetId> &targets)
{
    std::uint64_t offset = 0;
    if (world.logUp && vm.reachesLog) {
        offset = 10 + world.log.size();
        world.log.push_back(LogClaim{offset, vm.state.self});
        if (world.loseNextAppend)
            offset = 0;
        world.loseNextAppend = false;
    }
    finishAppend(vm.state, targets, offset, world.now);
}

void claimAtEngine(World &world, Vm &vm, const EngineClaim &claim)
{
    if (!vm.reachesEngine)
        return;
    if (world.fenced && claim.token < world.engineToken) {
        recordEngineRefused(vm.state, target, world.engineToken);
        return;
    }
    world.engineToken = std::max(world.engineToken, claim.token);
    recordEngineAccepted(vm.state, target, claim.token, world.now, world.now);
}

void reportToPeers(World &world, std::size_t index)
{
    const TargetClaim *claim = findClaim(world.vms[index].state, target);
    if (claim->phase != ClaimPhase::Owner)
        return;
    for (std::size_t other = 0; other < vmCount; ++other) {
        if (other != index && connected(world, index, other))
            applyClaim(world.vms[other].state, target, idOf(index), claim->token, false);
    }
}

void actAs(World &world, std::size_t index)
{
    Vm &vm = world.vms[index];
    if (vm.paused)
        return;
    receiveReports(world, index);
    readLog(world, vm);
    if (vm.reachesEngine)
        recordReachable(vm.state, target, world.now);
    const OwnershipActions actions = tick(vm.state, world.now);
    if (!actions.append.empty())
        append(world, vm, actions.append);
    for (const EngineClaim &claim : actions.engineClaims)
        claimAtEngine(world, vm, claim);
    reportToPeers(world, index);
}

/** Records a breach if a VM's command would be accepted now while another VM may dispatch. */
void checkForBreach(World &world)
{
    for (std::size_t sender = 0; sender < vmCount; ++sender) {
        const Vm &vm = world.vms[sender];
        if (vm.paused || !vm.reachesEngine || !mayCommand(vm.state, target, world.now))
            continue;
        const bool accepted =
            !world.fenced || findClaim(vm.state, target)->token >= world.engineToken;
        if (!accepted)
            continue;
        ++world.commands;
        for (std::size_t other = 0; other < vmCount; ++other) {
            const Vm &rival = world.vms[other];
            if (other != sender && !rival.paused && mayDispatch(rival.state, target, world.now))
                world.breach = "vm " + std::to_string(sender) + " sends commands while vm "
                    + std::to_string(other) + " dispatches";
        }
    }
}

World runSchedule(bool fenced, const std::vector<Move> &moves)
{
    World world = makeWorld(fenced);
    for (const Move &move : moves) {
        apply(world, move);
        for (int tickCount = 0; tickCount < 5 && world.breach.empty(); ++tickCount) {
            world.now += step;
            for (std::size_t index = 0; index < vmCount; ++index)
                actAs(world, index);
            checkForBreach(world);
        }
    }
    return world;
}

std::vector<Move> drawMoves()
{
    const auto moves = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
    std::vector<Move> schedule;
    for (const auto &[action, a, b] : moves)
        schedule.push_back({static_cast<Action>(action), static_cast<std::size_t>(a),
                            static_cast<std::size_t>(b)});
    return schedule;
}

/** Adds steps without faults, so that schedules also reach the take-over. */
void appendQuietSteps(std::vector<Move> &moves, int steps)
{
    moves.insert(moves.end(), static_cast<std::size_t>(steps), Move{});
}

} // namespace

Test(ownership, no_command_while_another_dispatches_fenced)
{
    cr_assert(rc::check("fenced engine", [] {
        std::vector<Move> moves = drawMoves();
        appendQuietSteps(moves, 10);
        const World world = runSchedule(true, moves);
        RC_CLASSIFY(world.commands > 0, "some VM sent commands");
        RC_ASSERT(world.breach == "");
    }));
}

Test(ownership, no_command_while_another_dispatches_unfenced)
{
    cr_assert(rc::check("unfenced engine", [] {
        std::vector<Move> moves = drawMoves();
        appendQuietSteps(moves, 10);
        const World world = runSchedule(false, moves);
        RC_ASSERT(world.breach == "");
    }));
}

// Guards against an engine that gets no requests for long after its owner failed: the owner is
// paused for good, the others detect it, and one of them dispatches within the lease and a second.
Test(ownership, a_dead_owners_target_works_again_within_lease_and_a_second)
{
    World world = runSchedule(true, std::vector<Move>(12));
    std::size_t owner = vmCount;
    for (std::size_t index = 0; index < vmCount; ++index) {
        if (mayCommand(world.vms[index].state, target, world.now))
            owner = index;
    }
    cr_assert(owner < vmCount);
    world.vms[owner].paused = true;
    const Instant died = world.now;
    const auto anyDispatches = [&] {
        for (std::size_t index = 0; index < vmCount; ++index) {
            if (index != owner && mayDispatch(world.vms[index].state, target, world.now))
                return true;
        }
        return false;
    };
    while (!anyDispatches() && world.now < died + std::chrono::seconds(20)) {
        world.now += step;
        for (std::size_t index = 0; index < vmCount; ++index)
            actAs(world, index);
    }
    cr_assert(world.now - died <= OwnershipConfig{}.lease + std::chrono::seconds(1));
}

// Guards against an owner whose commands are refused for ever: claims during an outage raise the
// token; the log then comes back with its offsets reset, and the lower offset alone was used as the
// token.
Test(ownership, a_claim_is_never_below_a_token_that_was_seen)
{
    OwnershipState state = makeOwnership({}, VmId{1}, "zone", Instant{});
    setTargets(state, {OwnedTarget{target, "zone", true}});
    setCandidates(state, {{VmId{1}, "zone"}});
    applyClaim(state, target, VmId{2}, FencingToken{500, 3}, false);
    const Instant now = Instant{} + std::chrono::seconds(10);
    recordReachable(state, target, now);
    const OwnershipActions actions = tick(state, now);
    cr_assert_eq(actions.append.size(), 1);
    finishAppend(state, actions.append, 7, now);
    cr_assert(findClaim(state, target)->token > (FencingToken{500, 3}));
}

// Guards against a suspended VM that evicts an adapter which its successor is using: the owner is
// paused past its lease and wakes up without any report, with a lease on a clock that stops during
// the pause.
Test(ownership, a_paused_owner_does_nothing_when_it_wakes)
{
    World world = runSchedule(false, std::vector<Move>(12));
    for (Vm &vm : world.vms) {
        if (!mayCommand(vm.state, target, world.now))
            continue;
        const Instant wakes = world.now + std::chrono::seconds(60);
        cr_assert_not(mayDispatch(vm.state, target, wakes));
        cr_assert_not(mayCommand(vm.state, target, wakes));
        return;
    }
    cr_assert_fail("no VM owned the target");
}
