#include "CallPlacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "AnswerHints.h"
#include "CapacityWaiting.h"
#include "EngineCommands.h"
#include "LeaseKeeping.h"
#include "PrefillReservation.h"
#include "RelayLoops.h"
#include "StreamResuming.h"
#include "UsageReports.h"
#include "serving/EngineForecast.h"
#include "serving/PlainTargetChoice.h"

namespace monsoonbay {

namespace {

/** For a call near its wait limit: an engine that is not busy still accepts its load. */
constexpr Duration minBeginWait = std::chrono::milliseconds(20);
/** Once so many engines in a row have declined a load, all count as busy for a moment. */
constexpr std::size_t maxDeclines = 6;

/** Retry-After of refused calls: about the time of an adapter load. */
constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);
/** Retry-After where there is no target: entries are listed again within seconds. */
constexpr Duration longRetryAfter = std::chrono::milliseconds(800);

bool isUsable(GatewayNode &node, const std::string &target, const TargetUsage &all, Instant now)
{
    return !isEjected(runtimeOf(node, target).health, now) && !isFailing(all);
}

/** Ignores ejections where they leave less than half of the targets, rather than refuse callers. */
template <typename Views> void ignoreExcessiveEjections(Views &views)
{
    const auto usable =
        std::count_if(views.begin(), views.end(), [](const auto &view) { return view.usable; });
    if (static_cast<std::size_t>(usable) * 2 >= views.size())
        return;
    for (auto &view : views)
        view.usable = true;
}

/** How long the call may wait for a load to begin. */
Duration beginWaitLimit(const ActiveCall &call)
{
    return std::max(call.capacityWait.softDeadline - BootClock::now(), minBeginWait);
}

bool wasDeclined(const ActiveCall &call, const std::string &target)
{
    return std::find(call.loadDeclinedBy.begin(), call.loadDeclinedBy.end(), target)
        != call.loadDeclinedBy.end();
}

/** Shortest objective of the service's routes; nullopt if all are alike, or without forecasts. */
std::optional<Duration> shortestObjective(const ActiveCall &call)
{
    if (!call.node.settings.placement.forecast)
        return std::nullopt;
    return call.routes->shortestObjective(call.service);
}

/** True if a load for the call may be requested there. */
bool mayAskLoadFor(const ActiveCall &call, const std::string &target)
{
    if (wasDeclined(call, target))
        return false;
    // The lease holder has to learn that the adapter is missing, even after it declined a load.
    return call.adapterMissingAt == target
        ? canCommand(call.node, target)
        : mayRequestLoad(call.node, target, beginWaitLimit(call));
}

/** Time until a load under way brings the call's adapter; below 0: none is waited for. */
double incomingMs(const ActiveCall &call, const std::string &target, double loadMs)
{
    if (!call.node.settings.placement.awaitLoads)
        return -1;
    if (call.metadata.adapter.empty() || wasDeclined(call, target))
        return -1;
    const auto incoming =
        loadUnderWay(call.node, target, call.metadata.adapter, fromSeconds(loadMs / 1000));
    return incoming ? 1000 * toSeconds(*incoming) : -1;
}

/** Targets that accept calls of this VM now and fit the software version of the call's stream. */
std::vector<const TargetRecord *> availableTargets(ActiveCall &call, Instant now)
{
    std::vector<const TargetRecord *> targets = targetsOf(call.node, call.service);
    std::erase_if(targets, [&](const TargetRecord *record) {
        return !acceptsCalls(call.node, record->entry.id, now);
    });
    keepCompatibleTargets(call, targets);
    return targets;
}

/** Retry-After of a call that no target accepts: the earliest time that one named, if any did. */
Duration retryAfterBackoff(const ActiveCall &call)
{
    const Instant now = BootClock::now();
    Instant first{};
    for (const TargetRecord *record : targetsOf(call.node, call.service)) {
        const Instant until = pausedUntil(call.node, record->entry.id, now);
        if (until != Instant{} && (first == Instant{} || until < first))
            first = until;
    }
    return first == Instant{} ? longRetryAfter : first - now;
}

/** Refuses a call that no engine accepts. */
LocalReply refuseWithoutEngine(const ActiveCall &call)
{
    if (!call.origin)
        return makeLocalReply(503, "no engine can be reached", retryAfterBackoff(call));
    call.node.metrics.add(Counter::ResumesWithoutEngine);
    return makeLocalReply(503, "no engine has the version that began the stream", longRetryAfter);
}

/** Age of this VM's figures on the load of engines, for the choice. */
Duration loadAge(const ActiveCall &call, Instant now)
{
    return shortestObjective(call) ? knownLoadAge(call.node, now) : loadReportAge(call.node);
}

/** The weights of the choice, with the prefill rate that this VM's calls have shown. */
EngineWeights currentWeights(const ActiveCall &call)
{
    EngineWeights weights = call.node.settings.weights;
    const auto rate = call.node.prefillRates.find(call.service);
    if (rate != call.node.prefillRates.end() && shortestObjective(call))
        weights.promptTokensPerMs = prefillRate(rate->second, weights.promptTokensPerMs);
    return weights;
}

std::vector<EngineView> engineViews(ActiveCall &call, const ServiceSpec &spec)
{
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    const ModelSpec *model = baseModel(*spec.engine);
    const int capacity = model != nullptr ? adapterCapacity(*spec.engine, *model) : 0;
    // Jitter up to the age of the load figures keeps VMs from all choosing the same engine.
    std::uniform_real_distribution<double> jitter(0, 1000 * toSeconds(loadAge(call, now)));
    const bool asked = shouldAskLeaseHolders(node, *call.route);
    std::vector<EngineView> views;
    for (const TargetRecord *listed : availableTargets(call, now)) {
        const TargetEntry &entry = listed->entry;
        TargetRuntime &runtime = runtimeOf(node, entry.id);
        const TargetUsage usage = totalLoad(node, entry.id);
        EngineView view;
        view.id = entry.id;
        view.hash = runtime.hash;
        view.slots = spec.engine->slots;
        view.kvTokens = spec.engine->kvTokens;
        view.resident = &runtime.resident;
        const std::optional<double> counted =
            asked ? reservedPrefillTokens(node, entry.id, now) : std::nullopt;
        view.waitingTokens = counted.value_or(usage.waitingTokens);
        view.heldTokens = usage.heldTokens;
        view.runs = usage.runs;
        view.shortObjectiveRuns = usage.shortObjectiveRuns;
        view.cachedTokens = cachedInEngine(call, entry, usage, spec.engine->kvTokens);
        view.usable = isUsable(node, entry.id, usage, now);
        view.hasModel = runtime.models.count(call.metadata.model) > 0;
        const EngineRecord *record = node.shared.engines.find(entry.id);
        view.warm = record != nullptr
            && hasHostCopy(runtime.copies, call.metadata.adapter,
                           HostRetention{record->copiesKept});
        view.loadMs = record == nullptr ? 0 : view.warm ? record->copyMs : record->fetchMs;
        view.fetchMs = record == nullptr ? 0 : record->fetchMs;
        view.incomingMs = incomingMs(call, entry.id, view.loadMs);
        view.idleSlots = idleSlotsAt(node, entry, usage, capacity);
        view.hasHolder = mayAskLoadFor(call, entry.id);
        view.jitterMs = counted ? 0 : jitter(node.random);
        views.push_back(std::move(view));
    }
    ignoreExcessiveEjections(views);
    return views;
}

/**
 * The next step of the call. An engine that refused it because its load was not done yet is about
 * to have the adapter; anywhere else it would be loaded again, and the lease holder would not learn
 * that it was missing. A load under way serves all calls of the adapter that can wait for it.
 */
EngineChoice nextEngine(const ActiveCall &call, const std::vector<EngineView> &views,
                        const EngineNeed &need, const EngineWeights &weights)
{
    for (std::size_t index = 0; index < views.size(); ++index) {
        const EngineView &view = views[index];
        if (view.id == call.adapterMissingAt && view.usable && view.hasHolder
            && !hasAdapter(view, need))
            return {EngineStep::Load, index};
    }
    const EngineChoice choice = chooseEngine(views, need, call.triedTargets, weights);
    if (choice.step != EngineStep::Load && choice.step != EngineStep::Full)
        return choice;
    const double maxWaitMs = 1000 * toSeconds(beginWaitLimit(call));
    const auto incoming = chooseLoadingEngine(views, need, call.triedTargets, weights, maxWaitMs);
    return incoming ? EngineChoice{EngineStep::Load, *incoming} : choice;
}

asio::awaitable<Placement> placeOnEngine(ActiveCall &call, const ServiceSpec &spec)
{
    GatewayNode &node = call.node;
    if (call.prefixes.empty())
        call.prefixes =
            promptPrefixes(call.metadata.adapter, call.metadata.prompt, call.metadata.promptTokens);
    EngineNeed need;
    need.adapter = call.metadata.adapter;
    need.version = versionInForce(node, need.adapter);
    need.promptTokens = call.metadata.promptTokens;
    need.outputTokens = call.metadata.maxOutputTokens;
    need.objectives.firstEventMs = 1000 * toSeconds(call.route->latencyObjective);
    need.objectives.pauseMs = 1000 * toSeconds(call.route->gapObjective);
    if (const auto shortest = shortestObjective(call))
        need.shortestObjectiveMs = 1000 * toSeconds(*shortest);
    startCapacityWait(call);
    Placement placement;
    while (!call.cancelled()) {
        const std::vector<EngineView> views = engineViews(call, spec);
        need.stateAgeMs = 1000 * toSeconds(loadAge(call, BootClock::now()));
        need.mayCopyEarly = call.loadDeclinedBy.empty();
        const EngineWeights weights = currentWeights(call);
        const EngineChoice choice = nextEngine(call, views, need, weights);
        if (choice.step == EngineStep::None) {
            placement.refusal = refuseWithoutEngine(call);
            co_return placement;
        }
        if (BootClock::now() >= call.capacityWait.deadline && choice.step != EngineStep::Send) {
            const bool anyCommandable =
                std::any_of(views.begin(), views.end(), [&node](const EngineView &view) {
                    return view.usable && canCommand(node, view.id);
                });
            placement.refusal = anyCommandable
                ? refuseForCapacity(call, "no engine has room")
                : makeLocalReply(503, "no engine has a reachable lease holder", longRetryAfter);
            co_return placement;
        }
        const bool allDeclined = call.loadDeclinedBy.size() >= maxDeclines;
        const bool wait =
            choice.step == EngineStep::Full || (choice.step == EngineStep::Load && allDeclined);
        if (wait) {
            call.loadDeclinedBy.clear();
            std::optional<LocalReply> refusal = co_await waitForCapacity(call, spec);
            if (!refusal)
                continue;
            placement.refusal = std::move(*refusal);
            co_return placement;
        }
        const std::string id = views[choice.engine].id;
        call.forecastAt = BootClock::now();
        call.forecast = fromSeconds(
            forecastMs(views[choice.engine], need, weights, choice.step == EngineStep::Send)
            / 1000);
        if (choice.step == EngineStep::Load) {
            const bool missed = call.adapterMissingAt == id;
            const bool acceptable =
                missed || co_await reservePrefill(call, views[choice.engine], PrefillStep::Load);
            if (!acceptable)
                continue;
            ++call.loads;
            LoadLimits limits;
            limits.whole = timeLeft(call);
            limits.begin = beginWaitLimit(call);
            limits.rank = call.route->priority;
            const bool loaded = co_await requestLoad(node, id, call.metadata.model, need.adapter,
                                                     need.version, missed, limits);
            if (missed)
                call.adapterMissingAt.clear();
            if (!loaded) {
                call.loadDeclinedBy.push_back(id);
                continue;
            }
        }
        const PrefillStep sendStep =
            choice.step == EngineStep::Send ? PrefillStep::Send : PrefillStep::SendLoaded;
        const bool reserved = co_await reservePrefill(call, views[choice.engine], sendStep);
        if (!reserved)
            continue;
        const auto record = node.targetTable.records.find(id);
        const bool mayTake =
            record != node.targetTable.records.end() && mayTakeWork(record->second);
        if (!mayTake || !acceptsCalls(node, id, BootClock::now()))
            continue;
        // During the load, an update may have shown that it restarted as another version.
        std::vector<const TargetRecord *> chosen{&record->second};
        keepCompatibleTargets(call, chosen);
        if (chosen.empty())
            continue;
        placement.target = record->second.entry;
        recordPlacement(call);
        co_return placement;
    }
    placement.refusal =
        makeLocalReply(503, "deadline exceeded before an engine was found", shortRetryAfter);
    co_return placement;
}

Placement placeOnPlain(ActiveCall &call)
{
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    std::vector<PlainTargetView> views;
    for (const TargetRecord *record : availableTargets(call, now)) {
        PlainTargetView view;
        view.id = record->entry.id;
        view.zone = record->entry.zone;
        view.slots = record->entry.slots;
        view.runs = runtimeOf(node, view.id).ownUsage.runs;
        view.usable = isUsable(node, view.id, totalLoad(node, view.id), now);
        views.push_back(std::move(view));
    }
    ignoreExcessiveEjections(views);
    Placement placement;
    const auto chosen =
        choosePlainTarget(views, node.settings.zone, call.triedTargets, node.random());
    if (!chosen) {
        placement.refusal =
            makeLocalReply(503, "no target can be reached", retryAfterBackoff(call));
        return placement;
    }
    placement.target = node.targetTable.records.at(views[*chosen].id).entry;
    return placement;
}

} // namespace

asio::awaitable<Placement> placeCall(ActiveCall &call)
{
    const ServiceSpec *spec = call.routes->findService(call.service);
    Placement placement;
    if (spec != nullptr && spec->engine)
        placement = co_await placeOnEngine(call, *spec);
    else
        placement = placeOnPlain(call);
    // Counted before it is sent: other calls are placed while the connection is made.
    if (placement.target)
        recordSent(runtimeOf(call.node, placement.target->id).limit, BootClock::now());
    co_return placement;
}

InFlightGuard::InFlightGuard(ActiveCall &call, const std::string &target)
    : call(call)
    , target(target)
    , runtime(runtimeOf(call.node, target))
    , adapter(call.metadata.adapter)
    , prompt(call, target, BootClock::now())
    , waiting(call.metadata.promptTokens - call.cachedTokens)
    , held(call.metadata.promptTokens + call.metadata.maxOutputTokens)
    , shortObjectiveRuns(shortestObjective(call) == call.route->latencyObjective ? 1 : 0)
    , waitingBefore(
          call.node.settings.placement.forecast ? totalLoad(call.node, target).waitingTokens : 0)
    , sentAt(BootClock::now())
{
    this->runtime.ownUsage.runs += 1;
    this->runtime.ownUsage.waitingTokens += this->waiting;
    this->runtime.ownUsage.heldTokens += this->held;
    this->runtime.ownUsage.shortObjectiveRuns += this->shortObjectiveRuns;
    if (this->adapter.empty())
        return;
    if (++this->runtime.ownAdapterRuns[this->adapter] == 1)
        markRunsChanged(call.node, this->target);
}

InFlightGuard::~InFlightGuard()
{
    this->runtime.ownUsage.waitingTokens -= this->waiting;
    this->runtime.ownUsage.runs -= 1;
    this->runtime.ownUsage.heldTokens -= this->held;
    this->runtime.ownUsage.shortObjectiveRuns -= this->shortObjectiveRuns;
    if (this->adapter.empty())
        return;
    const auto runs = this->runtime.ownAdapterRuns.find(this->adapter);
    if (--runs->second > 0)
        return;
    this->runtime.ownAdapterRuns.erase(runs);
    markRunsChanged(this->call.node, this->target);
}

void InFlightGuard::recordFirstEvent()
{
    if (std::exchange(this->firstEventSeen, true))
        return;
    const Instant now = BootClock::now();
    GatewayNode &node = this->call.node;
    if (node.settings.placement.forecast)
        addPrefillSample(node.prefillRates[this->call.service],
                         {this->waiting, this->waitingBefore, now - this->sentAt}, now);
    if (this->call.forecast > Duration::zero()) {
        const double missed = toSeconds(now - this->call.forecastAt - this->call.forecast);
        node.metrics.record(Timing::ForecastError, std::abs(missed));
    }
    this->runtime.ownUsage.waitingTokens -= this->waiting;
    this->waiting = 0;
    this->prompt.recordFirstEvent(BootClock::now());
}

} // namespace monsoonbay
