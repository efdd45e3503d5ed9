#include "LinkWatch.h"

#include <algorithm>

#include "LinkProbe.h"
#include "TargetPool.h"
#include "ZonePeers.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr Duration watchInterval = std::chrono::milliseconds(250);
constexpr Duration probeTimeout = std::chrono::milliseconds(250);

/** How long no further calls are offered to other VMs after none accepted one. */
constexpr Duration noPeerValidity = std::chrono::milliseconds(1000);

/** How long usage that was reported before a change of the relay counts for the check of links. */
constexpr Duration memoryOfOthers = std::chrono::milliseconds(3000);

/** Minimum interval between checks, as targets may be down for all VMs. */
constexpr Duration checkInterval = std::chrono::milliseconds(1000);

bool isAnyServiceLost(const GatewayNode &node)
{
    return std::any_of(node.serviceLinks.begin(), node.serviceLinks.end(),
                       [](const auto &entry) { return entry.second.lost; });
}

// The weight of good answers decays within some seconds. Failures that others report do not count:
// those VMs may be cut off as well.
bool othersReach(const GatewayNode &node, const std::string &target)
{
    if (othersUsageAt(node, target).successes > 0)
        return true;
    const FormerUsage &former = node.formerUsage;
    if (former.at == Instant{} || BootClock::now() - former.at > memoryOfOthers)
        return false;
    const auto found = former.targets.find(target);
    return found != former.targets.end() && found->second.successes > 0;
}

AwaitedAnswers awaitedAnswersOf(const GatewayNode &node, const std::string &service,
                                const std::string &target)
{
    const auto targets = node.awaitedAnswers.find(service);
    if (targets == node.awaitedAnswers.end())
        return {};
    const auto answers = targets->second.find(target);
    return answers != targets->second.end() ? answers->second : AwaitedAnswers();
}

LinkState linkStateOf(const GatewayNode &node, const std::string &target, Instant now)
{
    const auto runtime = node.targets.find(target);
    return runtime != node.targets.end() ? linkState(runtime->second->link, now)
                                         : LinkState::Unknown;
}

LinkCounts countLinks(const GatewayNode &node, const std::string &service, Instant now)
{
    LinkCounts counts;
    for (const TargetRecord *record : targetsOf(node, service)) {
        const std::string &id = record->entry.id;
        ++counts.listed;
        const LinkState state = linkStateOf(node, id, now);
        const AwaitedAnswers answers = awaitedAnswersOf(node, service, id);
        if (state == LinkState::Reached)
            ++counts.reached;
        else if (state == LinkState::Failed && othersReach(node, id))
            ++counts.failed;
        else if (isHeard(answers, now))
            ++counts.heard;
        else if (isSilent(answers, now) && othersReach(node, id))
            ++counts.silent;
    }
    counts.otherServiceLost = isAnyServiceLost(node);
    return counts;
}

bool isAnyHeard(const GatewayNode &node, const std::string &service, Instant now)
{
    const auto targets = node.awaitedAnswers.find(service);
    return targets != node.awaitedAnswers.end()
        && std::any_of(targets->second.begin(), targets->second.end(),
                       [now](const auto &entry) { return isHeard(entry.second, now); });
}

/** Targets to probe, drawn at random. */
struct ProbeSample
{
    std::vector<TargetEntry> first;
    std::vector<TargetEntry> second; ///< others, for a further round of the same size
};

ProbeSample drawSample(GatewayNode &node, std::vector<const TargetRecord *> targets)
{
    const std::size_t size = planProbes(liveGateways(node), targets.size()).targets;
    std::shuffle(targets.begin(), targets.end(), node.random);
    ProbeSample sample;
    for (const TargetRecord *target : targets) {
        if (sample.second.size() >= size)
            break;
        (sample.first.size() < size ? sample.first : sample.second).push_back(target->entry);
    }
    return sample;
}

std::vector<const TargetRecord *> targetsThatOthersReach(const GatewayNode &node,
                                                         const std::string &service)
{
    std::vector<const TargetRecord *> targets = targetsOf(node, service);
    std::erase_if(targets, [&node](const TargetRecord *target) {
        return !othersReach(node, target->entry.id);
    });
    return targets;
}

/** A round of concurrent probes. */
struct Probing
{
    explicit Probing(asio::io_context &context)
        : done(context)
    { }

    ProbeRound round;
    int ended = 0;
    Signal done;
};

asio::awaitable<void> probe(GatewayNode &node, TargetEntry target, std::shared_ptr<Probing> probing)
{
    const ProbeOutcome outcome = co_await probeTarget(node, target, probeTimeout);
    if (outcome.result == ProbeResult::Answered) {
        ++probing->round.reached;
        recordLinkSuccess(node, target.id);
    } else if (outcome.result == ProbeResult::Silent) {
        ++probing->round.silent;
    }
    if (++probing->ended == probing->round.tried)
        probing->done.notifyAll();
}

asio::awaitable<ProbeRound> probeAll(GatewayNode &node, std::vector<TargetEntry> targets)
{
    const auto probing = std::make_shared<Probing>(node.context);
    probing->round.tried = static_cast<int>(targets.size());
    for (const TargetEntry &target : targets)
        spawn(node, "probe a target", probe(node, target, probing));
    if (probing->ended < probing->round.tried)
        co_await probing->done.wait(2 * probeTimeout);
    co_return probing->round;
}

/** Drops what was observed of targets while the links were lost: it says nothing about them. */
void resetObservations(GatewayNode &node, const std::string &service)
{
    for (const TargetRecord *record : targetsOf(node, service)) {
        TargetRuntime &runtime = runtimeOf(node, record->entry.id);
        runtime.health = TargetHealth();
        runtime.link = LinkObservation();
    }
    node.engineChanged.notifyAll();
}

/**
 * Links to the service were lost or are back. Open connections to engines may have survived a loss,
 * so each engine has to answer a report before it gets the next command of this VM.
 */
void recheckHeldEngines(GatewayNode &node, const std::string &service)
{
    for (const auto &[target, engine] : node.heldEngines) {
        const TargetEntry *entry = entryOf(node, target);
        if (entry == nullptr || entry->service != service)
            continue;
        invalidateSequence(engine->scheduler);
        engine->unreachable = false;
    }
}

asio::awaitable<void> probeLoop(GatewayNode &node, std::string service)
{
    while (!node.stopped && areLinksLost(node, service)) {
        const std::size_t listed = targetsOf(node, service).size();
        co_await pauseFor(node, planProbes(liveGateways(node), listed).interval);
        std::vector<const TargetRecord *> targets = targetsThatOthersReach(node, service);
        if (targets.empty())
            targets = targetsOf(node, service);
        const ProbeRound round = co_await probeAll(node, drawSample(node, targets).first);
        ServiceLinks &links = node.serviceLinks[service];
        links.partlyReached = round.reached > 0;
        if (!recordProbes(links, round, BootClock::now()))
            continue;
        resetObservations(node, service);
        recheckHeldEngines(node, service);
        logEvent(EventId::LinksBack,
                 {{"service", service}, {"lostMs", millisText(BootClock::now() - links.since)}});
        node.reportDue.notifyAll();
    }
}

/** Breaks off calls that wait for targets which have sent nothing since. */
void breakOffRepeatableCalls(GatewayNode &node, const std::string &service)
{
    for (const RepeatableCall &call : node.repeatableCalls[service]) {
        const TargetConnectionPtr connection = call.connection.lock();
        const bool heard = awaitedAnswersOf(node, service, call.target).heardAt >= call.since;
        if (connection && !heard)
            closeConnection(*connection);
    }
}

// A VM of a zone that is cut off reaches the targets of its zone, and one round may hit few of
// them.
asio::awaitable<ProbeRound> probeForLoss(GatewayNode &node, std::string service)
{
    const ProbeSample sample = drawSample(node, targetsThatOthersReach(node, service));
    const ProbeRound first = co_await probeAll(node, sample.first);
    if (first.reached == 0 || !confirmsLoss(first, Silence::IsLoss))
        co_return first;
    const ProbeRound second = co_await probeAll(node, sample.second);
    co_return ProbeRound{first.tried + second.tried, first.reached + second.reached,
                         first.silent + second.silent};
}

/** Probes targets to find out whether links that seem to be lost really are. */
asio::awaitable<void> checkLinks(GatewayNode &node, std::string service);

void beginCheck(GatewayNode &node, const std::string &service)
{
    const Instant now = BootClock::now();
    ServiceLinks &links = node.serviceLinks[service];
    const bool checked = links.checkedAt != Instant{} && now - links.checkedAt < checkInterval;
    if (links.lost || links.checking || checked)
        return;
    links.checking = true;
    links.checkedAt = now;
    spawn(node, "check links", checkLinks(node, service));
}

asio::awaitable<void> checkLinks(GatewayNode &node, std::string service)
{
    const LinkCounts counts = countLinks(node, service, BootClock::now());
    const ProbeRound round = co_await probeForLoss(node, service);
    ServiceLinks &links = node.serviceLinks[service];
    links.checking = false;
    // A target that is busy for all VMs lets probes wait as long as calls, but some calls answer.
    const bool heard = isAnyHeard(node, service, BootClock::now());
    const bool lost = confirmsLoss(round, heard ? Silence::ProvesNothing : Silence::IsLoss);
    logEvent(lost ? EventId::LinksLost : EventId::LinksFound,
             {{"service", service},
              {"listed", std::to_string(counts.listed)},
              {"failed", std::to_string(counts.failed)},
              {"heard", std::to_string(counts.heard)},
              {"silent", std::to_string(counts.silent)},
              {"probed", std::to_string(round.tried)},
              {"reached", std::to_string(round.reached)},
              {"silentProbes", std::to_string(round.silent)},
              {"anyHeard", heard ? "yes" : "no"}});
    if (!lost)
        co_return;
    recordLoss(links, BootClock::now());
    links.partlyReached = round.reached > 0;
    recheckHeldEngines(node, service);
    breakOffRepeatableCalls(node, service);
    node.reportDue.notifyAll();
    spawn(node, "probe targets", probeLoop(node, service));
    // A network outage seldom affects one service alone, and the others may have few calls.
    for (const ServiceSpec &other : node.routes->config().services)
        beginCheck(node, other.name);
}

void checkIfLost(GatewayNode &node, const std::string &service, Instant now)
{
    if (!areLinksLost(node, service) && linksSeemLost(countLinks(node, service, now)))
        beginCheck(node, service);
}

/** Cheaper than countLinks(), and true whenever that finds links lost because of silence alone. */
bool isMostlySilent(const AwaitedTargets &targets, Instant now)
{
    int silent = 0;
    int heard = 0;
    for (const auto &[target, answers] : targets) {
        silent += isSilent(answers, now) ? 1 : 0;
        heard += isHeard(answers, now) ? 1 : 0;
    }
    return silent > heard;
}

} // namespace

// Several changes in quick succession do not prolong the memory of the first.
void rememberUsageOfOthers(GatewayNode &node)
{
    const Instant now = BootClock::now();
    FormerUsage &former = node.formerUsage;
    if (former.at == Instant{} || now - former.at > memoryOfOthers) {
        former.targets.clear();
        former.at = now;
    }
    addUsages(former.targets, node.reported.total);
    addUsages(former.targets, node.relayState.others);
}

void recordLinkFailure(GatewayNode &node, const std::string &target)
{
    const Instant now = BootClock::now();
    runtimeOf(node, target).link.failedAt = now;
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr)
        return;
    checkIfLost(node, std::string(entry->service), now);
}

void recordLinkSuccess(GatewayNode &node, const std::string &target)
{
    runtimeOf(node, target).link.reachedAt = BootClock::now();
}

void recordAwaiting(GatewayNode &node, const TargetName &target)
{
    beginAwaiting(node.awaitedAnswers[target.service][target.id], BootClock::now());
}

void recordAwaitingEnd(GatewayNode &node, const TargetName &target)
{
    endAwaiting(node.awaitedAnswers[target.service][target.id]);
}

void recordHeard(GatewayNode &node, const TargetName &target)
{
    node.awaitedAnswers[target.service][target.id].heardAt = BootClock::now();
}

RepeatableWait::RepeatableWait(GatewayNode &node, const TargetName &target,
                               const TargetConnectionPtr &connection)
    : calls(node.repeatableCalls[target.service])
    , call(this->calls.insert(this->calls.end(), {target.id, connection, BootClock::now()}))
{ }

RepeatableWait::~RepeatableWait()
{
    this->calls.erase(this->call);
}

asio::awaitable<void> watchLinksLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        Duration longest = Duration::zero();
        for (auto &[service, targets] : node.awaitedAnswers) {
            std::erase_if(targets, [now](const auto &entry) {
                return entry.second.calls == 0 && !isHeard(entry.second, now);
            });
            for (const auto &[target, answers] : targets)
                longest = std::max(longest, silenceOf(answers, now));
            if (isMostlySilent(targets, now))
                checkIfLost(node, service, now);
        }
        node.metrics.set(Gauge::LongestSilence, static_cast<std::uint64_t>(toMillis(longest)));
        co_await pauseFor(node, watchInterval);
    }
}

bool shouldServeItself(const GatewayNode &node, const std::string &service)
{
    const auto found = node.serviceLinks.find(service);
    return found != node.serviceLinks.end() && found->second.partlyReached
        && BootClock::now() < found->second.noPeerUntil;
}

void recordNoPeer(GatewayNode &node, const std::string &service)
{
    node.serviceLinks[service].noPeerUntil = BootClock::now() + noPeerValidity;
}

bool areLinksLost(const GatewayNode &node, const std::string &service)
{
    const auto found = node.serviceLinks.find(service);
    return found != node.serviceLinks.end() && found->second.lost;
}

std::optional<Instant> engineLinksLostSince(const GatewayNode &node)
{
    std::optional<Instant> since;
    for (const auto &[name, links] : node.serviceLinks) {
        const ServiceSpec *spec = node.routes->findService(name);
        const bool engines = spec != nullptr && spec->engine;
        if (engines && links.lost)
            since = std::min(since.value_or(links.since), links.since);
    }
    return since;
}

int linkedVms(const GatewayNode &node, const Endpoint &excluded)
{
    const Instant now = BootClock::now();
    int linked = 0;
    if (excluded != node.settings.peers && !engineLinksLostSince(node))
        ++linked;
    for (const auto &[endpoint, peer] : node.peers) {
        const bool reporting = isZonePeer(node, peer) && !peer.starting && !peer.stopping
            && now - peer.lastReportAt < reporterTimeout;
        if (reporting && !peer.linksLost && endpoint != excluded)
            ++linked;
    }
    return linked;
}

bool isOwnLinkFault(const GatewayNode &node, const std::string &target, Instant now)
{
    return linkStateOf(node, target, now) == LinkState::Failed && othersReach(node, target);
}

bool isObservationDoubtful(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = isAnyServiceLost(node) ? entryOf(node, target) : nullptr;
    return entry != nullptr && areLinksLost(node, entry->service);
}

} // namespace monsoonbay
