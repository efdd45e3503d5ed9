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

/** For a call whose patience is nearly over: an engine that is not busy still takes its load. */
constexpr Duration leastBeginWait = std::chrono::milliseconds(20);
/** Engines in a row that decline a load at once; then all are taken as busy for a moment. */
constexpr std::size_t mostDeclines = 6;

/** Callers of refused calls come back after about a load's time. */
constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);
/** Without any target: entries are listed again within seconds. */
constexpr Duration longRetryAfter = std::chrono::milliseconds(800);

bool isUsable(GatewayNode &node, const std::string &target, const TargetUsage &all, Instant now)
{
    return !isEjected(runtimeOf(node, target).health, now) && !isFailing(all);
}

/** True if ejections leave too few targets: then they are set aside rather than the callers. */
template <typename Views> void keepSomeUsable(Views &views)
{
    const auto usable =
        std::count_if(views.begin(), views.end(), [](const auto &view) { return view.usable; });
    if (static_cast<std::size_t>(usable) * 2 >= views.size())
        return;
    for (auto &view : views)
        view.usable = true;
}

/** How long the call has for a load to begin. */
Duration beginPatience(const ActiveCall &run)
{
    return std::max(run.capacityWait.softDeadline - BootClock::now(), leastBeginWait);
}

bool wasDeclined(const ActiveCall &run, const std::string &target)
{
    return std::find(run.loadDeclinedBy.begin(), run.loadDeclinedBy.end(), target)
        != run.loadDeclinedBy.end();
}

/** Shortest objective of the routes to the service; nothing: all are alike, or no forecasts. */
std::optional<Duration> shortestObjective(const ActiveCall &run)
{
    if (!run.node.settings.placement.forecast)
        return std::nullopt;
    return run.routes->shortestObjective(run.service);
}

/** True if a load for the call may be asked for there. */
bool mayAskLoadFor(const ActiveCall &run, const std::string &target)
{
    if (wasDeclined(run, target))
        return false;
    // Its holder has to hear that the adapter is not there, whatever it said before.
    return run.adapterMissingAt == target ? canCommand(run.node, target)
                                          : mayRequestLoad(run.node, target, beginPatience(run));
}

/** Time until the call's adapter is there by a load under way; below 0: none is waited for. */
double incomingMs(const ActiveCall &run, const std::string &target, double loadMs)
{
    if (!run.node.settings.placement.awaitLoads)
        return -1;
    if (run.facts.adapter.empty() || wasDeclined(run, target))
        return -1;
    const auto incoming =
        loadUnderWay(run.node, target, run.facts.adapter, fromSeconds(loadMs / 1000));
    return incoming ? 1000 * toSeconds(*incoming) : -1;
}

/** Targets of the call's service that take calls of this VM now. */
std::vector<const TargetRecord *> takingTargets(ActiveCall &run, Instant now)
{
    std::vector<const TargetRecord *> targets = targetsOf(run.node, run.service);
    std::erase_if(targets, [&](const TargetRecord *record) {
        return !takesCalls(run.node, record->entry.id, now);
    });
    keepCompatibleTargets(run, targets);
    return targets;
}

/** For a call that no target can take: when the first will that named a time, if any did. */
Duration comeBackWhenTaken(const ActiveCall &run)
{
    const Instant now = BootClock::now();
    Instant first{};
    for (const TargetRecord *record : targetsOf(run.node, run.service)) {
        const Instant until = pausedUntil(run.node, record->entry.id, now);
        if (until != Instant{} && (first == Instant{} || until < first))
            first = until;
    }
    return first == Instant{} ? longRetryAfter : first - now;
}

/** For a call that no engine takes at all. */
LocalReply refuseWithoutEngine(const ActiveCall &run)
{
    if (!run.origin)
        return makeLocalReply(503, "no engine can be reached", comeBackWhenTaken(run));
    run.node.metrics.add(Counter::ResumesWithoutEngine);
    return makeLocalReply(503, "no engine has the version that began the stream", longRetryAfter);
}

/** Age of what this VM knows of the load of engines, for the choice. */
Duration loadAge(const ActiveCall &run, Instant now)
{
    return shortestObjective(run) ? knownLoadAge(run.node, now) : loadReportAge(run.node);
}

/** The weights of the choice, by the pace that own calls have shown. */
EngineWeights weightsNow(const ActiveCall &run)
{
    EngineWeights weights = run.node.settings.weights;
    const auto pace = run.node.prefillPaces.find(run.service);
    if (pace != run.node.prefillPaces.end() && shortestObjective(run))
        weights.promptTokensPerMs = prefillRate(pace->second, weights.promptTokensPerMs);
    return weights;
}

std::vector<EngineView> engineViews(ActiveCall &run, const ServiceSpec &spec)
{
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    const ModelSpec *model = baseModel(*spec.engine);
    const int capacity = model != nullptr ? adapterCapacity(*spec.engine, *model) : 0;
    // Up to the age of the news, chance keeps VMs from all choosing the same engine.
    std::uniform_real_distribution<double> doubt(0, 1000 * toSeconds(loadAge(run, now)));
    const bool asked = shouldAskLeaseHolders(node, *run.route);
    std::vector<EngineView> views;
    for (const TargetRecord *listed : takingTargets(run, now)) {
        const TargetEntry &entry = listed->entry;
        TargetRuntime &runtime = runtimeOf(node, entry.id);
        const TargetUsage use = totalLoad(node, entry.id);
        EngineView view;
        view.id = entry.id;
        view.hash = runtime.hash;
        view.slots = spec.engine->slots;
        view.kvTokens = spec.engine->kvTokens;
        view.resident = &runtime.resident;
        const std::optional<double> counted =
            asked ? reservedPrefillTokens(node, entry.id, now) : std::nullopt;
        view.waitingTokens = counted.value_or(use.waitingTokens);
        view.heldTokens = use.heldTokens;
        view.runs = use.runs;
        view.shortObjectiveRuns = use.shortObjectiveRuns;
        view.cachedTokens = cachedInEngine(run, entry, use, spec.engine->kvTokens);
        view.usable = isUsable(node, entry.id, use, now);
        view.hasModel = runtime.models.count(run.facts.model) > 0;
        const EngineRecord *record = node.shared.engines.find(entry.id);
        view.warm = record != nullptr
            && hasHostCopy(runtime.copies, run.facts.adapter, HostRetention{record->copiesKept});
        view.loadMs = record == nullptr ? 0 : view.warm ? record->copyMs : record->fetchMs;
        view.fetchMs = record == nullptr ? 0 : record->fetchMs;
        view.incomingMs = incomingMs(run, entry.id, view.loadMs);
        view.idleSlots = idleSlotsAt(node, entry, use, capacity);
        view.hasHolder = mayAskLoadFor(run, entry.id);
        view.jitterMs = counted ? 0 : doubt(node.random);
        views.push_back(std::move(view));
    }
    keepSomeUsable(views);
    return views;
}

/**
 * Where the call goes next. An engine that refused it because its load was not done yet is about to
 * have the adapter; anywhere else it would be loaded anew, and the holder would not learn of it. A
 * load that is under way serves all who want the adapter, if they can wait for it.
 */
EngineChoice nextEngine(const ActiveCall &run, const std::vector<EngineView> &views,
                        const EngineNeed &need, const EngineWeights &weights)
{
    for (std::size_t index = 0; index < views.size(); ++index) {
        const EngineView &view = views[index];
        if (view.id == run.adapterMissingAt && view.usable && view.hasHolder
            && !hasAdapter(view, need))
            return {EngineStep::Load, index};
    }
    const EngineChoice choice = chooseEngine(views, need, run.triedTargets, weights);
    if (choice.step != EngineStep::Load && choice.step != EngineStep::Full)
        return choice;
    const double patienceMs = 1000 * toSeconds(beginPatience(run));
    const auto incoming = chooseLoadingEngine(views, need, run.triedTargets, weights, patienceMs);
    return incoming ? EngineChoice{EngineStep::Load, *incoming} : choice;
}

asio::awaitable<Placement> placeOnEngine(ActiveCall &run, const ServiceSpec &spec)
{
    GatewayNode &node = run.node;
    if (run.prefixes.empty())
        run.prefixes = promptPrefixes(run.facts.adapter, run.facts.prompt, run.facts.promptTokens);
    EngineNeed need;
    need.adapter = run.facts.adapter;
    need.version = versionInForce(node, need.adapter);
    need.promptTokens = run.facts.promptTokens;
    need.outputTokens = run.facts.maxOutputTokens;
    need.objectives.firstEventMs = 1000 * toSeconds(run.route->latencyObjective);
    need.objectives.pauseMs = 1000 * toSeconds(run.route->gapObjective);
    if (const auto quickest = shortestObjective(run))
        need.shortestObjectiveMs = 1000 * toSeconds(*quickest);
    startCapacityWait(run);
    Placement placement;
    while (!run.cancelled()) {
        const std::vector<EngineView> views = engineViews(run, spec);
        need.stateAgeMs = 1000 * toSeconds(loadAge(run, BootClock::now()));
        need.mayCopyEarly = run.loadDeclinedBy.empty();
        const EngineWeights weights = weightsNow(run);
        const EngineChoice choice = nextEngine(run, views, need, weights);
        if (choice.step == EngineStep::None) {
            placement.refusal = refuseWithoutEngine(run);
            co_return placement;
        }
        if (BootClock::now() >= run.capacityWait.deadline && choice.step != EngineStep::Send) {
            const bool anyOrderable =
                std::any_of(views.begin(), views.end(), [&node](const EngineView &view) {
                    return view.usable && canCommand(node, view.id);
                });
            placement.refusal = anyOrderable
                ? refuseForCapacity(run, "no engine has room")
                : makeLocalReply(503, "no engine may be ordered", longRetryAfter);
            co_return placement;
        }
        const bool noneTakesIt = run.loadDeclinedBy.size() >= mostDeclines;
        const bool wait =
            choice.step == EngineStep::Full || (choice.step == EngineStep::Load && noneTakesIt);
        if (wait) {
            run.loadDeclinedBy.clear();
            std::optional<LocalReply> refusal = co_await waitForCapacity(run, spec);
            if (!refusal)
                continue;
            placement.refusal = std::move(*refusal);
            co_return placement;
        }
        const std::string id = views[choice.engine].id;
        run.forecastAt = BootClock::now();
        run.forecast = fromSeconds(
            forecastMs(views[choice.engine], need, weights, choice.step == EngineStep::Send)
            / 1000);
        if (choice.step == EngineStep::Load) {
            const bool missed = run.adapterMissingAt == id;
            const bool bearable =
                missed || co_await reservePrefill(run, views[choice.engine], PrefillStep::Load);
            if (!bearable)
                continue;
            ++run.loads;
            LoadLimits patience;
            patience.whole = timeLeft(run);
            patience.begin = beginPatience(run);
            patience.rank = run.route->priority;
            const bool loaded = co_await requestLoad(node, id, run.facts.model, need.adapter,
                                                     need.version, missed, patience);
            if (missed)
                run.adapterMissingAt.clear();
            if (!loaded) {
                run.loadDeclinedBy.push_back(id);
                continue;
            }
        }
        const PrefillStep sendStep =
            choice.step == EngineStep::Send ? PrefillStep::Send : PrefillStep::SendLoaded;
        const bool reserved = co_await reservePrefill(run, views[choice.engine], sendStep);
        if (!reserved)
            continue;
        const auto record = node.targetTable.records.find(id);
        const bool mayTake =
            record != node.targetTable.records.end() && mayTakeWork(record->second);
        if (!mayTake || !takesCalls(node, id, BootClock::now()))
            continue;
        // What was heard while it loaded may be that it came back as another version.
        std::vector<const TargetRecord *> chosen{&record->second};
        keepCompatibleTargets(run, chosen);
        if (chosen.empty())
            continue;
        placement.target = record->second.entry;
        recordPlacement(run);
        co_return placement;
    }
    placement.refusal =
        makeLocalReply(503, "the time ran out before an engine was found", shortRetryAfter);
    co_return placement;
}

Placement placeOnPlain(ActiveCall &run)
{
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    std::vector<PlainTargetView> views;
    for (const TargetRecord *record : takingTargets(run, now)) {
        PlainTargetView view;
        view.id = record->entry.id;
        view.zone = record->entry.zone;
        view.slots = record->entry.slots;
        view.runs = runtimeOf(node, view.id).ownUsage.runs;
        view.usable = isUsable(node, view.id, totalLoad(node, view.id), now);
        views.push_back(std::move(view));
    }
    keepSomeUsable(views);
    Placement placement;
    const auto chosen =
        choosePlainTarget(views, node.settings.zone, run.triedTargets, node.random());
    if (!chosen) {
        placement.refusal = makeLocalReply(503, "no target can be reached", comeBackWhenTaken(run));
        return placement;
    }
    placement.target = node.targetTable.records.at(views[*chosen].id).entry;
    return placement;
}

} // namespace

asio::awaitable<Placement> placeCall(ActiveCall &run)
{
    const ServiceSpec *spec = run.routes->findService(run.service);
    Placement placement;
    if (spec != nullptr && spec->engine)
        placement = co_await placeOnEngine(run, *spec);
    else
        placement = placeOnPlain(run);
    // Counted before it is sent: other calls are placed while a connection is made.
    if (placement.target)
        recordSent(runtimeOf(run.node, placement.target->id).limit, BootClock::now());
    co_return placement;
}

InFlightGuard::InFlightGuard(ActiveCall &run, const std::string &target)
    : run(run)
    , target(target)
    , runtime(runtimeOf(run.node, target))
    , adapter(run.facts.adapter)
    , prompt(run, target, BootClock::now())
    , waiting(run.facts.promptTokens - run.cachedTokens)
    , held(run.facts.promptTokens + run.facts.maxOutputTokens)
    , quick(shortestObjective(run) == run.route->latencyObjective ? 1 : 0)
    , waitingBefore(run.node.settings.placement.forecast ? totalLoad(run.node, target).waitingTokens
                                                         : 0)
    , sentAt(BootClock::now())
{
    this->runtime.ownUsage.runs += 1;
    this->runtime.ownUsage.waitingTokens += this->waiting;
    this->runtime.ownUsage.heldTokens += this->held;
    this->runtime.ownUsage.shortObjectiveRuns += this->quick;
    if (this->adapter.empty())
        return;
    if (++this->runtime.ownAdapterRuns[this->adapter] == 1)
        markRunsChanged(run.node, this->target);
}

InFlightGuard::~InFlightGuard()
{
    this->runtime.ownUsage.waitingTokens -= this->waiting;
    this->runtime.ownUsage.runs -= 1;
    this->runtime.ownUsage.heldTokens -= this->held;
    this->runtime.ownUsage.shortObjectiveRuns -= this->quick;
    if (this->adapter.empty())
        return;
    const auto runs = this->runtime.ownAdapterRuns.find(this->adapter);
    if (--runs->second > 0)
        return;
    this->runtime.ownAdapterRuns.erase(runs);
    markRunsChanged(this->run.node, this->target);
}

void InFlightGuard::noteFirstEvent()
{
    if (std::exchange(this->firstEventSeen, true))
        return;
    const Instant now = BootClock::now();
    GatewayNode &node = this->run.node;
    if (node.settings.placement.forecast)
        addPrefillSample(node.prefillPaces[this->run.service],
                         {this->waiting, this->waitingBefore, now - this->sentAt}, now);
    if (this->run.forecast > Duration::zero()) {
        const double missed = toSeconds(now - this->run.forecastAt - this->run.forecast);
        node.metrics.record(Timing::ForecastError, std::abs(missed));
    }
    this->runtime.ownUsage.waitingTokens -= this->waiting;
    this->waiting = 0;
    this->prompt.noteFirstEvent(BootClock::now());
}

} // namespace monsoonbay
