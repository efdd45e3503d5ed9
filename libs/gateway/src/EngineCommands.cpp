#include "EngineCommands.h"

#include <algorithm>

#include "LeaseKeeping.h"
#include "LinkWatch.h"
#include "PeerCodec.h"
#include "SharedEngines.h"
#include "TargetRestarts.h"
#include "UsageReports.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr Duration commandTimeout = std::chrono::milliseconds(250);
constexpr Duration reportTimeout = std::chrono::milliseconds(300);
/** After this it is worth trying another engine; the longest loads take about a second. */
constexpr Duration maxLoadWait = std::chrono::milliseconds(800);
/** A call that uses an adapter right after its load is refused within this time, if at all. */
constexpr Duration firstCallTime = std::chrono::milliseconds(30);
/** Between two VMs, beyond the time for which the lease holder waits before it replies. */
constexpr Duration replyLatency = std::chrono::milliseconds(50);
/** A load that is under way is waited for up to this long; other engines would not be faster. */
constexpr Duration longestLoad = std::chrono::milliseconds(2500);
/** Between two reports, while a load is waited for whose end only a report shows. */
constexpr Duration loadCheckInterval = std::chrono::milliseconds(50);
/** Maximum wait while all slots are in use: some call is likely to end within this time. */
constexpr Duration maxSlotWait = std::chrono::milliseconds(120);
constexpr Duration slotPollInterval = std::chrono::milliseconds(25);
/** Interval for rechecking the queue: the callers of a load ahead in it may give up. */
constexpr Duration turnPollInterval = std::chrono::milliseconds(10);
/**
 * Delay after a refused command; it doubles with each further refusal. Reports lag by about 100 ms.
 */
constexpr Duration firstBackoff = std::chrono::milliseconds(60);
constexpr int maxBackoffDoublings = 3;
constexpr Duration maxBackoffWait = std::chrono::milliseconds(130);
/**
 * Engines answer a command within a few ms. One that is unanswered after this is probably lost: the
 * engine takes no other command until this one has timed out and a report of the engine was read.
 */
constexpr Duration usualAnswerTime = std::chrono::milliseconds(60);
/** Reports lag, so a loaded model appears in them a little later. */
constexpr Duration modelTimeSlack = std::chrono::milliseconds(150);
constexpr Duration modelCheckInterval = std::chrono::milliseconds(250);
/** Window of the rate limit for loads of models from the weight store. */
constexpr Duration modelLoadWindow = std::chrono::seconds(5);

HeldEngine &heldEngineOf(GatewayNode &node, const std::string &target)
{
    std::unique_ptr<HeldEngine> &engine = node.heldEngines[target];
    if (!engine)
        engine = std::make_unique<HeldEngine>(node.context);
    return *engine;
}

/** Backs off from an engine that refuses commands; otherwise all waiting calls would retry. */
void backOffFrom(HeldEngine &held, Instant now)
{
    held.retryAt = now + firstBackoff * (1 << std::min(held.refusals, maxBackoffDoublings));
    ++held.refusals;
}

/** Makes the known state of an engine visible to this VM's placement and to the other VMs. */
void publishHeldEngine(GatewayNode &node, const std::string &target)
{
    TargetRuntime &runtime = runtimeOf(node, target);
    ResidentVersions resident;
    runtime.models = heldEngineOf(node, target).scheduler.models;
    runtime.incoming = PendingLoads();
    for (const auto &[adapter, slot] : heldEngineOf(node, target).scheduler.slots) {
        if (isShared(slot, node.loadEstimator.times))
            resident[adapter] = slot.version;
        else
            runtime.incoming.doneAt[adapter] = slot.readyAt;
    }
    setResident(node, target, std::move(resident));
    node.engineChanged.notifyAll();
    publishEngine(node, target);
}

const EngineSpec *specOf(const GatewayNode &node, const TargetEntry &entry)
{
    const ServiceSpec *service = node.routes->findService(entry.service);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

asio::awaitable<bool> readReport(GatewayNode &node, std::string target)
{
    HeldEngine &held = heldEngineOf(node, target);
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr)
        co_return false;
    held.commandInFlight = true;
    held.commandSince = BootClock::now();
    const EngineAddress address{target, entry->endpoint};
    const std::string service = entry->service;
    const auto report = co_await node.platform->report(node.http, address, reportTimeout);
    held.commandInFlight = false;
    if (!report)
        recordLinkFailure(node, target);
    held.unreachable = !report && areLinksLost(node, service);
    if (report)
        recordStartTime(node, target, report->startTime);
    const bool applied = report && applyEngineReport(held.scheduler, *report, BootClock::now());
    if (applied)
        publishHeldEngine(node, target);
    else
        backOffFrom(held, BootClock::now());
    held.changed.notifyAll();
    co_return applied;
}

Duration modelTime(const GatewayNode &node, const TargetEntry &entry)
{
    const EngineSpec *spec = specOf(node, entry);
    const ModelSpec *model = spec != nullptr ? baseModel(*spec) : nullptr;
    return model != nullptr ? model->loadTime + modelTimeSlack : modelTimeSlack;
}

/** Sends one command and records its outcome; the lease is checked right before it is sent. */
asio::awaitable<CommandOutcome> sendCommand(GatewayNode &node, std::string target,
                                            EngineCommand command, std::string adapter)
{
    HeldEngine &held = heldEngineOf(node, target);
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || !mayCommandNow(node, target))
        co_return CommandOutcome::NotSent;
    command.holder = node.settings.vm;
    command.token = toNumber(node.lease.generation);
    command.expectedSequence = held.scheduler.sequence;
    const EngineAddress address{target, entry->endpoint};
    const LoadEstimate expected =
        estimateLoad(held.scheduler, adapter, loadsUnderWay(node), node.loadEstimator);
    // The entry may be removed before the answer arrives.
    const Duration expectedForModel = modelTime(node, *entry);
    const auto slot = held.scheduler.slots.find(adapter);
    const Duration unusedFor = slot != held.scheduler.slots.end()
        ? BootClock::now() - slot->second.lastUsedAt
        : Duration::zero();
    const std::int64_t startBefore = held.scheduler.startTime;
    const int partition = leasePartitionOf(node, target);
    const Instant sentAt = BootClock::now();
    const Instant before = recordCommand(node.lease, partition, sentAt);
    held.commandInFlight = true;
    held.commandSince = sentAt;
    const CommandOutcome outcome =
        co_await node.platform->command(node.http, address, command, commandTimeout);
    held.commandInFlight = false;
    const Instant now = BootClock::now();
    if (outcome == CommandOutcome::NotSent)
        retractCommand(node.lease, partition, sentAt, before);
    // The engine restarted meanwhile under the same id. Which of the two processes got the command,
    // if any, is not known. The state here is that of the new one, and a report has to complete it.
    if (held.scheduler.startTime != startBefore) {
        invalidateSequence(held.scheduler);
        held.changed.notifyAll();
        co_return CommandOutcome::Unknown;
    }
    const bool done = outcome == CommandOutcome::Accepted || outcome == CommandOutcome::Holds;
    const bool isModelCommand = command.adapter.empty();
    if (done && isModelCommand)
        held.scheduler.modelReadyAt = now + expectedForModel;
    else if (done && command.load)
        recordLoadAccepted(held.scheduler, adapter, command.version, expected, now);
    else if (outcome == CommandOutcome::Accepted)
        recordDeferredUnload(held.scheduler, adapter);
    else if (done)
        recordUnloaded(held.scheduler, adapter);
    if (done && !(command.load && outcome == CommandOutcome::Holds))
        advanceSequence(held.scheduler, now);
    const bool deferred = !command.load && outcome == CommandOutcome::Accepted;
    if (deferred) {
        backOffFrom(held, now);
        invalidateSequence(held.scheduler);
    } else if (done) {
        held.refusals = 0;
    } else if (outcome == CommandOutcome::Busy && command.load
               && recordBusyRefusal(held.scheduler, node.loadEstimator, now)) {
        // The cause is known; what is known of the other slots stays valid.
    } else {
        invalidateSequence(held.scheduler);
        backOffFrom(held, now);
    }
    logEvent(
        EventId::OrderGiven,
        {{"target", target},
         {"operation", command.load ? "load" : "unload"},
         {"adapter", adapter},
         {"version", std::to_string(command.version)},
         {"token", std::to_string(command.token)},
         {"expected", std::to_string(command.expectedSequence)},
         {"unusedMs", millisText(unusedFor)},
         {"expectedMs", millisText(command.load ? expected.time : Duration::zero())},
         {"underWay", std::to_string(expected.concurrentLoads)},
         {"copiesKept", std::to_string(static_cast<int>(node.loadEstimator.memory.retainedLoads))},
         {"fetched", command.load && expected.fetched ? "yes" : "no"},
         {"outcome", std::to_string(static_cast<int>(outcome))}});
    publishHeldEngine(node, target);
    held.changed.notifyAll();
    co_return outcome;
}

v1::LoadReply loadReply(v1::LoadOutcome outcome, std::int64_t version = 0)
{
    v1::LoadReply reply;
    reply.set_outcome(outcome);
    reply.set_version(version);
    return reply;
}

/** Declines a load; one could begin at `expected`, zero: not known when. */
v1::LoadReply declineReply(DeclineReason reason, Instant expected = Instant{})
{
    const bool notHolder = reason == DeclineReason::NotHolder;
    v1::LoadReply reply =
        loadReply(notHolder ? v1::LOAD_OUTCOME_NOT_HOLDER : v1::LOAD_OUTCOME_NO_SLOT);
    LoadDecline decline;
    decline.reason = reason;
    if (expected != Instant{})
        decline.retryIn = std::max(expected - BootClock::now(), Duration::zero());
    encodeDecline(decline, reply);
    return reply;
}

std::int64_t heldVersion(const AdapterScheduler &scheduler, const std::string &adapter)
{
    const auto found = scheduler.slots.find(adapter);
    return found == scheduler.slots.end() ? 0 : found->second.version;
}

bool isLoading(const AdapterScheduler &scheduler, const std::string &adapter)
{
    const auto found = scheduler.slots.find(adapter);
    return found != scheduler.slots.end() && found->second.loading;
}

EngineCommand unloadCommand(const std::string &key)
{
    EngineCommand command;
    command.load = false;
    const std::size_t slash = key.find('/');
    command.model = key.substr(0, slash);
    command.adapter = key.substr(slash + 1);
    return command;
}

/** True if the command or report in flight is probably lost. */
bool isUnanswered(const HeldEngine &held, Instant now)
{
    return held.commandInFlight && now - held.commandSince > usualAnswerTime;
}

/** Earliest time at which the engine is expected to take the next command. */
Instant nextCommandTime(const HeldEngine &held, Instant now)
{
    if (isUnanswered(held, now))
        return std::max(now, held.commandSince + commandTimeout + firstBackoff);
    return std::max(now, held.retryAt);
}

/** Keeps a load request in an engine's queue for as long as the object lives. */
class QueueEntry
{
public:
    QueueEntry(LoadQueue &queue, const std::string &adapter, int rank)
        : queue(queue)
        , adapter(adapter)
    {
        joinQueue(this->queue, this->adapter, rank);
    }

    QueueEntry(const QueueEntry &) = delete;
    QueueEntry &operator=(const QueueEntry &) = delete;

    ~QueueEntry()
    {
        leaveQueue(this->queue, this->adapter);
    }

private:
    LoadQueue &queue;
    std::string adapter;
};

/**
 * When a load is expected to begin. A call for which that is too late can try another engine at
 * once, or is refused while its caller can still retry. The load_queue tests of libs/serving
 * show the failure that this avoids.
 */
Instant expectedLoadBegin(const GatewayNode &node, const HeldEngine &held, const std::string &key,
                          Instant now)
{
    if (held.scheduler.slots.count(key) > 0)
        return now;
    // No call is refused because of a guess.
    const LoadTimeModel &times = node.loadEstimator.times;
    const int concurrentLoads = loadsUnderWay(node) + 1;
    if (!isFetchTimeKnown(times, concurrentLoads) || awaitsAnyReport(held.scheduler))
        return nextCommandTime(held, now);
    const Duration loadTime = fetchTime(times, concurrentLoads);
    const int ahead = loadsAhead(held.queue, held.scheduler, key);
    return expectedBegin(held.scheduler, ahead, loadTime, nextCommandTime(held, now));
}

/** Reads a report to see whether loads are done that only reports show, or that take long. */
asio::awaitable<void> checkLoads(GatewayNode &node, std::string target)
{
    HeldEngine &held = heldEngineOf(node, target);
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || held.checkingLoads)
        co_return;
    held.checkingLoads = true;
    held.loadsCheckedAt = BootClock::now();
    const EngineAddress address{target, entry->endpoint};
    const auto report = co_await node.platform->report(node.http, address, reportTimeout);
    held.checkingLoads = false;
    if (!report
        || !applyCompletedLoads(held.scheduler, *report, node.loadEstimator, BootClock::now()))
        co_return;
    publishHeldEngine(node, target);
    held.changed.notifyAll();
}

/** Reads a report, unless the last one is recent. */
void checkLoadsSoon(GatewayNode &node, const std::string &target)
{
    const HeldEngine &held = heldEngineOf(node, target);
    if (BootClock::now() - held.loadsCheckedAt >= loadCheckInterval)
        spawn(node, "check loads", checkLoads(node, target));
}

/** Logs what the lease holder believed of an adapter that its engine does not hold. */
void logMissing(GatewayNode &node, const std::string &target, const std::string &key, Instant now)
{
    const AdapterScheduler &scheduler = heldEngineOf(node, target).scheduler;
    const auto found = scheduler.slots.find(key);
    if (found == scheduler.slots.end()) {
        logEvent(EventId::AdapterMissing,
                 {{"target", target}, {"adapter", key}, {"believed", "not held"}});
        return;
    }
    const AdapterSlot &slot = found->second;
    const bool known = slot.requestedAt != Instant{};
    logEvent(
        EventId::AdapterMissing,
        {{"target", target},
         {"adapter", key},
         {"believed", slot.loading ? "loading" : "held"},
         {"overdueMs", millisText(now - slot.readyAt)},
         {"expectedMs", millisText(known ? slot.readyAt - slot.requestedAt : Duration::zero())},
         {"waitedMs", millisText(known ? now - slot.requestedAt : Duration::zero())},
         {"underWay", std::to_string(slot.concurrentLoads)},
         {"fetched", slot.fetched ? "yes" : "no"},
         {"refused", std::to_string(slot.earlyCalls + 1)}});
}

} // namespace

bool canCommand(const GatewayNode &node, const std::string &target)
{
    return mayCommandNow(node, target) || holderOf(node, target) != nullptr;
}

bool mayRequestLoad(GatewayNode &node, const std::string &target, Duration begin)
{
    const bool backedOff = node.settings.placement.keepDeclines
        && blocksLoadRequest(runtimeOf(node, target).loadBackoff, BootClock::now(), begin);
    return !backedOff && canCommand(node, target);
}

std::optional<Duration> loadUnderWay(GatewayNode &node, const std::string &target,
                                     const std::string &adapter, Duration loadTime)
{
    const auto incoming =
        timeUntilLoaded(runtimeOf(node, target).incoming, adapter, BootClock::now());
    const bool asked = node.loadsInFlight.count({target, adapter}) > 0;
    if ((!incoming && !asked) || !canCommand(node, target))
        return std::nullopt;
    return incoming ? incoming : loadTime;
}

asio::awaitable<v1::LoadReply> performLoad(GatewayNode &node, v1::LoadRequest request)
{
    const Instant begun = BootClock::now();
    const std::string &target = request.target();
    const std::string key = adapterKey(request.model(), request.adapter());
    if (request.missed() && !heldEngineOf(node, target).commandInFlight) {
        logMissing(node, target, key, begun);
        recordMissing(heldEngineOf(node, target).scheduler, key, node.loadEstimator, begun);
        publishHeldEngine(node, target);
    }
    if (request.note_only())
        co_return loadReply(v1::LOAD_OUTCOME_UNKNOWN);
    const Duration beginWithin = request.begin_within_ms() > 0
        ? Duration(std::chrono::milliseconds(request.begin_within_ms()))
        : maxLoadWait;
    if (isLoading(heldEngineOf(node, target).scheduler, key))
        node.metrics.add(Counter::LoadsJoined);
    const QueueEntry queueEntry(heldEngineOf(node, target).queue, key, decodeRank(request));
    while (BootClock::now() - begun < maxLoadWait) {
        const TargetEntry *entry = entryOf(node, target);
        const EngineSpec *spec = entry != nullptr ? specOf(node, *entry) : nullptr;
        if (spec == nullptr || !mayCommandNow(node, target))
            co_return declineReply(DeclineReason::NotHolder);
        HeldEngine &held = heldEngineOf(node, target);
        const ModelSpec *model = baseModel(*spec);
        held.scheduler.adapterSlots = model != nullptr ? adapterCapacity(*spec, *model) : 0;
        const Instant begin = expectedLoadBegin(node, held, key, BootClock::now());
        if (begin > begun + beginWithin)
            co_return declineReply(isUnanswered(held, BootClock::now())
                                       ? DeclineReason::EngineSilent
                                       : DeclineReason::QueueTooLong,
                                   begin);
        if (held.commandInFlight) {
            co_await held.changed.wait(commandTimeout);
            continue;
        }
        const Instant now = BootClock::now();
        const bool modelUnderWay = now < held.scheduler.modelReadyAt;
        if (modelUnderWay)
            co_return declineReply(DeclineReason::ModelMissing, held.scheduler.modelReadyAt);
        // The call may find another engine before this one takes commands again.
        if (held.retryAt - now > maxBackoffWait)
            co_return declineReply(DeclineReason::EngineSilent, held.retryAt);
        if (now < held.retryAt) {
            co_await held.changed.wait(held.retryAt - now);
            continue;
        }
        if (held.scheduler.sequence < 0) {
            co_await readReport(node, target);
            continue;
        }
        // An engine without its base model refuses every load of an adapter.
        if (held.scheduler.models.count(request.model()) == 0)
            co_return declineReply(DeclineReason::ModelMissing);
        updateRuns(held.scheduler, adapterRuns(node, target), now);
        const bool confirmed = learnFromLoads(held.scheduler, node.loadEstimator, now);
        extendLoadEstimates(held.scheduler, node.loadEstimator.times);
        const bool completed = completeDueLoads(held.scheduler, now);
        if (confirmed || completed)
            publishHeldEngine(node, target);
        const SchedulerDecision choice = nextCommand(held.scheduler, key, request.version(), now);
        const bool needsCommand =
            choice.step == SchedulerStep::Load || choice.step == SchedulerStep::Unload;
        const bool othersFirst = node.settings.placement.queue && needsCommand
            && held.scheduler.slots.count(key) == 0
            && loadsAhead(held.queue, held.scheduler, key) > 0;
        if (othersFirst) {
            co_await held.changed.wait(turnPollInterval);
            continue;
        }
        switch (choice.step) {
        case SchedulerStep::Ready: {
            const Duration probeDelay =
                probeCallDelay(held.scheduler, key, node.loadEstimator.times, now);
            if (probeDelay > Duration::zero()) {
                co_await held.changed.wait(probeDelay);
                break;
            }
            recordPendingCall(held.scheduler, key, now);
            v1::LoadReply ready =
                loadReply(v1::LOAD_OUTCOME_READY, heldVersion(held.scheduler, key));
            ready.set_unconfirmed(
                !isShared(held.scheduler.slots.at(key), node.loadEstimator.times));
            co_return ready;
        }
        case SchedulerStep::Wait: {
            if (awaitsReport(held.scheduler, key)) {
                checkLoadsSoon(node, target);
                co_await held.changed.wait(loadCheckInterval);
                break;
            }
            const auto slot = held.scheduler.slots.find(key);
            const Duration rest =
                slot != held.scheduler.slots.end() ? slot->second.readyAt - now : slotPollInterval;
            co_await held.changed.wait(std::max(rest, Duration(std::chrono::milliseconds(1))));
            break;
        }
        case SchedulerStep::NoSlot:
            if (now - begun > std::min(maxSlotWait, beginWithin))
                co_return declineReply(DeclineReason::NoSlot,
                                       nextFreeSlotTime(held.scheduler, now));
            co_await held.changed.wait(slotPollInterval);
            break;
        case SchedulerStep::Unload: {
            EngineCommand command = unloadCommand(choice.victim);
            co_await sendCommand(node, target, std::move(command), choice.victim);
            break;
        }
        case SchedulerStep::Load: {
            EngineCommand command;
            command.model = request.model();
            command.adapter = request.adapter();
            command.version = request.version();
            const CommandOutcome outcome =
                co_await sendCommand(node, target, std::move(command), key);
            if (outcome == CommandOutcome::Invalid)
                co_return loadReply(v1::LOAD_OUTCOME_REFUSED);
            break;
        }
        }
    }
    const bool loading = isLoading(heldEngineOf(node, target).scheduler, key);
    v1::LoadReply timedOut =
        declineReply(loading ? DeclineReason::Loading : DeclineReason::EngineSilent);
    timedOut.set_outcome(v1::LOAD_OUTCOME_UNKNOWN);
    co_return timedOut;
}

namespace {

Counter declinedCounter(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::NoSlot:
        return Counter::LoadsDeclinedNoSlot;
    case DeclineReason::QueueTooLong:
        return Counter::LoadsDeclinedQueue;
    case DeclineReason::EngineSilent:
        return Counter::LoadsDeclinedSilent;
    case DeclineReason::ModelMissing:
        return Counter::LoadsDeclinedModel;
    case DeclineReason::NotHolder:
        return Counter::LoadsDeclinedHolder;
    case DeclineReason::Loading:
    case DeclineReason::Unspecified:
        break;
    }
    return Counter::LoadsDeclinedOther;
}

/** Records a declined load, so that later calls do not request one before the time it names. */
LoadDecline recordDecline(GatewayNode &node, const std::string &target,
                          const std::optional<v1::LoadReply> &reply)
{
    LoadDecline decline;
    if (reply)
        decline = decodeDecline(*reply);
    // The engine rejects this adapter; it may accept others.
    const bool invalid = reply && reply->outcome() == v1::LOAD_OUTCOME_REFUSED;
    // This VM is the lease holder, so it sees itself when a slot becomes idle.
    const bool slotKnown = decline.reason == DeclineReason::NoSlot && mayCommandNow(node, target);
    // After no answer, all engines of that lease holder are avoided for a while; see holderOf().
    if (reply && !invalid && !slotKnown)
        runtimeOf(node, target).loadBackoff = backoffAfter(decline, BootClock::now());
    node.metrics.add(declinedCounter(decline.reason));
    return decline;
}

/** True if the load is under way and was not done by the time of the reply. */
bool isStillLoading(const v1::LoadReply &reply)
{
    return reply.outcome() == v1::LOAD_OUTCOME_UNKNOWN
        && decodeDecline(reply).reason == DeclineReason::Loading;
}

/** Requests a load from the engine's lease holder, which may be this VM; nothing: no answer. */
asio::awaitable<std::optional<v1::LoadReply>> askHolder(GatewayNode &node, v1::LoadRequest request,
                                                        Duration longest)
{
    const std::string target = request.target();
    if (mayCommandNow(node, target)) {
        v1::LoadReply reply = co_await performLoad(node, std::move(request));
        co_return reply;
    }
    const PeerState *holder = holderOf(node, target);
    if (holder == nullptr)
        co_return std::nullopt;
    const Endpoint peer = holder->endpoint;
    const Instant begun = BootClock::now();
    std::optional<v1::LoadReply> reply =
        co_await node.peerLinks.load(peer, std::move(request), longest + replyLatency);
    // A lease holder that was not given its usual time to reply may be well.
    const Instant now = BootClock::now();
    const bool cutShort = longest < maxLoadWait && now - begun >= longest;
    const auto asked = node.peers.find(peer);
    if (!reply && !cutShort && asked != node.peers.end())
        asked->second.loadFailedAt = now;
    if (reply && reply->outcome() == v1::LOAD_OUTCOME_NOT_HOLDER)
        recordNotHolder(node, target, peer);
    co_return reply;
}

void addResident(GatewayNode &node, const std::string &target, const std::string &adapter,
                 std::int64_t version)
{
    TargetRuntime &runtime = runtimeOf(node, target);
    runtime.residentSince.try_emplace(adapter, BootClock::now());
    std::int64_t &known = runtime.resident[adapter];
    known = std::max(known, version);
}

/** Lets the other calls of a load go, unless the first one was refused and waits once more. */
asio::awaitable<void> awaitFirstCall(GatewayNode &node, std::string target, std::string adapter,
                                     std::int64_t version, std::shared_ptr<LoadInFlight> load)
{
    co_await pauseFor(node, firstCallTime);
    if (!load->firstCallSent)
        co_return;
    addResident(node, target, adapter, version);
    node.loadsInFlight.erase({target, adapter});
    load->done.notifyAll();
    node.engineChanged.notifyAll();
}

} // namespace

asio::awaitable<void> noteMissing(GatewayNode &node, std::string target, std::string model,
                                  std::string adapter)
{
    v1::LoadRequest request;
    request.set_target(target);
    request.set_model(model);
    request.set_adapter(adapter.substr(adapter.find('/') + 1));
    request.set_missed(true);
    request.set_note_only(true);
    const auto load = node.loadsInFlight.find({target, adapter});
    if (load != node.loadsInFlight.end() && load->second->firstCallSent) {
        const std::shared_ptr<LoadInFlight> refused = load->second;
        refused->firstCallSent = false;
        refused->firstCallRefused = true;
        node.loadsInFlight.erase(load);
        refused->done.notifyAll();
    }
    const std::optional<v1::LoadReply> noted =
        co_await askHolder(node, std::move(request), commandTimeout);
    static_cast<void>(noted); // without an answer, the next call that is refused notes it again
}

asio::awaitable<bool> requestLoad(GatewayNode &node, std::string target, std::string model,
                                  std::string adapter, std::int64_t version, bool missed,
                                  LoadLimits limits)
{
    const Duration maxWait = std::min(limits.whole, longestLoad);
    const auto key = std::make_pair(target, adapter);
    const Instant begun = BootClock::now();
    auto underWay = node.loadsInFlight.find(key);
    const bool refusedFirst =
        missed && underWay != node.loadsInFlight.end() && underWay->second->firstCallSent;
    while (underWay != node.loadsInFlight.end() && !refusedFirst) {
        const std::shared_ptr<LoadInFlight> sharedLoad = underWay->second;
        ++sharedLoad->waiters;
        co_await sharedLoad->done.wait(maxWait - (BootClock::now() - begun));
        const ResidentVersions &resident = runtimeOf(node, target).resident;
        const auto found = resident.find(adapter);
        const bool ready = found != resident.end() && found->second >= version;
        const bool asksAgain = sharedLoad->firstCallRefused && BootClock::now() - begun < maxWait;
        if (ready || !asksAgain)
            co_return ready;
        underWay = node.loadsInFlight.find(key);
    }
    // The calls that wait for the outcome of one that was refused wait on with it.
    const auto pending =
        refusedFirst ? underWay->second : std::make_shared<LoadInFlight>(node.context);
    pending->firstCallSent = false;
    node.loadsInFlight[key] = pending;
    v1::LoadRequest request;
    request.set_target(target);
    request.set_model(model);
    request.set_adapter(adapter.substr(adapter.find('/') + 1));
    request.set_version(version);
    request.set_missed(missed);
    encodeRank(limits.rank, request);
    request.set_begin_within_ms(static_cast<std::uint32_t>(toMillis(limits.begin)));
    std::optional<v1::LoadReply> reply;
    do {
        const Duration left = maxWait - (BootClock::now() - begun);
        reply = co_await askHolder(node, request, std::min(left, maxLoadWait));
        request.set_missed(false);
    } while (reply && isStillLoading(*reply) && BootClock::now() - begun < maxWait);
    const bool ready = reply && reply->outcome() == v1::LOAD_OUTCOME_READY;
    if (ready) {
        node.metrics.record(Timing::LoadStall, toSeconds(BootClock::now() - begun));
        if (pending->waiters > 1)
            node.metrics.add(Counter::LoadsShared);
        if (reply->unconfirmed()) {
            pending->firstCallSent = true;
            spawn(node, "await first call",
                  awaitFirstCall(node, target, adapter, reply->version(), pending));
            co_return true;
        }
        addResident(node, target, adapter, reply->version());
    }
    node.loadsInFlight.erase(key);
    pending->done.notifyAll();
    node.engineChanged.notifyAll();
    if (ready)
        co_return true;
    const LoadDecline decline = recordDecline(node, target, reply);
    logEvent(EventId::LoadDeclined,
             {{"target", target},
              {"adapter", adapter},
              {"outcome", std::to_string(reply ? reply->outcome() : -1)},
              {"reason", std::string(reply ? reasonName(decline.reason) : "holder silent")},
              {"retryInMs", millisText(decline.retryIn)},
              {"afterMs", std::to_string(toSeconds(BootClock::now() - begun) * 1000)}});
    co_return false;
}

void applyAdapterVersion(GatewayNode &node, const std::string &adapter, std::int64_t version)
{
    if (version <= versionInForce(node, adapter))
        return;
    node.shared.adapterVersions.set(adapter, version, node.shared.counter);
    for (const auto &[id, record] : node.targetTable.records) {
        const ResidentVersions &resident = runtimeOf(node, id).resident;
        const auto held = resident.find(adapter);
        const bool older = held != resident.end() && held->second < version;
        if (!older || !mayCommandNow(node, id))
            continue;
        v1::LoadRequest request;
        request.set_target(id);
        const std::size_t slash = adapter.find('/');
        request.set_model(adapter.substr(0, slash));
        request.set_adapter(adapter.substr(slash + 1));
        request.set_version(version);
        spawn(node, "replace version",
              [](GatewayNode &here, v1::LoadRequest load) -> asio::awaitable<void> {
                  const v1::LoadReply reply = co_await performLoad(here, std::move(load));
                  static_cast<void>(reply);
              }(node, std::move(request)));
    }
}

namespace {

/** True while this VM is below its share of the model loads that the weight store allows. */
bool mayLoadModel(GatewayNode &node, const EngineSpec &spec, Instant now)
{
    while (!node.modelLoads.empty() && now - node.modelLoads.front() > modelLoadWindow)
        node.modelLoads.pop_front();
    const double allowed = spec.modelLoadsPerSecond * toSeconds(modelLoadWindow);
    const double share = std::max(1.0, allowed / liveHolders(node));
    return static_cast<double>(node.modelLoads.size()) < share;
}

/** Takes the next step, if any is due, so that an engine gets its base model. */
asio::awaitable<void> ensureBaseModel(GatewayNode &node, std::string target)
{
    HeldEngine &held = heldEngineOf(node, target);
    const TargetEntry *entry = entryOf(node, target);
    const EngineSpec *spec = entry != nullptr ? specOf(node, *entry) : nullptr;
    const ModelSpec *model = spec != nullptr ? baseModel(*spec) : nullptr;
    const Instant now = BootClock::now();
    if (model == nullptr || entry->leaving)
        co_return;
    // Set before any load is requested, as peers are sent the number of busy slots.
    held.scheduler.adapterSlots = adapterCapacity(*spec, *model);
    if (learnFromLoads(held.scheduler, node.loadEstimator, now))
        publishHeldEngine(node, target);
    if (isReportCheckDue(held.scheduler, node.loadEstimator.times, now))
        spawn(node, "check loads", checkLoads(node, target));
    if (held.commandInFlight || now < held.retryAt)
        co_return;
    if (now < held.scheduler.modelReadyAt)
        co_return;
    const bool expected = held.scheduler.modelReadyAt != Instant{};
    held.scheduler.modelReadyAt = Instant{};
    if (expected || held.scheduler.sequence < 0 || hasDeferredUnload(held.scheduler)) {
        co_await readReport(node, target);
        co_return;
    }
    if (held.scheduler.models.count(model->name) > 0 || !mayLoadModel(node, *spec, now))
        co_return;
    EngineCommand command;
    command.model = model->name;
    const CommandOutcome outcome =
        co_await sendCommand(node, target, std::move(command), model->name);
    if (outcome == CommandOutcome::Accepted)
        node.modelLoads.push_back(now);
}

} // namespace

asio::awaitable<void> modelLoadLoop(GatewayNode &node)
{
    while (!node.stopped) {
        std::vector<std::string> heldTargets;
        for (const auto &[id, record] : node.targetTable.records) {
            if (mayCommandNow(node, id))
                heldTargets.push_back(id);
        }
        for (const std::string &id : heldTargets)
            spawn(node, "load base model", ensureBaseModel(node, id));
        co_await pauseFor(node, modelCheckInterval);
    }
}

} // namespace monsoonbay
