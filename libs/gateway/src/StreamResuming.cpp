#include "StreamResuming.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "FirstStart.h"
#include "TargetRestarts.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** Interval of the checks of all targets' software versions. */
constexpr Duration versionCheckInterval = std::chrono::milliseconds(500);
/** Streams that begin within this time are reported together. */
constexpr Duration reportDelay = std::chrono::milliseconds(10);
constexpr Duration reportTimeout = std::chrono::milliseconds(400);
/** VMs answer in a few ms; one that is gone or cut off does not. */
constexpr Duration askTimeout = std::chrono::milliseconds(150);

/** VMs that store a stream's origin: two of the zone, as one may fail, and one of all zones. */
constexpr std::size_t replicasInZone = 2;
constexpr std::size_t replicasOfAll = 1;

/** No caller is assumed to wait longer, whatever it names. */
constexpr Duration maxResumeTime = std::chrono::seconds(60);

constexpr Duration shortRetryAfter = std::chrono::milliseconds(300);

/** How a VM knows the software version that began a stream. */
enum class OriginSource : std::uint8_t {
    Recorded, ///< this VM began it, or it was reported to this VM
    OnlyVersion, ///< there has been no other version
    Asked, ///< another VM knew
};

std::string_view sourceName(OriginSource source) noexcept
{
    switch (source) {
    case OriginSource::Recorded:
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
    OriginSource source = OriginSource::Recorded;
};

/** By which a version may have run streams after it was last seen: a read of the list, a check. */
constexpr Duration maxVersionLag = maxListAge + versionCheckInterval;

/** VMs that start for the first time have read the list by then; callers come later. */
constexpr Duration firstListTime = std::chrono::seconds(5);

/** A stream to be resumed, and when it broke off at the earliest. */
struct BrokenStream
{
    StreamId id = 0;
    std::string service;
    std::string route;
    Instant brokenAfter{};
};

/** How long callers wait before they resume a stream of the service. */
Duration resumeWindowOf(const GatewayNode &node, const std::string &service)
{
    const Duration configured = node.routes->maxResumableTimeout(service);
    if (configured == Duration::zero())
        return maxResumeTime;
    return std::min(std::max(configured, node.resuming.longestTimeout), maxResumeTime);
}

bool isListCurrent(const GatewayNode &node, Instant now)
{
    return node.targetTable.lastReadAt != Instant{} && !isListStale(node.targetTable, now);
}

// Targets that are leaving count, too: they still run the streams that they have begun.
void checkVersions(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    checkWatch(state.watch, isListCurrent(node, now), now);
    for (const auto &[id, record] : node.targetTable.records) {
        if (record.removed)
            continue;
        recordSoftware(state.versions[record.entry.service], record.entry.software, now);
        const Duration configured = node.routes->maxResumableTimeout(record.entry.service);
        state.longestTimeout = std::max(state.longestTimeout, configured);
    }
    for (auto &[service, versions] : state.versions)
        forgetSoftware(versions, now - maxResumeTime - maxVersionLag);
}

/** True if no version that had targets since then can have escaped this VM. */
bool hasWatchedSince(const GatewayNode &node, Instant from)
{
    const ListWatch &watch = node.resuming.watch;
    // Before the system's first start there were no streams.
    const bool sinceFirstStart = isFirstStart(node) && !watch.interrupted
        && watch.since != Instant{} && watch.since - node.bootedAt < firstListTime;
    return sinceFirstStart || coversSince(watch, from);
}

/** The only version since then; nullopt if that is not proved. Call checkVersions() before. */
std::optional<std::string> onlyVersionSince(const GatewayNode &node, const std::string &service,
                                            Instant from)
{
    const Instant seenFrom = from - maxVersionLag;
    const auto versions = node.resuming.versions.find(service);
    if (versions == node.resuming.versions.end() || !hasWatchedSince(node, seenFrom))
        return std::nullopt;
    return onlySoftware(versions->second, seenFrom);
}

/** The only version that can have run the stream; nullopt if that is not proved. */
std::optional<std::string> onlyVersionOf(const GatewayNode &node, const BrokenStream &stream)
{
    if (!isUnchangedSince(node.resuming.routes, stream.route, stream.brokenAfter))
        return std::nullopt;
    return onlyVersionSince(node, stream.service, stream.brokenAfter);
}

// While a service has had one version only, other VMs know as much without a report of each stream.
void findAmbiguousServices(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    state.ambiguousServices.clear();
    for (const auto &[service, versions] : state.versions) {
        if (!onlyVersionSince(node, service, now - resumeWindowOf(node, service)))
            state.ambiguousServices.insert(service);
    }
}

/** VMs among which those that store a stream's origin are chosen. */
struct ReplicaCandidates
{
    std::vector<std::string> names;
    std::vector<Endpoint> endpoints;
};

void addCandidate(ReplicaCandidates &candidates, std::string name, Endpoint endpoint)
{
    candidates.names.push_back(std::move(name));
    candidates.endpoints.push_back(std::move(endpoint));
}

/** All known VMs, reachable or not, as every VM has to choose among the same. */
ReplicaCandidates candidatesOf(const GatewayNode &node, const std::optional<std::string> &zone)
{
    ReplicaCandidates candidates;
    addCandidate(candidates, node.settings.vm, node.settings.peers);
    for (const auto &[endpoint, peer] : node.peers) {
        const bool counts = !peer.name.empty() && (!zone || peer.zone == *zone);
        if (counts)
            addCandidate(candidates, peer.name, endpoint);
    }
    return candidates;
}

/** The VMs that a stream's origin is reported to, or asked from. */
class OriginReplicas
{
public:
    explicit OriginReplicas(const GatewayNode &node)
        : own(node.settings.peers)
        , zone(candidatesOf(node, node.settings.zone))
        , all(candidatesOf(node, std::nullopt))
    { }

    std::set<Endpoint> of(StreamId id) const
    {
        std::set<Endpoint> chosen;
        for (const std::size_t index : chooseReplicas(id, this->zone.names, replicasInZone))
            chosen.insert(this->zone.endpoints[index]);
        for (const std::size_t index : chooseReplicas(id, this->all.names, replicasOfAll))
            chosen.insert(this->all.endpoints[index]);
        chosen.erase(this->own);
        return chosen;
    }

private:
    Endpoint own;
    ReplicaCandidates zone;
    ReplicaCandidates all;
};

asio::awaitable<void> reportToReplica(GatewayNode &node, Endpoint replica, v1::OriginNote report)
{
    const auto recorded =
        co_await node.peerLinks.reportOrigins(replica, std::move(report), reportTimeout);
    static_cast<void>(recorded); // two other VMs store it
}

/** The streams to report now; the others stay until their service has a second version. */
std::vector<StreamId> takeDueStreams(GatewayNode &node, Instant now)
{
    ResumeState &state = node.resuming;
    std::vector<StreamId> due;
    std::deque<UnreportedStream> kept;
    for (UnreportedStream &stream : state.unreported) {
        if (!originOf(state.origins, stream.id, now))
            continue;
        if (stream.onChangedRoute || state.ambiguousServices.count(stream.service) > 0)
            due.push_back(stream.id);
        else
            kept.push_back(std::move(stream));
    }
    state.unreported = std::move(kept);
    return due;
}

void reportToReplicas(GatewayNode &node, Instant now)
{
    const std::vector<StreamId> due = takeDueStreams(node, now);
    if (due.empty())
        return;
    const OriginReplicas replicas(node);
    std::map<Endpoint, v1::OriginNote> reports;
    for (const StreamId id : due) {
        const StreamOrigin &origin = node.resuming.origins.byId.at(id);
        for (const Endpoint &replica : replicas.of(id)) {
            v1::StreamOrigin *reportedOrigin = reports[replica].add_origins();
            reportedOrigin->set_stream(id);
            reportedOrigin->set_software(origin.software);
            reportedOrigin->set_left_ms(static_cast<std::uint32_t>(toMillis(origin.until - now)));
        }
    }
    node.metrics.add(Counter::StreamOriginsTold, due.size());
    for (auto &[replica, report] : reports)
        spawn(node, "report stream origins", reportToReplica(node, replica, std::move(report)));
}

/** Answers so far of the VMs that were asked. */
struct OriginQuery
{
    explicit OriginQuery(asio::io_context &context)
        : answered(context)
    { }

    Signal answered;
    std::size_t open = 0;
    std::optional<std::string> software;
};

asio::awaitable<void> askReplica(GatewayNode &node, Endpoint replica, v1::OriginRequest request,
                                 std::shared_ptr<OriginQuery> query)
{
    const auto reply = co_await node.peerLinks.askOrigin(replica, std::move(request), askTimeout);
    --query->open;
    if (reply && reply->known() && reply->watched())
        query->software = reply->software();
    query->answered.notifyAll();
}

asio::awaitable<std::optional<std::string>> askReplicas(GatewayNode &node, BrokenStream stream)
{
    const auto query = std::make_shared<OriginQuery>(node.context);
    const Duration window = BootClock::now() - stream.brokenAfter;
    for (const Endpoint &replica : OriginReplicas(node).of(stream.id)) {
        v1::OriginRequest request;
        request.set_stream(stream.id);
        request.set_service(stream.service);
        request.set_route(stream.route);
        request.set_window_ms(static_cast<std::uint32_t>(toMillis(window)));
        ++query->open;
        spawn(node, "ask for stream origin", askReplica(node, replica, std::move(request), query));
    }
    const Instant limit = BootClock::now() + askTimeout;
    while (!query->software && query->open > 0 && BootClock::now() < limit)
        co_await query->answered.wait(limit - BootClock::now());
    co_return query->software;
}

/** A caller that resumes a stream now has not waited for longer than it would for an answer. */
BrokenStream brokenStreamOf(const ActiveCall &call, Instant now)
{
    const Duration named = std::min(call.metadata.timeLeft.value_or(Duration()), maxResumeTime);
    const Duration window = std::max(resumeWindowOf(call.node, call.service), named);
    return {streamIdOf(call.metadata.resumes), call.service, call.route->name, now - window};
}

asio::awaitable<std::optional<FoundOrigin>> lookUpOrigin(ActiveCall &call)
{
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    const BrokenStream stream = brokenStreamOf(call, now);
    if (const auto recorded = originOf(node.resuming.origins, stream.id, now))
        co_return FoundOrigin{*recorded, OriginSource::Recorded};
    checkVersions(node, now);
    if (const auto only = onlyVersionOf(node, stream))
        co_return FoundOrigin{*only, OriginSource::OnlyVersion};
    // Also where the caller names no stream: others may know that there was only one version.
    const auto reportedOrigin = co_await askReplicas(node, stream);
    if (!reportedOrigin)
        co_return std::nullopt;
    co_return FoundOrigin{*reportedOrigin, OriginSource::Asked};
}

} // namespace

void recordStreamStart(ActiveCall &call, const std::string &software)
{
    call.origin = software;
    if (!call.route->resumable || call.metadata.attemptId.empty())
        return;
    GatewayNode &node = call.node;
    ResumeState &state = node.resuming;
    const Duration resumeTime =
        std::max(call.route->timeout, call.metadata.timeLeft.value_or(Duration()));
    const Instant now = BootClock::now();
    const StreamId id = streamIdOf(call.metadata.attemptId);
    // It may break off at its very end, and its caller may wait as long again.
    const StreamOrigin origin{software, call.arrivedAt + std::min(2 * resumeTime, maxResumeTime)};
    recordOrigin(state.origins, id, origin, now);
    if (!call.metadata.resumes.empty())
        recordOrigin(state.origins, streamIdOf(call.metadata.resumes), origin, now);
    state.longestTimeout = std::max(state.longestTimeout, std::min(resumeTime, maxResumeTime));
    const Instant from = now - resumeWindowOf(node, call.service);
    const bool onChangedRoute = !isUnchangedSince(state.routes, call.route->name, from);
    state.unreported.push_back({id, call.service, onChangedRoute});
    if (state.unreported.size() > maxStreamOrigins)
        state.unreported.pop_front();
    if (onChangedRoute || state.ambiguousServices.count(call.service) > 0)
        state.due.notifyAll();
}

asio::awaitable<std::optional<LocalReply>> resolveStreamOrigin(ActiveCall &call)
{
    const bool resumesStream = call.metadata.resumeAfter && call.route->resumable && !call.origin;
    if (!resumesStream)
        co_return std::nullopt;
    const std::optional<FoundOrigin> found = co_await lookUpOrigin(call);
    logEvent(EventId::StreamTakenUp,
             {{"call", call.metadata.attemptId},
              {"resumes", call.metadata.resumes},
              {"after", std::to_string(*call.metadata.resumeAfter)},
              {"service", call.service},
              {"began", found ? found->software : ""},
              {"knownBy", found ? std::string(sourceName(found->source)) : "not known"}});
    if (!found) {
        call.node.metrics.add(Counter::ResumesUnknown);
        co_return makeLocalReply(503, "the version that began the stream is not known",
                                 shortRetryAfter);
    }
    call.node.metrics.add(Counter::StreamsTakenUp);
    call.origin = found->software;
    co_return std::nullopt;
}

void keepCompatibleTargets(ActiveCall &call, std::vector<const TargetRecord *> &targets)
{
    if (!call.route->resumable)
        return;
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    const SoftwareVersions &versions = node.resuming.versions[call.service];
    if (namesVersions(versions))
        std::erase_if(targets,
                      [](const TargetRecord *record) { return record->entry.software.empty(); });
    if (call.origin) {
        std::erase_if(targets, [&call](const TargetRecord *record) {
            return record->entry.software != *call.origin;
        });
        return;
    }
    const auto settled = [&](const TargetRecord *record) {
        return isSettled(versions, record->entry.software, now);
    };
    if (std::any_of(targets.begin(), targets.end(), settled))
        std::erase_if(targets, [&](const TargetRecord *record) { return !settled(record); });
}

asio::awaitable<TargetStart> confirmTargetStart(ActiveCall &call, const TargetEntry &target)
{
    GatewayNode &node = call.node;
    const ServiceSpec *service = call.routes->findService(call.service);
    const bool mayBeResumed = call.route->resumable && service != nullptr && service->engine;
    const TargetRuntime &runtime = runtimeOf(node, target.id);
    const bool mayHaveRestarted = call.origin || runtime.pool.lostAt > runtime.startConfirmedAt;
    if (!mayBeResumed || target.startTime == 0 || !mayHaveRestarted)
        co_return TargetStart::Confirmed;
    const Instant asked = BootClock::now();
    const EngineAddress address{target.id, target.endpoint};
    const auto report = co_await node.platform->report(node.http, address, askTimeout);
    if (!report)
        co_return TargetStart::Unanswered;
    if (recordStartTime(node, target.id, report->startTime) == StartOrder::Newer)
        co_return TargetStart::Newer;
    runtimeOf(node, target.id).startConfirmedAt = asked;
    co_return TargetStart::Confirmed;
}

asio::awaitable<void> streamOriginLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant now = BootClock::now();
        if (now - node.resuming.watch.checkedAt >= versionCheckInterval)
            checkVersions(node, now);
        findAmbiguousServices(node, now);
        forgetOrigins(node.resuming.origins, now);
        reportToReplicas(node, now);
        co_await node.resuming.due.wait(versionCheckInterval);
        co_await pauseFor(node, reportDelay);
    }
}

void watchRoutes(GatewayNode &node, bool isFirstConfig)
{
    const Instant now = BootClock::now();
    if (isFirstConfig)
        node.resuming.firstConfigAt = now;
    updateRouteWatch(node.resuming.routes, node.routes->config().routes, now);
    if (isFirstStart(node))
        watchFirstRoutes(node);
}

// In the system's first start, the first routes have had no other services before.
void watchFirstRoutes(GatewayNode &node)
{
    for (auto &[name, route] : node.resuming.routes) {
        if (route.since == node.resuming.firstConfigAt)
            route.since = Instant{};
    }
}

v1::OriginsNoted handleOriginReport(GatewayNode &node, const v1::OriginNote &report)
{
    const Instant now = BootClock::now();
    for (const v1::StreamOrigin &reportedOrigin : report.origins()) {
        const Duration left = std::chrono::milliseconds(reportedOrigin.left_ms());
        recordOrigin(node.resuming.origins, reportedOrigin.stream(),
                     {reportedOrigin.software(), now + std::min(left, maxResumeTime)}, now);
    }
    return {};
}

v1::OriginReply handleOriginRequest(GatewayNode &node, const v1::OriginRequest &request)
{
    const Instant now = BootClock::now();
    std::optional<std::string> software = originOf(node.resuming.origins, request.stream(), now);
    if (!software) {
        checkVersions(node, now);
        const Duration asked = std::chrono::milliseconds(request.window_ms());
        const Duration window = std::max(resumeWindowOf(node, request.service()), asked);
        software = onlyVersionOf(
            node, {request.stream(), request.service(), request.route(), now - window});
    }
    v1::OriginReply reply;
    reply.set_known(software.has_value());
    reply.set_watched(software.has_value());
    reply.set_software(software.value_or(std::string()));
    return reply;
}

} // namespace monsoonbay
