#include "CapacityWaiting.h"

#include <algorithm>

#include "AnswerHints.h"
#include "EngineCommands.h"
#include "LeaseKeeping.h"
#include "SharedEngines.h"
#include "core/Jitter.h"

namespace monsoonbay {

namespace {

/** Interval of the checks for what no state update shows: expired backoffs and ended calls. */
constexpr Duration capacityCheckInterval = std::chrono::milliseconds(40);
/** Between two checks, and more for each waiting call: each is compared with all engines. */
constexpr Duration minCheckInterval = std::chrono::milliseconds(10);
constexpr Duration checkIntervalPerCall = std::chrono::microseconds(200);
/** A call that was woken and found no capacity lets others try first. */
constexpr Duration noCapacityDelay = std::chrono::milliseconds(40);
/** Check interval while no call waits. */
constexpr Duration idleCheckInterval = std::chrono::seconds(1);

/** Retry-After of refused calls: about the time of an adapter load. */
constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** Keeps a call in the queue for as long as it waits. */
class QueueEntry
{
public:
    QueueEntry(ActiveCall &call, const WaitingCall &waitingCall, asio::steady_timer &limit)
        : serviceWaiters(call.node.capacityWaiters.services[call.service])
        , id(waitingCall.id)
        , queued(enqueueCall(this->serviceWaiters.queue, waitingCall, BootClock::now()))
    {
        if (this->queued)
            this->serviceWaiters.waiters[this->id] = {&call, &limit};
    }

    QueueEntry(const QueueEntry &) = delete;
    QueueEntry &operator=(const QueueEntry &) = delete;

    ~QueueEntry()
    {
        dequeueCall(this->serviceWaiters.queue, this->id, BootClock::now());
        this->serviceWaiters.waiters.erase(this->id);
    }

    /** False if too many calls wait already. */
    bool joined() const noexcept
    {
        return this->queued;
    }

private:
    ServiceWaiters &serviceWaiters;
    std::uint64_t id;
    bool queued;
};

/** True if the engine can run one more call, provided that it is not too large. */
bool canRunOneMore(GatewayNode &node, const TargetEntry &entry, const EngineSpec &spec,
                   const TargetUsage &usage, Instant now)
{
    const double maxTokens = node.settings.weights.memoryShare * spec.kvTokens;
    return acceptsCalls(node, entry.id, now) && usage.runs < spec.slots
        && (usage.runs == 0 || usage.heldTokens < maxTokens) && !isFailing(usage)
        && !isEjected(runtimeOf(node, entry.id).health, now);
}

/** Number of loads at the target that calls of this VM have requested. */
int loadsRequestedAt(const GatewayNode &node, const std::string &target)
{
    return static_cast<int>(
        std::count_if(node.loadsInFlight.begin(), node.loadsInFlight.end(),
                      [&target](const auto &ask) { return ask.first.first == target; }));
}

/** Marks the calls that need no further load: the engine holds or is loading their adapter. */
void markLoadNotNeeded(GatewayNode &node, CapacityQueue &queue,
                       const ServiceWaiters &serviceWaiters, const TargetRuntime &runtime,
                       Instant now)
{
    for (WaitingCall &waitingCall : queue.calls) {
        if (waitingCall.adapterReady)
            continue;
        const std::string &adapter =
            serviceWaiters.waiters.at(waitingCall.id).call->metadata.adapter;
        const auto held = runtime.resident.find(adapter);
        waitingCall.adapterReady = adapter.empty()
            || (held != runtime.resident.end() && held->second >= versionInForce(node, adapter))
            || timeUntilLoaded(runtime.incoming, adapter, now);
    }
}

/** Checks all engines of a service for capacity; marks the waiting calls that need no load. */
ServiceCapacity findCapacity(GatewayNode &node, const std::string &service, const EngineSpec &spec,
                             ServiceWaiters &serviceWaiters, Instant now)
{
    ServiceCapacity available;
    const ModelSpec *model = baseModel(spec);
    const int capacity = model != nullptr ? adapterCapacity(spec, *model) : 0;
    for (WaitingCall &waitingCall : serviceWaiters.queue.calls)
        waitingCall.adapterReady = false;
    for (const TargetRecord *record : targetsOf(node, service)) {
        const std::string &target = record->entry.id;
        const TargetUsage usage = totalLoad(node, target);
        if (!canRunOneMore(node, record->entry, spec, usage, now)) {
            available.mayFreeAnytime = true;
            continue;
        }
        const TargetRuntime &runtime = runtimeOf(node, target);
        markLoadNotNeeded(node, serviceWaiters.queue, serviceWaiters, runtime, now);
        if (!canCommand(node, target))
            continue;
        if (blocksLoadRequest(runtime.loadBackoff, now, Duration::zero())) {
            available.mayFreeAnytime = available.mayFreeAnytime || !runtime.loadBackoff.forecast;
            available.expectedAt.push_back(runtime.loadBackoff.until);
            continue;
        }
        const int idle =
            idleSlotsAt(node, record->entry, usage, capacity) - loadsRequestedAt(node, target);
        available.loads += std::clamp(idle, 0, maxLoadsPerEngine);
        available.mayFreeAnytime = true;
    }
    return available;
}

} // namespace

void startCapacityWait(ActiveCall &call)
{
    WaitLimitInputs inputs;
    inputs.objective = call.route->latencyObjective;
    inputs.timeLeft = timeLeft(call);
    inputs.promptMs = call.metadata.promptTokens / call.node.settings.weights.promptTokensPerMs;
    inputs.minObjective = call.routes->minObjective(call.service);
    const WaitLimits limits = waitLimits(inputs);
    call.capacityWait = CapacityWait();
    call.prefillAsked.clear();
    call.capacityWait.since = BootClock::now();
    call.capacityWait.softDeadline = call.capacityWait.since + limits.usual;
    const bool waitsInQueue = call.node.settings.placement.queue;
    call.capacityWait.deadline =
        call.capacityWait.since + (waitsInQueue ? limits.extended : limits.usual);
}

void recordPlacement(ActiveCall &call)
{
    if (call.capacityWait.waited)
        recordCapacityFound(call.node.capacityWaiters.services[call.service].queue,
                            BootClock::now());
}

int idleSlotsAt(GatewayNode &node, const TargetEntry &entry, const TargetUsage &usage, int capacity)
{
    const auto scheduler = node.heldEngines.find(entry.id);
    if (scheduler != node.heldEngines.end() && scheduler->second->scheduler.sequence >= 0
        && mayCommandNow(node, entry.id))
        return idleSlots(scheduler->second->scheduler, BootClock::now());
    return capacity - usage.busySlots;
}

std::size_t callsWaiting(const GatewayNode &node)
{
    std::size_t waiting = 0;
    for (const auto &[service, serviceWaiters] : node.capacityWaiters.services)
        waiting += serviceWaiters.queue.calls.size();
    return waiting;
}

LocalReply refuseForCapacity(ActiveCall &call, std::string reason)
{
    std::uniform_real_distribution<double> draw(0, 1);
    const Duration retryDelay = std::max(call.capacityWait.forecast, shortRetryAfter);
    LocalReply answer =
        makeLocalReply(503, std::move(reason), withJitter(retryDelay, draw(call.node.random)));
    answer.forecast = call.capacityWait.forecast;
    return answer;
}

asio::awaitable<std::optional<LocalReply>> waitForCapacity(ActiveCall &call,
                                                           const ServiceSpec &spec)
{
    GatewayNode &node = call.node;
    if (!node.settings.placement.queue) {
        co_await node.engineChanged.wait(capacityCheckInterval);
        co_return std::nullopt;
    }
    const Instant now = BootClock::now();
    ServiceWaiters &serviceWaiters = node.capacityWaiters.services[call.service];
    WaitingCall waitingCall;
    waitingCall.id = ++node.capacityWaiters.lastId;
    waitingCall.rank = call.route->priority;
    waitingCall.since = call.capacityWait.since;
    waitingCall.softDeadline = call.capacityWait.softDeadline;
    waitingCall.deadline = call.capacityWait.deadline;
    waitingCall.notBefore = now + (call.capacityWait.waited ? noCapacityDelay : Duration::zero());
    const ServiceCapacity available =
        findCapacity(node, call.service, *spec.engine, serviceWaiters, now);
    const Duration loadTime = fetchTime(node.loadEstimator.times, loadsUnderWay(node) + 1);
    call.capacityWait.forecast =
        expectedCapacityWait(serviceWaiters.queue, waitingCall, available, loadTime, now);
    if (now + call.capacityWait.forecast > call.capacityWait.deadline)
        co_return refuseForCapacity(call, "no engine will have room in time");
    asio::steady_timer limit(node.context,
                             std::max(call.capacityWait.deadline - now, minCheckInterval));
    const QueueEntry queueEntry(call, waitingCall, limit);
    if (!queueEntry.joined())
        co_return refuseForCapacity(call, "too many calls wait for an engine");
    call.capacityWait.waited = true;
    node.callStartedWaiting.notifyAll();
    node.metrics.set(Gauge::CallsWaiting, callsWaiting(node));
    constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
    co_await limit.async_wait(nothrowAwaitable);
    co_return std::nullopt;
}

void wakeWaitingCalls(GatewayNode &node, const std::string &service, Instant now)
{
    ServiceWaiters &serviceWaiters = node.capacityWaiters.services[service];
    for (const auto &[id, waiter] : serviceWaiters.waiters) {
        if (waiter.call->cancelled())
            waiter.limit->cancel();
    }
    const ServiceSpec *spec = node.routes->findService(service);
    const bool engines = spec != nullptr && spec->engine;
    int loads = 0;
    if (engines)
        loads = findCapacity(node, service, *spec->engine, serviceWaiters, now).loads;
    else
        loads = static_cast<int>(serviceWaiters.queue.calls.size());
    for (const std::uint64_t id : callsToWake(serviceWaiters.queue, loads, now))
        serviceWaiters.waiters.at(id).limit->cancel();
}

asio::awaitable<void> wakeWaitingCallsLoop(GatewayNode &node)
{
    while (!node.stopped) {
        node.metrics.set(Gauge::CallsWaiting, callsWaiting(node));
        if (callsWaiting(node) == 0) {
            co_await node.callStartedWaiting.wait(idleCheckInterval);
            continue;
        }
        co_await node.engineChanged.wait(capacityCheckInterval);
        // More updates usually follow; one check then covers all of them.
        const Duration pause =
            minCheckInterval + checkIntervalPerCall * static_cast<int>(callsWaiting(node));
        co_await pauseFor(node, pause);
        for (const auto &[service, serviceWaiters] : node.capacityWaiters.services) {
            if (!serviceWaiters.queue.calls.empty())
                wakeWaitingCalls(node, service, BootClock::now());
        }
    }
}

} // namespace monsoonbay
