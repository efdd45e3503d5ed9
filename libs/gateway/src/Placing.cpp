#include "Placing.h"

#include <algorithm>

#include "EngineOrders.h"
#include "LeaseKeeping.h"
#include "PrefillReserving.h"
#include "RelayLoops.h"
#include "TargetWords.h"
#include "UseNotes.h"
#include "serving/PlainChoice.h"

namespace monsoonbay {

namespace {

/**
 * A call waits for its place for this share of its latency objective at most, and of the time that
 * its caller has left; then it is refused while the caller can still come back. On crowded days
 * what is held longer is mostly answered late or not at all, and keeps others waiting: against two
 * seconds for all, callers' benefit rose from 0.584 to 0.594 of what is owed (Bavaria, mean of 18
 * heavy days, a day's spread 0.05).
 */
constexpr double objectiveShare = 0.7;
constexpr double timeLeftShare = 0.35;
/** For routes that name no objective. */
constexpr Duration leastPlacePatience = std::chrono::milliseconds(300);
/** For a call whose patience is nearly over: an engine that is not busy still takes its load. */
constexpr Duration leastBeginWait = std::chrono::milliseconds(20);
/** Engines in a row that decline a load at once; then all are taken as busy for a moment. */
constexpr std::size_t mostDeclines = 6;
constexpr Duration roomLook = std::chrono::milliseconds(40);

/** Callers of refused calls come back after about a load's time. */
constexpr Duration comeBackSoon = std::chrono::milliseconds(300);
/** Without any target: entries are listed again within seconds. */
constexpr Duration comeBackLater = std::chrono::milliseconds(800);

/** Parts of prompts that are remembered for an engine; about twice what its memory can hold. */
constexpr std::size_t mostCachedParts = 256;

std::string partKey(const CallRun &run, const PromptPart &part)
{
    return run.facts.adapter + "|" + part.id;
}

/** Tokens at the beginning of the call's prompt that own calls have had read there before. */
double cachedTokens(const CallRun &run, const TargetRuntime &runtime)
{
    double tokens = 0;
    for (const PromptPart &part : run.facts.prompt) {
        if (runtime.cachedParts.count(partKey(run, part)) == 0)
            return tokens;
        tokens += part.tokens;
    }
    return tokens;
}

void rememberParts(const CallRun &run, TargetRuntime &runtime)
{
    // What an engine keeps is not known exactly; starting anew now and then only costs estimates.
    if (runtime.cachedParts.size() > mostCachedParts)
        runtime.cachedParts.clear();
    for (const PromptPart &part : run.facts.prompt)
        runtime.cachedParts.insert(partKey(run, part));
}

bool isUsable(GatewayNode &node, const std::string &target, const TargetUse &all, Instant now)
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

/** Slots of an engine that could take another adapter, as far as is known here. */
int idleSlotsAt(GatewayNode &node, const TargetEntry &entry, const TargetUse &use, int capacity)
{
    const auto desk = node.desks.find(entry.id);
    if (desk != node.desks.end() && desk->second->desk.sequence >= 0 && mayOrderNow(node, entry.id))
        return idleSlots(desk->second->desk, BootClock::now());
    return capacity - use.busySlots;
}

/** Targets of the call's service that take calls of this VM now. */
std::vector<const TargetRecord *> takingTargets(const CallRun &run, Instant now)
{
    std::vector<const TargetRecord *> targets = targetsOf(run.node, run.service);
    std::erase_if(targets, [&](const TargetRecord *record) {
        return !takesCalls(run.node, record->entry.id, now);
    });
    return targets;
}

/** For a call that no target can take: when the first will that named a time, if any did. */
Duration comeBackWhenTaken(const CallRun &run)
{
    const Instant now = BootClock::now();
    Instant first{};
    for (const TargetRecord *record : targetsOf(run.node, run.service)) {
        const Instant until = wantsNothingUntil(run.node, record->entry.id, now);
        if (until != Instant{} && (first == Instant{} || until < first))
            first = until;
    }
    return first == Instant{} ? comeBackLater : first - now;
}

std::vector<EngineView> engineViews(CallRun &run, const ServiceSpec &spec)
{
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    const ModelSpec *model = baseModel(*spec.engine);
    const int capacity = model != nullptr ? adapterCapacity(*spec.engine, *model) : 0;
    // See calls_do_not_follow_old_news_all_to_the_same_engine: with 195 VMs it takes late calls
    // from 20 to 18 in 100 on a heavy day (one play each).
    std::uniform_real_distribution<double> doubt(0, 1000 * toSeconds(loadNewsAge(node)));
    const bool asked = asksHolders(node, *run.route);
    std::vector<EngineView> views;
    for (const TargetRecord *listed : takingTargets(run, now)) {
        const TargetEntry &entry = listed->entry;
        TargetRuntime &runtime = runtimeOf(node, entry.id);
        const TargetUse use = totalLoad(node, entry.id);
        EngineView view;
        view.id = entry.id;
        view.hash = runtime.hash;
        view.slots = spec.engine->slots;
        view.kvTokens = spec.engine->kvTokens;
        view.resident = &runtime.resident;
        view.waitingTokens = asked ? countedTokens(node, entry.id, now).value_or(use.waitingTokens)
                                   : use.waitingTokens;
        view.heldTokens = use.heldTokens;
        view.runs = use.runs;
        view.cachedTokens = cachedTokens(run, runtime);
        view.usable = isUsable(node, entry.id, use, now);
        view.hasModel = runtime.models.count(run.facts.model) > 0;
        const EngineRecord *record = node.facts.engines.find(entry.id);
        view.warm = record != nullptr
            && hasHostCopy(runtime.copies, run.facts.adapter, HostMemory{record->copiesKept});
        view.loadMs = record == nullptr ? 0 : view.warm ? record->copyMs : record->fetchMs;
        view.fetchMs = record == nullptr ? 0 : record->fetchMs;
        view.idleSlots = idleSlotsAt(node, entry, use, capacity);
        view.hasHolder = isOrderable(node, entry.id)
            && std::find(run.unloadable.begin(), run.unloadable.end(), entry.id)
                == run.unloadable.end();
        view.doubtMs = doubt(node.random);
        views.push_back(std::move(view));
    }
    keepSomeUsable(views);
    return views;
}

Duration placePatience(const CallRun &run)
{
    const double objective = toSeconds(run.route->latencyObjective) * objectiveShare;
    const double left = toSeconds(timeLeft(run)) * timeLeftShare;
    return std::min(std::max(fromSeconds(objective), leastPlacePatience), fromSeconds(left));
}

/**
 * Where the call goes next. An engine that refused it because its load was not done yet is about to
 * have the adapter; anywhere else it would be loaded anew, and the holder would not learn of it.
 */
EngineChoice nextEngine(const CallRun &run, const std::vector<EngineView> &views,
                        const EngineNeed &need)
{
    for (std::size_t index = 0; index < views.size(); ++index) {
        const EngineView &view = views[index];
        if (view.id == run.missedAt && view.usable && view.hasHolder && !hasAdapter(view, need))
            return {EngineStep::Load, index};
    }
    return chooseEngine(views, need, run.tried, run.node.settings.weights);
}

asio::awaitable<Placement> placeOnEngine(CallRun &run, const ServiceSpec &spec)
{
    GatewayNode &node = run.node;
    EngineNeed need;
    need.adapter = run.facts.adapter;
    need.version = versionInForce(node, need.adapter);
    need.promptTokens = run.facts.promptTokens;
    need.outputTokens = run.facts.maxOutputTokens;
    need.objectives.firstEventMs = 1000 * toSeconds(run.route->latencyObjective);
    need.objectives.pauseMs = 1000 * toSeconds(run.route->gapObjective);
    const Instant refuseAt = BootClock::now() + placePatience(run);
    Placement placement;
    while (!run.cancelled()) {
        const std::vector<EngineView> views = engineViews(run, spec);
        const EngineChoice choice = nextEngine(run, views, need);
        if (choice.step == EngineStep::None) {
            placement.refusal = ownAnswer(503, "no engine can be reached", comeBackWhenTaken(run));
            co_return placement;
        }
        if (BootClock::now() >= refuseAt && choice.step != EngineStep::Send) {
            const bool anyOrderable =
                std::any_of(views.begin(), views.end(),
                            [](const EngineView &view) { return view.usable && view.hasHolder; });
            placement.refusal = anyOrderable
                ? ownAnswer(503, "no engine has room", comeBackSoon)
                : ownAnswer(503, "no engine may be ordered", comeBackLater);
            co_return placement;
        }
        const bool noneTakesIt = run.unloadable.size() >= mostDeclines;
        const bool wait =
            choice.step == EngineStep::Full || (choice.step == EngineStep::Load && noneTakesIt);
        if (wait) {
            run.unloadable.clear();
            co_await node.engineChanged.wait(roomLook);
            continue;
        }
        const std::string id = views[choice.engine].id;
        if (choice.step == EngineStep::Load) {
            const bool missed = run.missedAt == id;
            const bool bearable =
                missed || co_await reservePrefill(run, views[choice.engine], PrefillStep::Load);
            if (!bearable)
                continue;
            ++run.loads;
            LoadPatience patience;
            patience.whole = timeLeft(run);
            patience.begin = std::max(refuseAt - BootClock::now(), leastBeginWait);
            const bool loaded = co_await askLoad(node, id, run.facts.model, need.adapter,
                                                 need.version, missed, patience);
            if (missed)
                run.missedAt.clear();
            if (!loaded) {
                run.unloadable.push_back(id);
                continue;
            }
        }
        const PrefillStep sendStep =
            choice.step == EngineStep::Send ? PrefillStep::Send : PrefillStep::SendLoaded;
        const bool reserved = co_await reservePrefill(run, views[choice.engine], sendStep);
        if (!reserved)
            continue;
        const auto record = node.book.records.find(id);
        const bool mayTake = record != node.book.records.end() && mayTakeWork(record->second);
        if (!mayTake || !takesCalls(node, id, BootClock::now()))
            continue;
        placement.target = record->second.entry;
        co_return placement;
    }
    placement.refusal = ownAnswer(503, "the time ran out before an engine was found", comeBackSoon);
    co_return placement;
}

Placement placeOnPlain(CallRun &run)
{
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    std::vector<PlainView> views;
    for (const TargetRecord *record : takingTargets(run, now)) {
        PlainView view;
        view.id = record->entry.id;
        view.zone = record->entry.zone;
        view.slots = record->entry.slots;
        view.runs = runtimeOf(node, view.id).own.runs;
        view.usable = isUsable(node, view.id, totalLoad(node, view.id), now);
        views.push_back(std::move(view));
    }
    keepSomeUsable(views);
    Placement placement;
    const auto chosen = choosePlain(views, node.settings.zone, run.tried, node.random());
    if (!chosen) {
        placement.refusal = ownAnswer(503, "no target can be reached", comeBackWhenTaken(run));
        return placement;
    }
    placement.target = node.book.records.at(views[*chosen].id).entry;
    return placement;
}

} // namespace

asio::awaitable<Placement> placeCall(CallRun &run)
{
    const ServiceSpec *spec = run.routes->findService(run.service);
    Placement placement;
    if (spec != nullptr && spec->engine)
        placement = co_await placeOnEngine(run, *spec);
    else
        placement = placeOnPlain(run);
    // Counted before it is sent: other calls are placed while a connection is made.
    if (placement.target)
        noteSent(runtimeOf(run.node, placement.target->id).limit, BootClock::now());
    co_return placement;
}

UseGuard::UseGuard(CallRun &run, const std::string &target)
    : run(run)
    , target(target)
    , runtime(runtimeOf(run.node, target))
    , adapter(run.facts.adapter)
    , waiting(run.facts.promptTokens - cachedTokens(run, this->runtime))
    , held(run.facts.promptTokens + run.facts.maxOutputTokens)
{
    this->runtime.own.runs += 1;
    this->runtime.own.waitingTokens += this->waiting;
    this->runtime.own.heldTokens += this->held;
    if (this->adapter.empty())
        return;
    if (++this->runtime.ownAdapterRuns[this->adapter] == 1)
        noteRunsChanged(run.node, this->target);
}

UseGuard::~UseGuard()
{
    this->runtime.own.waitingTokens -= this->waiting;
    this->runtime.own.runs -= 1;
    this->runtime.own.heldTokens -= this->held;
    if (this->adapter.empty())
        return;
    const auto runs = this->runtime.ownAdapterRuns.find(this->adapter);
    if (--runs->second > 0)
        return;
    this->runtime.ownAdapterRuns.erase(runs);
    noteRunsChanged(this->run.node, this->target);
}

void UseGuard::noteFirstEvent()
{
    if (this->waiting == 0)
        return;
    this->runtime.own.waitingTokens -= this->waiting;
    this->waiting = 0;
    rememberParts(this->run, this->runtime);
}

} // namespace monsoonbay
