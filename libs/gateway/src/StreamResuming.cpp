#include "StreamResuming.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "TargetRestarts.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** Between two looks at the versions that all targets have. */
constexpr Duration versionLook = std::chrono::milliseconds(500);
/** Streams that begin within this long are told together. */
constexpr Duration tellGather = std::chrono::milliseconds(10);
constexpr Duration tellTimeout = std::chrono::milliseconds(400);
/** VMs answer in a few ms; one that is gone or cut off does not. */
constexpr Duration askPatience = std::chrono::milliseconds(150);

/** VMs that keep what began a stream: of the zone, for one may end, and one of all zones. */
constexpr std::size_t keepersInZone = 2;
constexpr std::size_t keepersOfAll = 1;

/** No caller is taken to wait longer, whatever it names. */
constexpr Duration mostPatience = std::chrono::seconds(60);

constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** How a VM knows what began a stream. */
enum class OriginSource : std::uint8_t {
    Noted, ///< this VM began it, or was told
    OnlyVersion, ///< there has been no other version
    Asked, ///< another VM knew
};

std::string_view sourceName(OriginSource source) noexcept
{
    switch (source) {
    case OriginSource::Noted:
        return "noted";
    case OriginSource::OnlyVersion:
        return "only version";
    case OriginSource::Asked:
        return "asked";
    }
    return "";
}

struct FoundOrigin
{
    std::string software;
    OriginSource source = OriginSource::Noted;
};

/** How long a stream of the service may be taken up again after it began. */
Duration patienceFor(const GatewayNode &node, const std::string &service)
{
    const Duration configured = node.routes->maxResumableTimeout(service);
    return std::min(std::max(configured, node.resuming.longestTimeout), mostPatience);
}

void lookAtVersions(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    state.versionsCheckedAt = now;
    for (const auto &[id, record] : node.targetTable.records) {
        if (mayTakeWork(record))
            recordSoftware(state.versions[record.entry.service], record.entry.software, now);
    }
    for (auto &[service, versions] : state.versions)
        forgetSoftware(versions, now - mostPatience);
}

/** The one version that can have begun a stream of the service; nothing: that is not proved. */
std::optional<std::string> onlyVersionOf(const GatewayNode &node, const std::string &service,
                                         Instant now)
{
    const Instant since = now - patienceFor(node, service);
    // Before the system's first start there were no streams.
    const bool knowsNotEnough = node.bootedAt > since && !node.settings.firstStart;
    if (isListStale(node.targetTable, now) || knowsNotEnough)
        return std::nullopt;
    const auto versions = node.resuming.versions.find(service);
    return versions == node.resuming.versions.end() ? std::nullopt
                                                    : onlySoftware(versions->second, since);
}

// While this VM is in no doubt, others can tell as much without hearing of each stream.
void lookForDoubt(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    state.ambiguousServices.clear();
    for (const auto &[service, versions] : state.versions) {
        if (!onlyVersionOf(node, service, now))
            state.ambiguousServices.insert(service);
    }
}

/** Where what began a stream is kept, this VM left out. */
struct KeeperChoice
{
    std::vector<std::string> names;
    std::vector<Endpoint> endpoints;
};

void addKeeper(KeeperChoice &choice, std::string name, Endpoint endpoint)
{
    choice.names.push_back(std::move(name));
    choice.endpoints.push_back(std::move(endpoint));
}

/** All VMs, whether they are heard or not: each VM has to choose among the same. */
KeeperChoice vmsOf(const GatewayNode &node, const std::optional<std::string> &zone)
{
    KeeperChoice choice;
    addKeeper(choice, node.settings.vm, node.settings.peers);
    for (const auto &[endpoint, peer] : node.peers) {
        const bool counts = !peer.name.empty() && (!zone || peer.zone == *zone);
        if (counts)
            addKeeper(choice, peer.name, endpoint);
    }
    return choice;
}

/** The VMs to tell of streams, or to ask. */
class Keepers
{
public:
    explicit Keepers(const GatewayNode &node)
        : own(node.settings.peers)
        , zone(vmsOf(node, node.settings.zone))
        , all(vmsOf(node, std::nullopt))
    { }

    std::set<Endpoint> of(StreamId id) const
    {
        std::set<Endpoint> chosen;
        for (const std::size_t index : chooseReplicas(id, this->zone.names, keepersInZone))
            chosen.insert(this->zone.endpoints[index]);
        for (const std::size_t index : chooseReplicas(id, this->all.names, keepersOfAll))
            chosen.insert(this->all.endpoints[index]);
        chosen.erase(this->own);
        return chosen;
    }

private:
    Endpoint own;
    KeeperChoice zone;
    KeeperChoice all;
};

asio::awaitable<void> tellKeeper(GatewayNode &node, Endpoint keeper, v1::OriginNote note)
{
    const auto noted = co_await node.peerLinks.noteOrigins(keeper, std::move(note), tellTimeout);
    static_cast<void>(noted); // two others keep it
}

/** The streams that are to be told now; others stay for when there is doubt. */
std::vector<StreamId> takeDue(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    std::vector<StreamId> due;
    std::deque<UnreportedStream> kept;
    for (UnreportedStream &stream : state.unreported) {
        if (!originOf(state.origins, stream.id, now))
            continue;
        if (state.ambiguousServices.count(stream.service) > 0)
            due.push_back(stream.id);
        else
            kept.push_back(std::move(stream));
    }
    state.unreported = std::move(kept);
    return due;
}

void tellKeepers(GatewayNode &node, Instant now)
{
    const std::vector<StreamId> due = takeDue(node, now);
    if (due.empty())
        return;
    const Keepers keepers(node);
    std::map<Endpoint, v1::OriginNote> notes;
    for (const StreamId id : due) {
        const StreamOrigin &origin = node.resuming.origins.byId.at(id);
        for (const Endpoint &keeper : keepers.of(id)) {
            v1::StreamOrigin *told = notes[keeper].add_origins();
            told->set_stream(id);
            told->set_software(origin.software);
            told->set_left_ms(static_cast<std::uint32_t>(toMillis(origin.until - now)));
        }
    }
    node.metrics.add(Counter::StreamOriginsTold, due.size());
    for (auto &[keeper, note] : notes)
        spawn(node, "tell keeper", tellKeeper(node, keeper, std::move(note)));
}

/** What the VMs that were asked have answered so far. */
struct OriginAsk
{
    explicit OriginAsk(asio::io_context &context)
        : answered(context)
    { }

    Signal answered;
    std::size_t open = 0;
    std::optional<std::string> software;
};

asio::awaitable<void> askKeeper(GatewayNode &node, Endpoint keeper, v1::OriginRequest request,
                                std::shared_ptr<OriginAsk> ask)
{
    const auto reply = co_await node.peerLinks.askOrigin(keeper, std::move(request), askPatience);
    --ask->open;
    if (reply && reply->known())
        ask->software = reply->software();
    ask->answered.notifyAll();
}

asio::awaitable<std::optional<std::string>> askKeepers(GatewayNode &node, StreamId id,
                                                       std::string service)
{
    const auto ask = std::make_shared<OriginAsk>(node.context);
    for (const Endpoint &keeper : Keepers(node).of(id)) {
        v1::OriginRequest request;
        request.set_stream(id);
        request.set_service(service);
        ++ask->open;
        spawn(node, "ask keeper", askKeeper(node, keeper, std::move(request), ask));
    }
    const Instant limit = BootClock::now() + askPatience;
    while (!ask->software && ask->open > 0 && BootClock::now() < limit)
        co_await ask->answered.wait(limit - BootClock::now());
    co_return ask->software;
}

asio::awaitable<std::optional<FoundOrigin>> originFor(ActiveCall &run)
{
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    const StreamId id = streamIdOf(run.facts.resumes);
    if (const auto noted = originOf(node.resuming.origins, id, now))
        co_return FoundOrigin{*noted, OriginSource::Noted};
    lookAtVersions(node, now);
    if (const auto only = onlyVersionOf(node, run.service, now))
        co_return FoundOrigin{*only, OriginSource::OnlyVersion};
    // Also where the caller names nothing: others may know that there was one version alone.
    const auto told = co_await askKeepers(node, id, run.service);
    if (!told)
        co_return std::nullopt;
    co_return FoundOrigin{*told, OriginSource::Asked};
}

} // namespace

void recordStreamStart(ActiveCall &run, const std::string &software)
{
    run.origin = software;
    if (!run.route->resumable || run.facts.attemptId.empty())
        return;
    GatewayNode &node = run.node;
    ResumeState &state = node.resuming;
    const Duration patience = std::max(run.route->timeout, run.facts.timeLeft.value_or(Duration()));
    const StreamId id = streamIdOf(run.facts.attemptId);
    recordOrigin(state.origins, id, {software, run.arrivedAt + std::min(patience, mostPatience)},
                 BootClock::now());
    state.longestTimeout = std::max(state.longestTimeout, std::min(patience, mostPatience));
    state.unreported.push_back({id, run.service});
    if (state.unreported.size() > maxStreamOrigins)
        state.unreported.pop_front();
    if (state.ambiguousServices.count(run.service) > 0)
        state.due.notifyAll();
}

asio::awaitable<std::optional<LocalReply>> resolveStreamOrigin(ActiveCall &run)
{
    const bool takesUp = run.facts.resumeAfter && run.route->resumable && !run.origin;
    if (!takesUp)
        co_return std::nullopt;
    const std::optional<FoundOrigin> found = co_await originFor(run);
    logEvent(EventId::StreamTakenUp,
             {{"call", run.facts.attemptId},
              {"resumes", run.facts.resumes},
              {"after", std::to_string(*run.facts.resumeAfter)},
              {"service", run.service},
              {"began", found ? found->software : ""},
              {"knownBy", found ? std::string(sourceName(found->source)) : "not known"}});
    if (!found) {
        run.node.metrics.add(Counter::ResumesUnknown);
        co_return makeLocalReply(503, "what began the stream is not known", shortRetryAfter);
    }
    run.node.metrics.add(Counter::StreamsTakenUp);
    run.origin = found->software;
    co_return std::nullopt;
}

void keepCompatibleTargets(ActiveCall &run, std::vector<const TargetRecord *> &targets)
{
    if (!run.route->resumable)
        return;
    GatewayNode &node = run.node;
    const Instant now = BootClock::now();
    const SoftwareVersions &versions = node.resuming.versions[run.service];
    if (namesVersions(versions))
        std::erase_if(targets,
                      [](const TargetRecord *record) { return record->entry.software.empty(); });
    if (run.origin) {
        std::erase_if(targets, [&run](const TargetRecord *record) {
            return record->entry.software != *run.origin;
        });
        return;
    }
    const auto settled = [&](const TargetRecord *record) {
        return isSettled(versions, record->entry.software, now);
    };
    if (std::any_of(targets.begin(), targets.end(), settled))
        std::erase_if(targets, [&](const TargetRecord *record) { return !settled(record); });
}

asio::awaitable<bool> confirmTargetStart(ActiveCall &run, const TargetEntry &target)
{
    GatewayNode &node = run.node;
    const ServiceSpec *service = run.routes->findService(run.service);
    const bool mayGoOn = run.route->resumable && service != nullptr && service->engine;
    const TargetRuntime &runtime = runtimeOf(node, target.id);
    const bool mayHaveEnded = run.origin || runtime.pool.lostAt > runtime.startConfirmedAt;
    if (!mayGoOn || target.startTime == 0 || !mayHaveEnded)
        co_return true;
    const Instant asked = BootClock::now();
    const EngineAddress address{target.id, target.endpoint};
    const auto report = co_await node.platform->report(node.http, address, askPatience);
    if (!report || recordStartTime(node, target.id, report->startTime) == StartOrder::Newer)
        co_return false;
    runtimeOf(node, target.id).startConfirmedAt = asked;
    co_return true;
}

asio::awaitable<void> streamOriginLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        if (now - node.resuming.versionsCheckedAt >= versionLook)
            lookAtVersions(node, now);
        lookForDoubt(node, now);
        forgetOrigins(node.resuming.origins, now);
        tellKeepers(node, now);
        co_await node.resuming.due.wait(versionLook);
        co_await pauseFor(node, tellGather);
    }
}

v1::OriginsNoted handleOriginNote(GatewayNode &node, const v1::OriginNote &note)
{
    const Instant now = BootClock::now();
    for (const v1::StreamOrigin &told : note.origins()) {
        const Duration left = std::chrono::milliseconds(told.left_ms());
        recordOrigin(node.resuming.origins, told.stream(),
                     {told.software(), now + std::min(left, mostPatience)}, now);
    }
    return {};
}

v1::OriginReply handleOriginRequest(GatewayNode &node, const v1::OriginRequest &request)
{
    const Instant now = BootClock::now();
    std::optional<std::string> software = originOf(node.resuming.origins, request.stream(), now);
    if (!software) {
        lookAtVersions(node, now);
        software = onlyVersionOf(node, request.service(), now);
    }
    v1::OriginReply reply;
    reply.set_known(software.has_value());
    reply.set_software(software.value_or(std::string()));
    return reply;
}

} // namespace monsoonbay
