#include "loadgen/Simulation.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <queue>
#include <random>

#include "residency/PlacementPolicy.h"
#include "residency/SlotTable.h"

namespace monsoonbay::loadgen {

namespace {

constexpr double never = 1e300;
constexpr double tickSeconds = 0.05;

Instant instantOf(double seconds)
{
    return Instant{} + fromSeconds(seconds);
}

struct Running
{
    int adapter = 0;
    int tokensLeft = 0;
    SlotPin pin;
};

/** A fake engine: a slot table as its owner keeps it, and continuous batching in steps. */
struct Engine
{
    TargetId id;
    int zone = 0;
    SlotTable table;
    std::vector<Running> running;
    std::deque<Running> queued;
    double nextStep = never;
    std::uint64_t epoch = 1;
};

struct Waiting
{
    std::size_t request = 0; ///< index into the run's requests
    int adapter = 0;
    int tokens = 0;
    double deadline = 0;
    int boundTo = -1; ///< engine that the naive policy chose
};

/** A load in the fake store. */
struct Transfer
{
    LoadOrder order;
    double remaining = 1; ///< of one load at full rate
    bool fails = false;
    std::uint64_t epoch = 0;
};

struct VirtualWorld
{
    explicit VirtualWorld(const VirtualOptions &options)
        : options(options)
    { }

    const VirtualOptions &options;
    std::mt19937_64 random;
    std::vector<AdapterRef> adapters;
    std::map<AdapterId, int> indexOf;
    std::vector<int> adapterAtRank;
    std::vector<int> rankOf;
    std::discrete_distribution<int> rankDraw;
    std::vector<Engine> engines;
    std::map<int, std::vector<Waiting>> waiting; ///< by adapter
    std::vector<Transfer> transfers;
    double transfersAt = 0;
    double storeUpAgain = 0;
    double storeBusy = 0;
    PlacementState placement;
    const PlacementPolicy *policy = nullptr;
    bool naive = false;
    bool oracle = false;
    bool ranking = false; ///< the true popularity is known, not the arrivals
    std::vector<VirtualRequest> requests;
    std::uint64_t steps = 0;
    std::uint64_t sequenceSteps = 0;
    VirtualReport report;
    int flashAdapter = -1;
    double flashRate = 0;
    /** All arrivals, drawn beforehand so that every policy sees the same ones. */
    struct Arrival
    {
        double at;
        int adapter;
        int rank;
        int tokens;
    };
    std::vector<Arrival> arrivals;
    std::vector<std::deque<std::size_t>> futureOf; ///< arrivals of each adapter that are to come
    double now = 0;
};

void drawArrivals(VirtualWorld &world)
{
    const VirtualOptions &options = world.options;
    std::exponential_distribution<double> gap(options.requestsPerSecond);
    std::uniform_int_distribution<int> tokens(options.leastTokens, options.mostTokens);
    std::vector<int> order = world.adapterAtRank;
    int flash = -1;
    double flashRate = 0;
    std::size_t nextEvent = 0;
    double nextFlash = never;
    double at = gap(world.random);
    while (at < options.seconds) {
        const double nextAt = std::min(at, nextFlash);
        while (nextEvent < options.events.size() && options.events[nextEvent].at <= nextAt) {
            const VirtualEvent &event = options.events[nextEvent++];
            if (event.kind == VirtualEventKind::Shift)
                std::reverse(order.begin(), order.end());
            if (event.kind == VirtualEventKind::Flash) {
                flash = order[order.size() / 2];
                flashRate = event.value;
                nextFlash = event.at;
            }
            if (event.kind == VirtualEventKind::FlashEnds)
                nextFlash = never;
        }
        if (nextFlash < at) {
            world.arrivals.push_back({nextFlash, flash, 0, tokens(world.random)});
            nextFlash += std::exponential_distribution<double>(flashRate)(world.random);
            continue;
        }
        const int rank = world.rankDraw(world.random);
        world.arrivals.push_back(
            {at, order[static_cast<std::size_t>(rank)], rank, tokens(world.random)});
        at += gap(world.random);
    }
    world.futureOf.resize(static_cast<std::size_t>(options.adapters));
    for (std::size_t index = 0; index < world.arrivals.size(); ++index)
        world.futureOf[static_cast<std::size_t>(world.arrivals[index].adapter)].push_back(index);
}

VirtualWorld makeWorld(const VirtualOptions &options)
{
    VirtualWorld world(options);
    world.random.seed(options.seed);
    std::vector<double> weights;
    for (int index = 0; index < options.adapters; ++index) {
        AdapterRef ref{"plan-" + std::to_string(index), "1"};
        world.indexOf[ref.id()] = index;
        world.adapters.push_back(std::move(ref));
        weights.push_back(1 / std::pow(index + 1, options.zipfExponent));
    }
    world.adapterAtRank.resize(static_cast<std::size_t>(options.adapters));
    std::iota(world.adapterAtRank.begin(), world.adapterAtRank.end(), 0);
    std::shuffle(world.adapterAtRank.begin(), world.adapterAtRank.end(), world.random);
    world.rankDraw = std::discrete_distribution<int>(weights.begin(), weights.end());
    world.oracle = options.policy == "oracle";
    world.ranking = options.policy == "ranking";
    const bool bound = world.oracle || world.ranking;
    world.policy = findPlacementPolicy(bound ? "forecast" : options.policy);
    assert(world.policy != nullptr);
    world.naive = options.policy == "naive";
    for (int index = 0; index < options.engines; ++index) {
        Engine engine;
        engine.id = TargetId::of("engine-" + std::to_string(index));
        engine.zone = index % options.zones;
        engine.table.slots = options.slots;
        SlotReport empty;
        empty.epoch = engine.epoch;
        applyReport(engine.table, empty, Instant{});
        world.engines.push_back(std::move(engine));
    }
    PlacementConfig config;
    config.stallWeight = options.stallWeight;
    config.batchWeight = options.batchWeight;
    config.loadsPerSecond = options.loadsPerSecond;
    config.wantLifetime = fromSeconds(1e6);
    config.loadTimeout = fromSeconds(1e6);
    // The true rates do not age.
    if (world.ranking)
        config.demand.slowSeconds = 1e30;
    world.placement = makePlacement(config, *world.policy, Instant{});
    drawArrivals(world);
    return world;
}

TargetView viewOf(const Engine &engine, const VirtualOptions &options)
{
    TargetView view;
    view.target = engine.id;
    view.zone = static_cast<std::uint32_t>(engine.zone);
    view.slots = options.slots;
    view.maxBatch = options.maxBatch;
    view.running = static_cast<int>(engine.running.size() + engine.queued.size());
    for (const OwnedSlot &slot : engine.table.resident)
        view.resident.push_back(ResidentSlot{slot.id, slot.pins, slot.since});
    if (engine.table.loading)
        view.loading.push_back(engine.table.loading->id());
    return view;
}

void startStepping(Engine &engine, const VirtualOptions &options, double now)
{
    if (engine.nextStep != never)
        return;
    while (!engine.queued.empty() && static_cast<int>(engine.running.size()) < options.maxBatch) {
        engine.running.push_back(engine.queued.front());
        engine.queued.pop_front();
    }
    if (engine.running.empty())
        return;
    engine.nextStep = now + options.stepSeconds
        + options.stepSecondsPerSequence * static_cast<double>(engine.running.size());
}

void finishStep(VirtualWorld &world, Engine &engine)
{
    if (world.now >= world.options.measuredFrom) {
        ++world.steps;
        world.sequenceSteps += engine.running.size();
    }
    std::vector<Running> still;
    for (Running &sequence : engine.running) {
        if (--sequence.tokensLeft > 0) {
            still.push_back(sequence);
            continue;
        }
        unpin(engine.table, sequence.pin, true);
    }
    engine.running = std::move(still);
    engine.nextStep = never;
    startStepping(engine, world.options, world.now);
}

void dispatch(VirtualWorld &world, Engine &engine, const Waiting &request)
{
    const AdapterId id = world.adapters[static_cast<std::size_t>(request.adapter)].id();
    const std::optional<SlotPin> held = pin(engine.table, id);
    if (!held) {
        ++world.report.wrongAdapter;
        return;
    }
    VirtualRequest &record = world.requests[request.request];
    record.stalled = world.now - record.arrived;
    engine.queued.push_back(Running{request.adapter, request.tokens, *held});
    startStepping(engine, world.options, world.now);
}

std::vector<RouteCandidate> candidatesFor(const VirtualWorld &world, AdapterId id, int homeZone)
{
    std::vector<RouteCandidate> candidates;
    for (const Engine &engine : world.engines) {
        RouteCandidate candidate;
        candidate.target = engine.id;
        candidate.resident = findSlot(engine.table, id) != nullptr;
        candidate.running = static_cast<int>(engine.running.size() + engine.queued.size());
        candidate.maxBatch = world.options.maxBatch;
        candidate.sameZone = engine.zone == homeZone;
        candidates.push_back(candidate);
    }
    return candidates;
}

/** The engine to send a request to now, or -1 if it has to wait. */
int routeNow(const VirtualWorld &world, const Waiting &request, int homeZone)
{
    const AdapterId id = world.adapters[static_cast<std::size_t>(request.adapter)].id();
    const std::vector<RouteCandidate> candidates = candidatesFor(world, id, homeZone);
    if (request.boundTo >= 0)
        return candidates[static_cast<std::size_t>(request.boundTo)].resident ? request.boundTo
                                                                              : -1;
    const std::size_t best =
        world.policy->route(candidates, world.options.stallWeight, world.options.batchWeight);
    const bool found = best < candidates.size() && candidates[best].resident;
    return found ? static_cast<int>(best) : -1;
}

void tellWants(VirtualWorld &world, int adapter)
{
    const AdapterId id = world.adapters[static_cast<std::size_t>(adapter)].id();
    std::map<int, Want> byOrigin;
    const auto found = world.waiting.find(adapter);
    if (found != world.waiting.end()) {
        for (const Waiting &request : found->second) {
            Want &want = byOrigin[request.boundTo];
            if (want.waiting == 0)
                want = Want{id, VmId{1}, 0, Instant::max(), Instant::max(), 0, {}};
            if (request.boundTo >= 0)
                want.origin =
                    VmId{world.engines[static_cast<std::size_t>(request.boundTo)].id.value};
            ++want.waiting;
            want.weight += 1;
            want.oldest = std::min(want.oldest, instantOf(world.requests[request.request].arrived));
            want.deadline = std::min(want.deadline, instantOf(request.deadline));
        }
    }
    const auto known = world.placement.wants.find(id);
    if (known != world.placement.wants.end())
        known->second.wants.clear();
    for (const auto &[origin, want] : byOrigin)
        updateWant(world.placement, want, instantOf(world.now));
    if (byOrigin.empty())
        world.placement.wants.erase(id);
}

void wakeWaiters(VirtualWorld &world, int adapter)
{
    const auto found = world.waiting.find(adapter);
    if (found == world.waiting.end())
        return;
    std::vector<Waiting> left;
    for (const Waiting &request : found->second) {
        const int engine = routeNow(world, request, adapter % world.options.zones);
        if (engine < 0)
            left.push_back(request);
        else
            dispatch(world, world.engines[static_cast<std::size_t>(engine)], request);
    }
    if (left.empty())
        world.waiting.erase(found);
    else
        found->second = std::move(left);
    tellWants(world, adapter);
}

// ---- the oracle: Belady's eviction and prefetch with the store's rate, knowing all arrivals ----

double nextUse(const VirtualWorld &world, int adapter)
{
    if (world.waiting.contains(adapter))
        return world.now;
    for (const std::size_t index : world.futureOf[static_cast<std::size_t>(adapter)]) {
        if (world.arrivals[index].at > world.now)
            return world.arrivals[index].at;
    }
    return never;
}

std::optional<SlotChoice> farthestSlot(const VirtualWorld &world, double needed)
{
    std::optional<SlotChoice> best;
    double farthest = needed;
    for (std::size_t index = 0; index < world.placement.targets.size(); ++index) {
        const TargetView &target = world.placement.targets[index];
        if (target.freeSlots() > 0)
            return SlotChoice{index, AdapterId{}};
        for (const ResidentSlot &slot : target.resident) {
            const double use = nextUse(world, world.indexOf.at(slot.adapter));
            if (slot.pins > 0 || use <= farthest)
                continue;
            farthest = use;
            best = SlotChoice{index, slot.adapter};
        }
    }
    return best;
}

std::optional<LoadChoice> oracleLoad(const VirtualWorld &world)
{
    int soonest = -1;
    double earliest = never;
    std::size_t most = 0;
    for (const auto &[adapter, requests] : world.waiting) {
        const AdapterId id = world.adapters[static_cast<std::size_t>(adapter)].id();
        if (world.placement.copies.contains(id) || requests.size() <= most)
            continue;
        most = requests.size();
        soonest = adapter;
        earliest = world.now;
    }
    if (soonest < 0) {
        for (int adapter = 0; adapter < world.options.adapters; ++adapter) {
            const double use = nextUse(world, adapter);
            const AdapterId id = world.adapters[static_cast<std::size_t>(adapter)].id();
            if (use >= earliest || world.placement.copies.contains(id))
                continue;
            earliest = use;
            soonest = adapter;
        }
    }
    if (soonest < 0)
        return std::nullopt;
    const std::optional<SlotChoice> slot = farthestSlot(world, earliest);
    if (!slot)
        return std::nullopt;
    const AdapterId id = world.adapters[static_cast<std::size_t>(soonest)].id();
    return LoadChoice{id, *slot, earliest > world.now};
}

// ---- loads ----

Engine &engineById(VirtualWorld &world, TargetId id)
{
    return *std::find_if(world.engines.begin(), world.engines.end(),
                         [id](const Engine &engine) { return engine.id == id; });
}

void execute(VirtualWorld &world, const LoadOrder &order)
{
    Engine &engine = engineById(world, order.target);
    const OwnedSlot *victim = findSlot(engine.table, order.evict);
    const bool busy = victim != nullptr && victim->pins > 0;
    const int adapter = world.indexOf.at(order.adapter);
    const ErrorKind begun =
        beginLoad(engine.table, world.adapters[static_cast<std::size_t>(adapter)], order.evict);
    if (begun != ErrorKind::Ok) {
        recordLoadResult(world.placement, order.permit, LoadOutcome::Declined,
                         instantOf(world.now));
        return;
    }
    world.report.evictionsUnderRun += busy ? 1 : 0;
    Transfer transfer;
    transfer.order = order;
    transfer.epoch = engine.epoch;
    transfer.fails =
        std::uniform_real_distribution<double>(0, 1)(world.random) < world.options.loadFailureShare;
    world.transfers.push_back(transfer);
    world.report.mostLoadsAtOnce =
        std::max(world.report.mostLoadsAtOnce, static_cast<int>(world.transfers.size()));
}

void refuse(VirtualWorld &world, const WantVerdict &verdict)
{
    const int adapter = world.indexOf.at(verdict.adapter);
    const auto found = world.waiting.find(adapter);
    if (found == world.waiting.end())
        return;
    for (const Waiting &request : found->second) {
        VirtualRequest &record = world.requests[request.request];
        record.refused = true;
        record.refusedAfter = world.now - record.arrived;
        record.stalled = record.refusedAfter;
    }
    world.waiting.erase(found);
}

/** Puts the true rates into the demand table: a bound for what any estimate could reach. */
void revealRates(VirtualWorld &world)
{
    PlacementState &state = world.placement;
    double total = 0;
    for (int rank = 1; rank <= world.options.adapters; ++rank)
        total += 1 / std::pow(rank, world.options.zipfExponent);
    state.demand = makeDemandTable(state.config.demand, instantOf(world.now));
    constexpr double window = 1;
    for (std::size_t rank = 0; rank < world.adapterAtRank.size(); ++rank) {
        const auto adapter = static_cast<std::size_t>(world.adapterAtRank[rank]);
        recordRequests(state.demand, world.adapters[adapter].id(), 1, instantOf(world.now));
        const double rate = world.options.requestsPerSecond / total
            / std::pow(static_cast<double>(rank + 1), world.options.zipfExponent);
        for (DemandEntry &entry : state.demand.slots) {
            if (entry.lastTick == 0 || entry.adapter != world.adapters[adapter].id())
                continue;
            entry.slow = static_cast<float>(rate * window);
            entry.lastTick = ~std::uint32_t{0}; // never silent
        }
    }
    state.demand.slowWindow = window;
}

void decideNow(VirtualWorld &world)
{
    for (const Engine &engine : world.engines)
        updateTarget(world.placement, viewOf(engine, world.options));
    if (world.oracle) {
        while (world.placement.pending.empty()) {
            const std::optional<LoadChoice> choice = oracleLoad(world);
            if (!choice)
                break;
            const TargetId target = world.placement.targets[choice->slot.target].target;
            const LoadOrder order{world.placement.nextPermit++, target, choice->adapter,
                                  choice->slot.evict};
            world.placement.pending[order.permit] = PendingLoad{order, instantOf(world.now)};
            world.placement.counters.loadsOrdered += 1;
            execute(world, order);
            for (const Engine &engine : world.engines)
                updateTarget(world.placement, viewOf(engine, world.options));
        }
        return;
    }
    const PlacementActions actions = decide(world.placement, instantOf(world.now));
    for (const LoadOrder &order : actions.orders)
        execute(world, order);
    for (const WantVerdict &verdict : actions.verdicts)
        refuse(world, verdict);
}

double transferRate(const VirtualWorld &world)
{
    if (world.transfers.empty() || world.now < world.storeUpAgain)
        return 0;
    return world.options.loadsPerSecond / static_cast<double>(world.transfers.size());
}

double nextTransferEnd(const VirtualWorld &world)
{
    if (world.transfers.empty())
        return never;
    if (world.now < world.storeUpAgain)
        return world.storeUpAgain;
    double least = never;
    for (const Transfer &transfer : world.transfers)
        least = std::min(least, transfer.remaining);
    return world.now + least / transferRate(world);
}

void advanceTransfers(VirtualWorld &world, double until)
{
    const double passed = until - world.now;
    if (!world.transfers.empty())
        world.storeBusy += passed;
    const double done = passed * transferRate(world);
    for (Transfer &transfer : world.transfers)
        transfer.remaining -= done;
}

void endTransfers(VirtualWorld &world)
{
    constexpr double tolerance = 1e-9;
    std::vector<Transfer> ended;
    std::vector<Transfer> left;
    for (const Transfer &transfer : world.transfers)
        (transfer.remaining <= tolerance ? ended : left).push_back(transfer);
    world.transfers = std::move(left);
    for (const Transfer &transfer : ended) {
        Engine &engine = engineById(world, transfer.order.target);
        const bool loaded = !transfer.fails && transfer.epoch == engine.epoch;
        if (transfer.epoch == engine.epoch)
            endLoad(engine.table, loaded, instantOf(world.now));
        recordLoadResult(world.placement, transfer.order.permit,
                         loaded ? LoadOutcome::Loaded : LoadOutcome::Failed, instantOf(world.now));
        ++world.report.loads;
        world.report.failedLoads += loaded ? 0 : 1;
        if (loaded)
            wakeWaiters(world, world.indexOf.at(transfer.order.adapter));
    }
    if (!ended.empty())
        decideNow(world);
}

// ---- events ----

void arrive(VirtualWorld &world, std::size_t index)
{
    const VirtualWorld::Arrival &arrival = world.arrivals[index];
    std::deque<std::size_t> &future = world.futureOf[static_cast<std::size_t>(arrival.adapter)];
    while (!future.empty() && future.front() <= index)
        future.pop_front();
    VirtualRequest record;
    record.arrived = world.now;
    record.rank = arrival.rank;
    world.requests.push_back(record);
    Waiting request;
    request.request = world.requests.size() - 1;
    request.adapter = arrival.adapter;
    request.tokens = arrival.tokens;
    request.deadline = world.now + world.options.deadlineSeconds;
    const AdapterId id = world.adapters[static_cast<std::size_t>(arrival.adapter)].id();
    if (world.naive) {
        const auto candidates = candidatesFor(world, id, 0);
        request.boundTo = static_cast<int>(world.policy->route(candidates, 0, 0));
    }
    const int engine = routeNow(world, request, static_cast<int>(index) % world.options.zones);
    if (!world.ranking)
        recordDemand(world.placement, id, 1, engine >= 0 ? 1 : 0, instantOf(world.now));
    if (engine >= 0) {
        dispatch(world, world.engines[static_cast<std::size_t>(engine)], request);
        return;
    }
    world.waiting[arrival.adapter].push_back(request);
    tellWants(world, arrival.adapter);
    decideNow(world);
}

void restartZone(VirtualWorld &world, int zone)
{
    for (Engine &engine : world.engines) {
        if (engine.zone != zone)
            continue;
        ++engine.epoch;
        engine.running.clear();
        engine.queued.clear();
        engine.nextStep = never;
        engine.table = SlotTable{};
        engine.table.slots = world.options.slots;
        SlotReport empty;
        empty.epoch = engine.epoch;
        applyReport(engine.table, empty, instantOf(world.now));
    }
    decideNow(world);
}

void happen(VirtualWorld &world, const VirtualEvent &event)
{
    if (event.kind == VirtualEventKind::Shift)
        std::reverse(world.adapterAtRank.begin(), world.adapterAtRank.end());
    if (event.kind == VirtualEventKind::Shift && world.ranking)
        revealRates(world);
    if (event.kind == VirtualEventKind::RestartZone)
        restartZone(world, static_cast<int>(event.value));
    if (event.kind == VirtualEventKind::StoreDown)
        world.storeUpAgain = world.now + event.value;
}

void expire(VirtualWorld &world)
{
    std::vector<int> touched;
    for (auto &[adapter, requests] : world.waiting) {
        const std::size_t before = requests.size();
        std::erase_if(requests, [&world](const Waiting &request) {
            if (request.deadline > world.now)
                return false;
            VirtualRequest &record = world.requests[request.request];
            record.late = true;
            record.stalled = world.now - record.arrived;
            return true;
        });
        if (requests.size() != before)
            touched.push_back(adapter);
    }
    for (const int adapter : touched) {
        if (world.waiting[adapter].empty())
            world.waiting.erase(adapter);
        tellWants(world, adapter);
    }
}

double nextStepAt(const VirtualWorld &world)
{
    double next = never;
    for (const Engine &engine : world.engines)
        next = std::min(next, engine.nextStep);
    return next;
}

} // namespace

VirtualReport runVirtually(const VirtualOptions &options)
{
    VirtualWorld world = makeWorld(options);
    std::size_t arrival = 0;
    std::size_t event = 0;
    double nextTick = tickSeconds;
    if (world.ranking)
        revealRates(world);
    decideNow(world);
    while (true) {
        const double atArrival =
            arrival < world.arrivals.size() ? world.arrivals[arrival].at : never;
        const double atEvent = event < options.events.size() ? options.events[event].at : never;
        const double atTransfer = nextTransferEnd(world);
        const double atStep = nextStepAt(world);
        const double next = std::min({atArrival, atEvent, atTransfer, atStep, nextTick});
        if (next >= options.seconds)
            break;
        advanceTransfers(world, next);
        world.now = next;
        if (next == atTransfer)
            endTransfers(world);
        else if (next == atStep) {
            for (Engine &engine : world.engines) {
                if (engine.nextStep == next)
                    finishStep(world, engine);
            }
        } else if (next == atArrival) {
            arrive(world, arrival++);
        } else if (next == atEvent) {
            happen(world, options.events[event++]);
        } else {
            nextTick = next + tickSeconds;
            expire(world);
            decideNow(world);
        }
    }
    for (auto &[adapter, requests] : world.waiting) {
        for (const Waiting &request : requests) {
            VirtualRequest &record = world.requests[request.request];
            record.stalled = world.now - record.arrived;
        }
    }
    VirtualReport report = std::move(world.report);
    for (const VirtualRequest &request : world.requests) {
        if (request.arrived >= options.measuredFrom)
            report.requests.push_back(request);
    }
    const double full = static_cast<double>(world.steps) * options.maxBatch;
    report.batchEfficiency = full > 0 ? static_cast<double>(world.sequenceSteps) / full : 0;
    report.prefetches = world.placement.counters.prefetches;
    report.storeBusyShare = world.storeBusy / options.seconds;
    report.shiftsSeen = world.placement.demand.shiftsSeen;
    return report;
}

VirtualSummary summarize(const VirtualReport &report, double from, double until, int hotRanks)
{
    constexpr double soon = 0.1;
    VirtualSummary summary;
    std::vector<double> stalls;
    std::size_t refusedSoon = 0;
    std::size_t stalled = 0;
    for (const VirtualRequest &request : report.requests) {
        if (request.arrived < from || request.arrived >= until)
            continue;
        if (hotRanks > 0 && request.rank >= hotRanks)
            continue;
        ++summary.requests;
        if (request.refused) {
            ++summary.refused;
            refusedSoon += request.refusedAfter <= soon ? 1 : 0;
            continue;
        }
        summary.late += request.late ? 1 : 0;
        stalls.push_back(request.stalled);
        summary.totalStall += request.stalled;
        stalled += request.stalled > 0 ? 1 : 0;
    }
    if (summary.refused > 0)
        summary.refusedSoonShare =
            static_cast<double>(refusedSoon) / static_cast<double>(summary.refused);
    if (stalls.empty())
        return summary;
    std::sort(stalls.begin(), stalls.end());
    const auto at = [&stalls](double share) {
        return stalls[static_cast<std::size_t>(share * static_cast<double>(stalls.size() - 1))];
    };
    summary.meanStall = summary.totalStall / static_cast<double>(stalls.size());
    summary.p50 = at(0.50);
    summary.p95 = at(0.95);
    summary.p99 = at(0.99);
    summary.stalledShare = static_cast<double>(stalled) / static_cast<double>(stalls.size());
    return summary;
}

} // namespace monsoonbay::loadgen
