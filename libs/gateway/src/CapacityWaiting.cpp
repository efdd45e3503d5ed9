#include "CapacityWaiting.h"

#include <algorithm>

#include "AnswerHints.h"
#include "EngineCommands.h"
#include "LeaseKeeping.h"
#include "SharedEngines.h"
#include "core/Jitter.h"

namespace monsoonbay {

namespace {

/** Marks that are over and calls that have ended show without news; they are looked for so often.
 */
constexpr Duration roomLook = std::chrono::milliseconds(40);
/** Between two looks, and more for each call that waits: each costs a look at all engines. */
constexpr Duration leastLook = std::chrono::milliseconds(10);
constexpr Duration lookPerCall = std::chrono::microseconds(200);
/** A call that was woken and found no place lets others try first. */
constexpr Duration afterNoPlace = std::chrono::milliseconds(40);
/** With nobody waiting. */
constexpr Duration idleLook = std::chrono::seconds(1);

/** Callers of refused calls come back after about a load's time. */
constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** A call's place in the queue, for as long as it waits. */
class WaitingPlace
{
public:
    WaitingPlace(ActiveCall &run, const WaitingCall &call, asio::steady_timer &limit)
        : places(run.node.capacityWaiters.services[run.service])
        , id(call.id)
        , there(enqueueCall(this->places.queue, call, BootClock::now()))
    {
        if (this->there)
            this->places.waiters[this->id] = {&run, &limit};
    }

    WaitingPlace(const WaitingPlace &) = delete;
    WaitingPlace &operator=(const WaitingPlace &) = delete;

    ~WaitingPlace()
    {
        dequeueCall(this->places.queue, this->id, BootClock::now());
        this->places.waiters.erase(this->id);
    }

    /** False: too many wait already. */
    bool joined() const noexcept
    {
        return this->there;
    }

private:
    ServiceWaiters &places;
    std::uint64_t id;
    bool there;
};

/** True if the engine can run one more call, if it is not too large. */
bool takesOneMore(GatewayNode &node, const TargetEntry &entry, const EngineSpec &spec,
                  const TargetUsage &use, Instant now)
{
    const double mostTokens = node.settings.weights.memoryShare * spec.kvTokens;
    return takesCalls(node, entry.id, now) && use.runs < spec.slots
        && (use.runs == 0 || use.heldTokens < mostTokens) && !isFailing(use)
        && !isEjected(runtimeOf(node, entry.id).health, now);
}

/** Loads that calls of this VM have asked for there. */
int loadsAskedAt(const GatewayNode &node, const std::string &target)
{
    return static_cast<int>(
        std::count_if(node.loadsInFlight.begin(), node.loadsInFlight.end(),
                      [&target](const auto &ask) { return ask.first.first == target; }));
}

/** Calls whose adapter an engine with room holds or is loading need no further load. */
void noteThere(GatewayNode &node, CapacityQueue &queue, const ServiceWaiters &places,
               const TargetRuntime &runtime, Instant now)
{
    for (WaitingCall &call : queue.calls) {
        if (call.adapterReady)
            continue;
        const std::string &adapter = places.waiters.at(call.id).run->facts.adapter;
        const auto held = runtime.resident.find(adapter);
        call.adapterReady = adapter.empty()
            || (held != runtime.resident.end() && held->second >= versionInForce(node, adapter))
            || timeUntilLoaded(runtime.incoming, adapter, now);
    }
}

/** Looks at all engines of a service; marks the calls in the queue that need no load. */
ServiceCapacity lookForRoom(GatewayNode &node, const std::string &service, const EngineSpec &spec,
                            ServiceWaiters &places, Instant now)
{
    ServiceCapacity room;
    const ModelSpec *model = baseModel(spec);
    const int capacity = model != nullptr ? adapterCapacity(spec, *model) : 0;
    for (WaitingCall &call : places.queue.calls)
        call.adapterReady = false;
    for (const TargetRecord *record : targetsOf(node, service)) {
        const std::string &target = record->entry.id;
        const TargetUsage use = totalLoad(node, target);
        if (!takesOneMore(node, record->entry, spec, use, now)) {
            room.unknownLater = true;
            continue;
        }
        const TargetRuntime &runtime = runtimeOf(node, target);
        noteThere(node, places.queue, places, runtime, now);
        if (!canCommand(node, target))
            continue;
        if (blocksLoadRequest(runtime.loadMark, now, Duration::zero())) {
            room.unknownLater = room.unknownLater || !runtime.loadMark.forecast;
            room.expectedAt.push_back(runtime.loadMark.until);
            continue;
        }
        const int idle =
            idleSlotsAt(node, record->entry, use, capacity) - loadsAskedAt(node, target);
        room.loads += std::clamp(idle, 0, maxLoadsPerEngine);
        room.unknownLater = true;
    }
    return room;
}

} // namespace

void startCapacityWait(ActiveCall &run)
{
    WaitLimitInputs facts;
    facts.objective = run.route->latencyObjective;
    facts.timeLeft = timeLeft(run);
    facts.promptMs = run.facts.promptTokens / run.node.settings.weights.promptTokensPerMs;
    facts.minObjective = run.routes->minObjective(run.service);
    const WaitLimits patience = waitLimits(facts);
    run.capacityWait = CapacityWait();
    run.prefillAsked.clear();
    run.capacityWait.since = BootClock::now();
    run.capacityWait.softDeadline = run.capacityWait.since + patience.usual;
    const bool waitsOn = run.node.settings.placement.queue;
    run.capacityWait.deadline =
        run.capacityWait.since + (waitsOn ? patience.extended : patience.usual);
}

void recordPlacement(ActiveCall &run)
{
    if (run.capacityWait.waited)
        recordCapacityFound(run.node.capacityWaiters.services[run.service].queue, BootClock::now());
}

int idleSlotsAt(GatewayNode &node, const TargetEntry &entry, const TargetUsage &use, int capacity)
{
    const auto scheduler = node.heldEngines.find(entry.id);
    if (scheduler != node.heldEngines.end() && scheduler->second->scheduler.sequence >= 0
        && mayCommandNow(node, entry.id))
        return idleSlots(scheduler->second->scheduler, BootClock::now());
    return capacity - use.busySlots;
}

std::size_t callsWaiting(const GatewayNode &node)
{
    std::size_t waiting = 0;
    for (const auto &[service, places] : node.capacityWaiters.services)
        waiting += places.queue.calls.size();
    return waiting;
}

LocalReply refuseForCapacity(ActiveCall &run, std::string reason)
{
    std::uniform_real_distribution<double> draw(0, 1);
    const Duration comeBack = std::max(run.capacityWait.forecast, shortRetryAfter);
    LocalReply answer =
        makeLocalReply(503, std::move(reason), withJitter(comeBack, draw(run.node.random)));
    answer.forecast = run.capacityWait.forecast;
    return answer;
}

asio::awaitable<std::optional<LocalReply>> waitForCapacity(ActiveCall &run, const ServiceSpec &spec)
{
    GatewayNode &node = run.node;
    if (!node.settings.placement.queue) {
        co_await node.engineChanged.wait(roomLook);
        co_return std::nullopt;
    }
    const Instant now = BootClock::now();
    ServiceWaiters &places = node.capacityWaiters.services[run.service];
    WaitingCall call;
    call.id = ++node.capacityWaiters.lastId;
    call.rank = run.route->priority;
    call.since = run.capacityWait.since;
    call.softDeadline = run.capacityWait.softDeadline;
    call.deadline = run.capacityWait.deadline;
    call.notBefore = now + (run.capacityWait.waited ? afterNoPlace : Duration::zero());
    const ServiceCapacity room = lookForRoom(node, run.service, *spec.engine, places, now);
    const Duration loadTime = fetchTime(node.loadEstimator.times, loadsUnderWay(node) + 1);
    run.capacityWait.forecast = expectedCapacityWait(places.queue, call, room, loadTime, now);
    if (now + run.capacityWait.forecast > run.capacityWait.deadline)
        co_return refuseForCapacity(run, "no engine will have room in time");
    asio::steady_timer limit(node.context, std::max(run.capacityWait.deadline - now, leastLook));
    const WaitingPlace place(run, call, limit);
    if (!place.joined())
        co_return refuseForCapacity(run, "too many calls wait for an engine");
    run.capacityWait.waited = true;
    node.callStartedWaiting.notifyAll();
    node.metrics.set(Gauge::CallsWaiting, callsWaiting(node));
    constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
    co_await limit.async_wait(nothrowAwaitable);
    co_return std::nullopt;
}

void wakeWaitingCalls(GatewayNode &node, const std::string &service, Instant now)
{
    ServiceWaiters &places = node.capacityWaiters.services[service];
    for (const auto &[id, waiter] : places.waiters) {
        if (waiter.run->cancelled())
            waiter.limit->cancel();
    }
    const ServiceSpec *spec = node.routes->findService(service);
    const bool engines = spec != nullptr && spec->engine;
    int loads = 0;
    if (engines)
        loads = lookForRoom(node, service, *spec->engine, places, now).loads;
    else
        loads = static_cast<int>(places.queue.calls.size());
    for (const std::uint64_t id : callsToWake(places.queue, loads, now))
        places.waiters.at(id).limit->cancel();
}

asio::awaitable<void> wakeWaitingCallsLoop(GatewayNode &node)
{
    while (!node.stopped) {
        node.metrics.set(Gauge::CallsWaiting, callsWaiting(node));
        if (callsWaiting(node) == 0) {
            co_await node.callStartedWaiting.wait(idleLook);
            continue;
        }
        co_await node.engineChanged.wait(roomLook);
        // More news mostly follows; one look serves all of it.
        const Duration pause = leastLook + lookPerCall * static_cast<int>(callsWaiting(node));
        co_await pauseFor(node, pause);
        for (const auto &[service, places] : node.capacityWaiters.services) {
            if (!places.queue.calls.empty())
                wakeWaitingCalls(node, service, BootClock::now());
        }
    }
}

} // namespace monsoonbay
