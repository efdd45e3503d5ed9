#include "LinkWatch.h"

#include <algorithm>

#include "TargetPool.h"
#include "ZoneView.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr Duration probeEvery = std::chrono::milliseconds(300);
constexpr Duration probePatience = std::chrono::milliseconds(250);
constexpr std::size_t probesAtOnce = 3;

bool isAnyLost(const GatewayNode &node)
{
    return std::any_of(node.serviceLinks.begin(), node.serviceLinks.end(),
                       [](const auto &entry) { return entry.second.lost; });
}

LinkCounts countLinks(const GatewayNode &node, const std::string &service, Instant now)
{
    LinkCounts counts;
    TargetUse others;
    for (const TargetRecord *record : targetsOf(node, service)) {
        const std::string &id = record->entry.id;
        const TargetUse use = othersAt(node, id);
        addUse(others, use);
        ++counts.listed;
        const auto runtime = node.targets.find(id);
        if (runtime == node.targets.end())
            continue;
        const LinkState state = linkState(runtime->second->link, now);
        if (state == LinkState::Reached)
            ++counts.reached;
        else if (state == LinkState::Failed && use.faults <= use.goods)
            ++counts.failed;
    }
    counts.othersServed = others.goods > others.faults;
    counts.otherServiceLost = isAnyLost(node);
    return counts;
}

/** Some targets of the service, drawn anew each time. */
std::vector<TargetEntry> drawTargets(GatewayNode &node, const std::string &service)
{
    const std::vector<const TargetRecord *> listed = targetsOf(node, service);
    std::vector<const TargetRecord *> drawn;
    std::sample(listed.begin(), listed.end(), std::back_inserter(drawn), probesAtOnce, node.random);
    std::vector<TargetEntry> entries;
    for (const TargetRecord *record : drawn)
        entries.push_back(record->entry);
    return entries;
}

/** Tries to connect; a connection serves a call later. */
asio::awaitable<void> probe(GatewayNode &node, TargetEntry target, std::shared_ptr<int> reached)
{
    ConnectResult result = co_await connectTo(node.context, target.endpoint, probePatience);
    if (!result.connection)
        co_return;
    ++*reached;
    TargetRuntime &runtime = runtimeOf(node, target.id);
    runtime.link.reachedAt = BootClock::now();
    giveBack(runtime.pool, std::move(result.connection), Duration::zero(), BootClock::now());
}

/** What was seen of targets while the links were lost tells nothing of the targets. */
void forgetSights(GatewayNode &node, const std::string &service)
{
    for (const TargetRecord *record : targetsOf(node, service)) {
        TargetRuntime &runtime = runtimeOf(node, record->entry.id);
        runtime.health = TargetHealth();
        runtime.link = LinkSight();
    }
    node.engineChanged.notifyAll();
}

asio::awaitable<void> probeLoop(GatewayNode &node, std::string service)
{
    while (!node.stopped && areLinksLost(node, service)) {
        co_await pauseFor(node, probeEvery);
        const std::vector<TargetEntry> targets = drawTargets(node, service);
        const auto reached = std::make_shared<int>(0);
        for (const TargetEntry &target : targets)
            spawn(node, "probe a target", probe(node, target, reached));
        co_await pauseFor(node, probePatience);
        ServiceLinks &links = node.serviceLinks[service];
        if (!noteProbes(links, *reached, static_cast<int>(targets.size())))
            continue;
        forgetSights(node, service);
        logEvent(EventId::LinksBack,
                 {{"service", service}, {"lostMs", millisText(BootClock::now() - links.since)}});
        node.newsDue.notifyAll();
    }
}

} // namespace

void noteLinkFailed(GatewayNode &node, const std::string &target)
{
    const Instant now = BootClock::now();
    runtimeOf(node, target).link.failedAt = now;
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr)
        return;
    const std::string service = entry->service;
    ServiceLinks &links = node.serviceLinks[service];
    if (links.lost)
        return;
    const LinkCounts counts = countLinks(node, service, now);
    if (!linksSeemLost(counts))
        return;
    links = {true, now, 0};
    logEvent(EventId::LinksLost,
             {{"service", service},
              {"listed", std::to_string(counts.listed)},
              {"failed", std::to_string(counts.failed)},
              {"reached", std::to_string(counts.reached)}});
    node.newsDue.notifyAll();
    spawn(node, "probe targets", probeLoop(node, service));
}

void noteLinkReached(GatewayNode &node, const std::string &target)
{
    runtimeOf(node, target).link.reachedAt = BootClock::now();
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

int linkedVms(const GatewayNode &node, const Endpoint &besides)
{
    const Instant now = BootClock::now();
    int linked = 0;
    if (besides != node.settings.peers && !engineLinksLostSince(node))
        ++linked;
    for (const auto &[endpoint, peer] : node.peers) {
        const bool heard = isMate(node, peer) && !peer.starting && !peer.stopping
            && now - peer.reportedAt < reporterSilence;
        if (heard && !peer.linksLost && endpoint != besides)
            ++linked;
    }
    return linked;
}

bool isLinkToBlame(const GatewayNode &node, const std::string &target, Instant now)
{
    const auto runtime = node.targets.find(target);
    if (runtime == node.targets.end())
        return false;
    const TargetUse others = othersAt(node, target);
    return linkState(runtime->second->link, now) == LinkState::Failed
        && others.goods > others.faults;
}

bool isSightDoubtful(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = isAnyLost(node) ? entryOf(node, target) : nullptr;
    return entry != nullptr && areLinksLost(node, entry->service);
}

} // namespace monsoonbay
