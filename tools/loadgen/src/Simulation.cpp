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

constexpr double infiniteTime = 1e300;
constexpr double tickSeconds = 0.05; // of periodic placement decisions and deadline checks

Instant instantOf(double seconds)
{
    return Instant{} + fromSeconds(seconds);
}

/** A request in an engine, queued or in the batch. */
struct RunningSequence
{
    int adapter = 0;
    int tokensLeft = 0;
    SlotPin pin;
};

/** Model of an engine: the slot table that its owner keeps, and continuous batching in steps. */
struct Engine
{
    TargetId id;
    int zone = 0;
    SlotTable table;
    std::vector<RunningSequence> running;
    std::deque<RunningSequence> queued;
    double nextStep = infiniteTime; ///< end of the current step
    std::uint64_t epoch = 1; ///< grows with each restart
};

/** A request whose adapter is not resident. */
struct WaitingRequest
{
    std::size_t request = 0; ///< index into Simulation::requests
    int adapter = 0;
    int tokens = 0;
    double deadline = 0;
    int boundEngine = -1; ///< engine that the policy "naive" chose, or -1
};

/** An adapter load in the model of the weight store. */
struct StoreTransfer
{
    LoadOrder order;
    double remaining = 1; ///< share of the load that is not transferred yet
    bool fails = false; ///< injected failure
    std::uint64_t epoch = 0; ///< of the engine when the load began
};

/** Complete state of a simulation. Adapters are indices; ranks order them by popularity. */
struct Simulation
{
    explicit Simulation(const SimulationOptions &options)
        : options(options)
    { }

    const SimulationOptions &options;
    std::mt19937_64 random;
    std::vector<AdapterRef> adapters;
    std::map<AdapterId, int> adapterIndex;
    std::vector<int> adapterAtRank;
    std::vector<int> rankOf;
    std::discrete_distribution<int> rankDraw;
    std::vector<Engine> engines;
    std::map<int, std::vector<WaitingRequest>> waiting; ///< by adapter
    std::vector<StoreTransfer> transfers;
    double transfersAt = 0;
    double storeDownUntil = 0;
    double storeBusySeconds = 0;
    PlacementState placement;
    const PlacementPolicy *policy = nullptr;
    bool naive = false; ///< requests wait for the engine chosen at their arrival
    bool oracle = false; ///< the policy knows all arrivals
    bool ranking = false; ///< the policy knows the true popularity but not the arrivals
    std::vector<SimulatedRequest> requests;
    std::uint64_t steps = 0;
    std::uint64_t sequenceSteps = 0;
    SimulationReport report;
    int flashAdapter = -1;
    double flashRate = 0;
    /** An arrival; all are drawn in advance so that every policy gets the same ones. */
    struct Arrival
    {
        double at;
        int adapter;
        int rank;
        int tokens;
    };
    std::vector<Arrival> arrivals;
    /** Indices of the arrivals of each adapter that are still to come. */
    std::vector<std::deque<std::size_t>> futureArrivals;
    double now = 0;
};

/** Draws all arrivals: Poisson arrivals with Zipf popularity, and those of flash crowds. */
void drawArrivals(Simulation &simulation)
{
    const SimulationOptions &options = simulation.options;
    std::exponential_distribution<double> gap(options.requestsPerSecond);
    std::uniform_int_distribution<int> tokens(options.minTokens, options.maxTokens);
    std::vector<int> order = simulation.adapterAtRank;
    int flash = -1;
    double flashRate = 0;
    std::size_t nextEvent = 0;
    double nextFlash = infiniteTime;
    double at = gap(simulation.random);
    while (at < options.seconds) {
        const double nextAt = std::min(at, nextFlash);
        while (nextEvent < options.events.size() && options.events[nextEvent].at <= nextAt) {
            const SimulationEvent &event = options.events[nextEvent++];
            if (event.kind == SimulationEventKind::ReversePopularity)
                std::reverse(order.begin(), order.end());
            if (event.kind == SimulationEventKind::FlashCrowd) {
                flash = order[order.size() / 2];
                flashRate = event.value;
                nextFlash = event.at;
            }
            if (event.kind == SimulationEventKind::FlashCrowdEnds)
                nextFlash = infiniteTime;
        }
        if (nextFlash < at) {
            simulation.arrivals.push_back({nextFlash, flash, 0, tokens(simulation.random)});
            nextFlash += std::exponential_distribution<double>(flashRate)(simulation.random);
            continue;
        }
        const int rank = simulation.rankDraw(simulation.random);
        simulation.arrivals.push_back(
            {at, order[static_cast<std::size_t>(rank)], rank, tokens(simulation.random)});
        at += gap(simulation.random);
    }
    simulation.futureArrivals.resize(static_cast<std::size_t>(options.adapters));
    for (std::size_t index = 0; index < simulation.arrivals.size(); ++index)
        simulation.futureArrivals[static_cast<std::size_t>(simulation.arrivals[index].adapter)]
            .push_back(index);
}

Simulation makeSimulation(const SimulationOptions &options)
{
    Simulation simulation(options);
    simulation.random.seed(options.seed);
    std::vector<double> weights;
    for (int index = 0; index < options.adapters; ++index) {
        AdapterRef ref{"plan-" + std::to_string(index), "1"};
        simulation.adapterIndex[ref.id()] = index;
        simulation.adapters.push_back(std::move(ref));
        weights.push_back(1 / std::pow(index + 1, options.zipfExponent));
    }
    simulation.adapterAtRank.resize(static_cast<std::size_t>(options.adapters));
    std::iota(simulation.adapterAtRank.begin(), simulation.adapterAtRank.end(), 0);
    std::shuffle(simulation.adapterAtRank.begin(), simulation.adapterAtRank.end(),
                 simulation.random);
    simulation.rankDraw = std::discrete_distribution<int>(weights.begin(), weights.end());
    simulation.oracle = options.policy == "oracle";
    simulation.ranking = options.policy == "ranking";
    const bool hasExtraKnowledge = simulation.oracle || simulation.ranking;
    simulation.policy = findPlacementPolicy(hasExtraKnowledge ? "forecast" : options.policy);
    assert(simulation.policy != nullptr);
    simulation.naive = options.policy == "naive";
    for (int index = 0; index < options.engines; ++index) {
        Engine engine;
        engine.id = TargetId::of("engine-" + std::to_string(index));
        engine.zone = index % options.zones;
        engine.table.slots = options.slots;
        SlotReport empty;
        empty.epoch = engine.epoch;
        applyReport(engine.table, empty, Instant{});
        simulation.engines.push_back(std::move(engine));
    }
    PlacementConfig config;
    config.stallWeight = options.stallWeight;
    config.batchWeight = options.batchWeight;
    config.loadsPerSecond = options.loadsPerSecond;
    config.wantLifetime = fromSeconds(1e6);
    config.loadTimeout = fromSeconds(1e6);
    // The true rates must not decay.
    if (simulation.ranking)
        config.demand.slowSeconds = 1e30;
    simulation.placement = makePlacement(config, *simulation.policy, Instant{});
    drawArrivals(simulation);
    return simulation;
}

/** The engine as placement sees it. */
TargetView viewOf(const Engine &engine, const SimulationOptions &options)
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

/** Starts the next step if the engine is idle and has sequences. */
void startStepping(Engine &engine, const SimulationOptions &options, double now)
{
    if (engine.nextStep != infiniteTime)
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

/** Ends a step, which gives each sequence of the batch one token, and starts the next. */
void finishStep(Simulation &simulation, Engine &engine)
{
    if (simulation.now >= simulation.options.measuredFrom) {
        ++simulation.steps;
        simulation.sequenceSteps += engine.running.size();
    }
    std::vector<RunningSequence> unfinished;
    for (RunningSequence &sequence : engine.running) {
        if (--sequence.tokensLeft > 0) {
            unfinished.push_back(sequence);
            continue;
        }
        unpin(engine.table, sequence.pin, true);
    }
    engine.running = std::move(unfinished);
    engine.nextStep = infiniteTime;
    startStepping(engine, simulation.options, simulation.now);
}

/** Sends a request to an engine, which must hold its adapter. */
void dispatch(Simulation &simulation, Engine &engine, const WaitingRequest &request)
{
    const AdapterId id = simulation.adapters[static_cast<std::size_t>(request.adapter)].id();
    const std::optional<SlotPin> slotPin = pin(engine.table, id);
    if (!slotPin) {
        ++simulation.report.dispatchesWithoutAdapter;
        return;
    }
    SimulatedRequest &record = simulation.requests[request.request];
    record.stallSeconds = simulation.now - record.arrived;
    engine.queued.push_back(RunningSequence{request.adapter, request.tokens, *slotPin});
    startStepping(engine, simulation.options, simulation.now);
}

/** All engines as candidates of the router, for a request that arrived in `homeZone`. */
std::vector<RouteCandidate> candidatesFor(const Simulation &simulation, AdapterId id, int homeZone)
{
    std::vector<RouteCandidate> candidates;
    for (const Engine &engine : simulation.engines) {
        RouteCandidate candidate;
        candidate.target = engine.id;
        candidate.resident = findSlot(engine.table, id) != nullptr;
        candidate.running = static_cast<int>(engine.running.size() + engine.queued.size());
        candidate.maxBatch = simulation.options.maxBatch;
        candidate.sameZone = engine.zone == homeZone;
        candidates.push_back(candidate);
    }
    return candidates;
}

/** Index of the engine that can run the request now, or -1 if it has to wait. */
int findEngine(const Simulation &simulation, const WaitingRequest &request, int homeZone)
{
    const AdapterId id = simulation.adapters[static_cast<std::size_t>(request.adapter)].id();
    const std::vector<RouteCandidate> candidates = candidatesFor(simulation, id, homeZone);
    if (request.boundEngine >= 0)
        return candidates[static_cast<std::size_t>(request.boundEngine)].resident
            ? request.boundEngine
            : -1;
    const std::size_t best = simulation.policy->route(candidates, simulation.options.stallWeight,
                                                      simulation.options.batchWeight);
    const bool found = best < candidates.size() && candidates[best].resident;
    return found ? static_cast<int>(best) : -1;
}

/** Replaces what placement knows of the requests that wait for this adapter. */
void updateWants(Simulation &simulation, int adapter)
{
    const AdapterId id = simulation.adapters[static_cast<std::size_t>(adapter)].id();
    std::map<int, Want> byOrigin;
    const auto found = simulation.waiting.find(adapter);
    if (found != simulation.waiting.end()) {
        for (const WaitingRequest &request : found->second) {
            Want &want = byOrigin[request.boundEngine];
            if (want.waiting == 0)
                want = Want{id, VmId{1}, 0, Instant::max(), Instant::max(), 0, {}};
            if (request.boundEngine >= 0)
                want.origin = VmId{
                    simulation.engines[static_cast<std::size_t>(request.boundEngine)].id.value};
            ++want.waiting;
            want.weight += 1;
            want.oldest =
                std::min(want.oldest, instantOf(simulation.requests[request.request].arrived));
            want.deadline = std::min(want.deadline, instantOf(request.deadline));
        }
    }
    const auto known = simulation.placement.wants.find(id);
    if (known != simulation.placement.wants.end())
        known->second.wants.clear();
    for (const auto &[origin, want] : byOrigin)
        updateWant(simulation.placement, want, instantOf(simulation.now));
    if (byOrigin.empty())
        simulation.placement.wants.erase(id);
}

/** Dispatches the requests that wait for this adapter and for which an engine is found. */
void dispatchWaiting(Simulation &simulation, int adapter)
{
    const auto found = simulation.waiting.find(adapter);
    if (found == simulation.waiting.end())
        return;
    std::vector<WaitingRequest> stillWaiting;
    for (const WaitingRequest &request : found->second) {
        const int engine = findEngine(simulation, request, adapter % simulation.options.zones);
        if (engine < 0)
            stillWaiting.push_back(request);
        else
            dispatch(simulation, simulation.engines[static_cast<std::size_t>(engine)], request);
    }
    if (stillWaiting.empty())
        simulation.waiting.erase(found);
    else
        found->second = std::move(stillWaiting);
    updateWants(simulation, adapter);
}

// ---- The policy "oracle": knows all arrivals, evicts by Belady's algorithm and prefetches the
// adapter that is needed next, one load at a time at the rate of the store. ----

/** Time of the next request for this adapter. */
double nextUse(const Simulation &simulation, int adapter)
{
    if (simulation.waiting.contains(adapter))
        return simulation.now;
    for (const std::size_t index : simulation.futureArrivals[static_cast<std::size_t>(adapter)]) {
        if (simulation.arrivals[index].at > simulation.now)
            return simulation.arrivals[index].at;
    }
    return infiniteTime;
}

/** A free slot, or the unpinned adapter whose next use is latest and later than `needed`. */
std::optional<SlotChoice> farthestSlot(const Simulation &simulation, double needed)
{
    std::optional<SlotChoice> best;
    double farthest = needed;
    for (std::size_t index = 0; index < simulation.placement.targets.size(); ++index) {
        const TargetView &target = simulation.placement.targets[index];
        if (target.freeSlots() > 0)
            return SlotChoice{index, AdapterId{}};
        for (const ResidentSlot &slot : target.resident) {
            const double use = nextUse(simulation, simulation.adapterIndex.at(slot.adapter));
            if (slot.pins > 0 || use <= farthest)
                continue;
            farthest = use;
            best = SlotChoice{index, slot.adapter};
        }
    }
    return best;
}

/** The adapter with the most waiting requests, else the one that is needed next. */
std::optional<LoadChoice> oracleLoad(const Simulation &simulation)
{
    int chosenAdapter = -1;
    double nextUseOfChosen = infiniteTime;
    std::size_t maxWaiting = 0;
    for (const auto &[adapter, requests] : simulation.waiting) {
        const AdapterId id = simulation.adapters[static_cast<std::size_t>(adapter)].id();
        if (simulation.placement.copies.contains(id) || requests.size() <= maxWaiting)
            continue;
        maxWaiting = requests.size();
        chosenAdapter = adapter;
        nextUseOfChosen = simulation.now;
    }
    if (chosenAdapter < 0) {
        for (int adapter = 0; adapter < simulation.options.adapters; ++adapter) {
            const double use = nextUse(simulation, adapter);
            const AdapterId id = simulation.adapters[static_cast<std::size_t>(adapter)].id();
            if (use >= nextUseOfChosen || simulation.placement.copies.contains(id))
                continue;
            nextUseOfChosen = use;
            chosenAdapter = adapter;
        }
    }
    if (chosenAdapter < 0)
        return std::nullopt;
    const std::optional<SlotChoice> slot = farthestSlot(simulation, nextUseOfChosen);
    if (!slot)
        return std::nullopt;
    const AdapterId id = simulation.adapters[static_cast<std::size_t>(chosenAdapter)].id();
    return LoadChoice{id, *slot, nextUseOfChosen > simulation.now};
}

// ---- loads ----

Engine &engineById(Simulation &simulation, TargetId id)
{
    return *std::find_if(simulation.engines.begin(), simulation.engines.end(),
                         [id](const Engine &engine) { return engine.id == id; });
}

/** Starts a load, as the owner of the engine does when it gets a LoadOrder. */
void executeLoad(Simulation &simulation, const LoadOrder &order)
{
    Engine &engine = engineById(simulation, order.target);
    const OwnedSlot *victim = findSlot(engine.table, order.evict);
    const bool busy = victim != nullptr && victim->pins > 0;
    const int adapter = simulation.adapterIndex.at(order.adapter);
    const ErrorKind loadError = beginLoad(
        engine.table, simulation.adapters[static_cast<std::size_t>(adapter)], order.evict);
    if (loadError != ErrorKind::Ok) {
        recordLoadResult(simulation.placement, order.permit, LoadOutcome::Declined,
                         instantOf(simulation.now));
        return;
    }
    simulation.report.evictionsInUse += busy ? 1 : 0;
    StoreTransfer transfer;
    transfer.order = order;
    transfer.epoch = engine.epoch;
    transfer.fails = std::uniform_real_distribution<double>(0, 1)(simulation.random)
        < simulation.options.loadFailureShare;
    simulation.transfers.push_back(transfer);
    simulation.report.maxConcurrentLoads = std::max(simulation.report.maxConcurrentLoads,
                                                    static_cast<int>(simulation.transfers.size()));
}

/** Refuses all requests that wait for the adapter of the verdict. */
void refuseWaiting(Simulation &simulation, const WantVerdict &verdict)
{
    const int adapter = simulation.adapterIndex.at(verdict.adapter);
    const auto found = simulation.waiting.find(adapter);
    if (found == simulation.waiting.end())
        return;
    for (const WaitingRequest &request : found->second) {
        SimulatedRequest &record = simulation.requests[request.request];
        record.refused = true;
        record.secondsUntilRefused = simulation.now - record.arrived;
        record.stallSeconds = record.secondsUntilRefused;
    }
    simulation.waiting.erase(found);
}

/** Puts the true rates into the demand table, which bounds what an estimate could achieve. */
void useTrueRates(Simulation &simulation)
{
    PlacementState &state = simulation.placement;
    double total = 0;
    for (int rank = 1; rank <= simulation.options.adapters; ++rank)
        total += 1 / std::pow(rank, simulation.options.zipfExponent);
    state.demand = makeDemandTable(state.config.demand, instantOf(simulation.now));
    constexpr double window = 1;
    for (std::size_t rank = 0; rank < simulation.adapterAtRank.size(); ++rank) {
        const auto adapter = static_cast<std::size_t>(simulation.adapterAtRank[rank]);
        recordRequests(state.demand, simulation.adapters[adapter].id(), 1,
                       instantOf(simulation.now));
        const double rate = simulation.options.requestsPerSecond / total
            / std::pow(static_cast<double>(rank + 1), simulation.options.zipfExponent);
        for (DemandEntry &entry : state.demand.slots) {
            if (entry.lastTick == 0 || entry.adapter != simulation.adapters[adapter].id())
                continue;
            entry.slow = static_cast<float>(rate * window);
            entry.lastTick = ~std::uint32_t{0}; // no discount for the time since the last request
        }
    }
    state.demand.slowWindow = window;
}

/** Runs a placement decision and executes its loads and refusals. */
void runPlacement(Simulation &simulation)
{
    for (const Engine &engine : simulation.engines)
        updateTarget(simulation.placement, viewOf(engine, simulation.options));
    if (simulation.oracle) {
        while (simulation.placement.pending.empty()) {
            const std::optional<LoadChoice> choice = oracleLoad(simulation);
            if (!choice)
                break;
            const TargetId target = simulation.placement.targets[choice->slot.target].target;
            const LoadOrder order{simulation.placement.nextPermit++, target, choice->adapter,
                                  choice->slot.evict};
            simulation.placement.pending[order.permit] =
                PendingLoad{order, instantOf(simulation.now)};
            simulation.placement.counters.loadsOrdered += 1;
            executeLoad(simulation, order);
            for (const Engine &engine : simulation.engines)
                updateTarget(simulation.placement, viewOf(engine, simulation.options));
        }
        return;
    }
    const PlacementActions actions = decide(simulation.placement, instantOf(simulation.now));
    for (const LoadOrder &order : actions.orders)
        executeLoad(simulation, order);
    for (const WantVerdict &verdict : actions.verdicts)
        refuseWaiting(simulation, verdict);
}

/** Loads a second for each transfer; the transfers share the rate of the store. */
double transferRate(const Simulation &simulation)
{
    if (simulation.transfers.empty() || simulation.now < simulation.storeDownUntil)
        return 0;
    return simulation.options.loadsPerSecond / static_cast<double>(simulation.transfers.size());
}

/** Time of the next end of a transfer, or the end of the store's downtime. */
double nextTransferEnd(const Simulation &simulation)
{
    if (simulation.transfers.empty())
        return infiniteTime;
    if (simulation.now < simulation.storeDownUntil)
        return simulation.storeDownUntil;
    double minRemaining = infiniteTime;
    for (const StoreTransfer &transfer : simulation.transfers)
        minRemaining = std::min(minRemaining, transfer.remaining);
    return simulation.now + minRemaining / transferRate(simulation);
}

void advanceTransfers(Simulation &simulation, double until)
{
    const double elapsed = until - simulation.now;
    if (!simulation.transfers.empty())
        simulation.storeBusySeconds += elapsed;
    const double transferred = elapsed * transferRate(simulation);
    for (StoreTransfer &transfer : simulation.transfers)
        transfer.remaining -= transferred;
}

void endTransfers(Simulation &simulation)
{
    constexpr double tolerance = 1e-9;
    std::vector<StoreTransfer> ended;
    std::vector<StoreTransfer> unfinished;
    for (const StoreTransfer &transfer : simulation.transfers)
        (transfer.remaining <= tolerance ? ended : unfinished).push_back(transfer);
    simulation.transfers = std::move(unfinished);
    for (const StoreTransfer &transfer : ended) {
        Engine &engine = engineById(simulation, transfer.order.target);
        const bool loaded = !transfer.fails && transfer.epoch == engine.epoch;
        if (transfer.epoch == engine.epoch)
            endLoad(engine.table, loaded, instantOf(simulation.now));
        recordLoadResult(simulation.placement, transfer.order.permit,
                         loaded ? LoadOutcome::Loaded : LoadOutcome::Failed,
                         instantOf(simulation.now));
        ++simulation.report.loads;
        simulation.report.failedLoads += loaded ? 0 : 1;
        if (loaded)
            dispatchWaiting(simulation, simulation.adapterIndex.at(transfer.order.adapter));
    }
    if (!ended.empty())
        runPlacement(simulation);
}

// ---- events ----

void handleArrival(Simulation &simulation, std::size_t index)
{
    const Simulation::Arrival &arrival = simulation.arrivals[index];
    std::deque<std::size_t> &future =
        simulation.futureArrivals[static_cast<std::size_t>(arrival.adapter)];
    while (!future.empty() && future.front() <= index)
        future.pop_front();
    SimulatedRequest record;
    record.arrived = simulation.now;
    record.rank = arrival.rank;
    simulation.requests.push_back(record);
    WaitingRequest request;
    request.request = simulation.requests.size() - 1;
    request.adapter = arrival.adapter;
    request.tokens = arrival.tokens;
    request.deadline = simulation.now + simulation.options.deadlineSeconds;
    const AdapterId id = simulation.adapters[static_cast<std::size_t>(arrival.adapter)].id();
    if (simulation.naive) {
        const auto candidates = candidatesFor(simulation, id, 0);
        request.boundEngine = static_cast<int>(simulation.policy->route(candidates, 0, 0));
    }
    const int engine =
        findEngine(simulation, request, static_cast<int>(index) % simulation.options.zones);
    if (!simulation.ranking)
        recordDemand(simulation.placement, id, 1, engine >= 0 ? 1 : 0, instantOf(simulation.now));
    if (engine >= 0) {
        dispatch(simulation, simulation.engines[static_cast<std::size_t>(engine)], request);
        return;
    }
    simulation.waiting[arrival.adapter].push_back(request);
    updateWants(simulation, arrival.adapter);
    runPlacement(simulation);
}

/** Restarts all engines of a zone; their running and queued requests are dropped. */
void restartZone(Simulation &simulation, int zone)
{
    for (Engine &engine : simulation.engines) {
        if (engine.zone != zone)
            continue;
        ++engine.epoch;
        engine.running.clear();
        engine.queued.clear();
        engine.nextStep = infiniteTime;
        engine.table = SlotTable{};
        engine.table.slots = simulation.options.slots;
        SlotReport empty;
        empty.epoch = engine.epoch;
        applyReport(engine.table, empty, instantOf(simulation.now));
    }
    runPlacement(simulation);
}

void applyEvent(Simulation &simulation, const SimulationEvent &event)
{
    if (event.kind == SimulationEventKind::ReversePopularity)
        std::reverse(simulation.adapterAtRank.begin(), simulation.adapterAtRank.end());
    if (event.kind == SimulationEventKind::ReversePopularity && simulation.ranking)
        useTrueRates(simulation);
    if (event.kind == SimulationEventKind::RestartZone)
        restartZone(simulation, static_cast<int>(event.value));
    if (event.kind == SimulationEventKind::StoreDown)
        simulation.storeDownUntil = simulation.now + event.value;
}

void expireWaiting(Simulation &simulation)
{
    std::vector<int> affectedAdapters;
    for (auto &[adapter, requests] : simulation.waiting) {
        const std::size_t before = requests.size();
        std::erase_if(requests, [&simulation](const WaitingRequest &request) {
            if (request.deadline > simulation.now)
                return false;
            SimulatedRequest &record = simulation.requests[request.request];
            record.expired = true;
            record.stallSeconds = simulation.now - record.arrived;
            return true;
        });
        if (requests.size() != before)
            affectedAdapters.push_back(adapter);
    }
    for (const int adapter : affectedAdapters) {
        if (simulation.waiting[adapter].empty())
            simulation.waiting.erase(adapter);
        updateWants(simulation, adapter);
    }
}

double nextStepAt(const Simulation &simulation)
{
    double next = infiniteTime;
    for (const Engine &engine : simulation.engines)
        next = std::min(next, engine.nextStep);
    return next;
}

} // namespace

SimulationReport runSimulation(const SimulationOptions &options)
{
    Simulation simulation = makeSimulation(options);
    std::size_t arrival = 0;
    std::size_t event = 0;
    double nextTick = tickSeconds;
    if (simulation.ranking)
        useTrueRates(simulation);
    runPlacement(simulation);
    while (true) {
        const double atArrival =
            arrival < simulation.arrivals.size() ? simulation.arrivals[arrival].at : infiniteTime;
        const double atEvent =
            event < options.events.size() ? options.events[event].at : infiniteTime;
        const double atTransfer = nextTransferEnd(simulation);
        const double atStep = nextStepAt(simulation);
        const double next = std::min({atArrival, atEvent, atTransfer, atStep, nextTick});
        if (next >= options.seconds)
            break;
        advanceTransfers(simulation, next);
        simulation.now = next;
        if (next == atTransfer)
            endTransfers(simulation);
        else if (next == atStep) {
            for (Engine &engine : simulation.engines) {
                if (engine.nextStep == next)
                    finishStep(simulation, engine);
            }
        } else if (next == atArrival) {
            handleArrival(simulation, arrival++);
        } else if (next == atEvent) {
            applyEvent(simulation, options.events[event++]);
        } else {
            nextTick = next + tickSeconds;
            expireWaiting(simulation);
            runPlacement(simulation);
        }
    }
    for (auto &[adapter, requests] : simulation.waiting) {
        for (const WaitingRequest &request : requests) {
            SimulatedRequest &record = simulation.requests[request.request];
            record.stallSeconds = simulation.now - record.arrived;
        }
    }
    SimulationReport report = std::move(simulation.report);
    for (const SimulatedRequest &request : simulation.requests) {
        if (request.arrived >= options.measuredFrom)
            report.requests.push_back(request);
    }
    const double full = static_cast<double>(simulation.steps) * options.maxBatch;
    report.batchEfficiency = full > 0 ? static_cast<double>(simulation.sequenceSteps) / full : 0;
    report.prefetches = simulation.placement.counters.prefetches;
    report.storeBusyShare = simulation.storeBusySeconds / options.seconds;
    report.shiftsSeen = simulation.placement.demand.shiftsSeen;
    return report;
}

SimulationSummary summarize(const SimulationReport &report, double from, double until, int hotRanks)
{
    constexpr double promptSeconds = 0.1;
    SimulationSummary summary;
    std::vector<double> stalls;
    std::size_t refusedPromptly = 0;
    std::size_t stalledCount = 0;
    for (const SimulatedRequest &request : report.requests) {
        if (request.arrived < from || request.arrived >= until)
            continue;
        if (hotRanks > 0 && request.rank >= hotRanks)
            continue;
        ++summary.requests;
        if (request.refused) {
            ++summary.refused;
            refusedPromptly += request.secondsUntilRefused <= promptSeconds ? 1 : 0;
            continue;
        }
        summary.expired += request.expired ? 1 : 0;
        stalls.push_back(request.stallSeconds);
        summary.totalStall += request.stallSeconds;
        stalledCount += request.stallSeconds > 0 ? 1 : 0;
    }
    if (summary.refused > 0)
        summary.promptRefusalShare =
            static_cast<double>(refusedPromptly) / static_cast<double>(summary.refused);
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
    summary.stalledShare = static_cast<double>(stalledCount) / static_cast<double>(stalls.size());
    return summary;
}

} // namespace monsoonbay::loadgen
