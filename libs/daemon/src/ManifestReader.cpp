#include "ManifestReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include "OwnerLoop.h"
#include "observe/Events.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr int longPollMs = 300;
constexpr Duration readTimeout = std::chrono::seconds(10);
constexpr Duration retryPause = std::chrono::milliseconds(200);
constexpr Duration vmListInterval = std::chrono::milliseconds(500);
constexpr Duration fetchTimeout = std::chrono::seconds(5);
constexpr std::size_t maxRecords = 2000;
constexpr std::size_t maxVerdicts = 200;
constexpr std::uint64_t recordsPerSnapshot = 500;

std::string problemsText(const JudgedRecord &judged)
{
    std::string text;
    for (const Problem &problem : judged.problems) {
        if (text.size() > 1000)
            return text + " …";
        text +=
            (text.empty() ? "" : " | ") + problem.text("offset " + std::to_string(judged.offset));
    }
    return text;
}

void activate(Node &node, const AcceptedManifest &state)
{
    auto manifest = std::make_shared<const Manifest>(state.manifest);
    const bool firstOne = node.manifestOffset == 0 && state.mark.offset != 0;
    node.inForce.with([&](auto &held) { held = manifest; });
    node.manifestOffset = state.mark.offset;
    refreshTargets(node);
    if (firstOne)
        logEvent(EventId::Ready, {{"offset", std::to_string(state.mark.offset)}});
}

void logVerdict(const JudgedRecord &judged)
{
    if (judged.verdict == RecordVerdict::Accepted) {
        logEvent(EventId::ManifestAccepted,
                 {{"offset", std::to_string(judged.offset)}, {"digest", judged.mark.digest}});
        return;
    }
    const bool rejected = judged.verdict == RecordVerdict::Conflict
        || judged.verdict == RecordVerdict::Invalid || judged.verdict == RecordVerdict::Dangerous;
    if (rejected)
        logEvent(EventId::ManifestRejected,
                 {{"offset", std::to_string(judged.offset)},
                  {"verdict", std::string(verdictName(judged.verdict))},
                  {"problems", problemsText(judged)}});
}

void addToHistory(Node &node, const ManifestRecord &record, const JudgedRecord &judged)
{
    node.history.with([&](ManifestHistory &history) {
        history.records.push_back(record);
        if (history.records.size() > maxRecords) {
            history.completeAfter = history.records.front().offset;
            history.records.pop_front();
        }
        history.judged.push_back(judged);
        if (history.judged.size() > maxVerdicts)
            history.judged.pop_front();
        if (judged.verdict == RecordVerdict::Snapshot)
            history.lastSnapshotAt = record.offset;
    });
}

// Records come from the log loop and from peers at the same time, and an older state must not
// replace a newer one: a record is evaluated under the lock of the accepted state, and that state
// is put in force only if its offset is above that of the manifest in force.
void applyManifestRecord(Node &node, const ManifestRecord &record)
{
    JudgedRecord judged;
    AcceptedManifest state;
    node.manifest.with([&](AcceptedManifest &held) {
        judged = judge(held, record);
        state = held;
    });
    if (judged.verdict == RecordVerdict::Old)
        return;
    addToHistory(node, record, judged);
    logVerdict(judged);
    const bool changed = judged.verdict == RecordVerdict::Accepted
        || (judged.verdict == RecordVerdict::Snapshot && state.mark.offset > node.manifestOffset);
    if (changed && state.mark.offset > node.manifestOffset)
        activate(node, state);
}

void applyClaimRecord(Node &node, std::uint64_t offset, const std::string &body)
{
    const Json claim = parseJson(body);
    const bool valid = claim.is_object() && claim.contains("vm") && claim["vm"].is_number_unsigned()
        && claim.contains("targets") && claim["targets"].is_array();
    if (!valid)
        return;
    const VmId vm{claim["vm"].get<std::uint64_t>()};
    if (vm == node.self)
        return;
    node.ownership.with([&](OwnershipState &state) {
        for (const Json &target : claim["targets"]) {
            if (target.is_number_unsigned())
                applyClaim(state, TargetId{target.get<std::uint64_t>()}, vm,
                           FencingToken{offset, 0}, false);
        }
    });
}

void applyOperationRecord(Node &node, const std::string &body)
{
    const Json operation = parseJson(body);
    const bool valid =
        operation.is_object() && operation.contains("drain") && operation["drain"].is_string();
    if (!valid)
        return;
    const TargetId target = TargetId::of(operation["drain"].get<std::string>());
    const bool on = valueOr(operation, "on", true);
    node.drained.with([&](auto &drained) {
        if (on)
            drained.insert(target);
        else
            drained.erase(target);
    });
    refreshTargets(node);
}

void applyLogRecord(Node &node, const Json &record)
{
    const bool valid = record.is_object() && record.contains("offset")
        && record["offset"].is_number_unsigned() && record.contains("stream")
        && record["stream"].is_string() && record.contains("body") && record["body"].is_string();
    if (!valid)
        return;
    const std::uint64_t offset = record["offset"];
    const std::string stream = record["stream"];
    const std::string body = record["body"];
    if (stream == "manifest")
        applyManifestRecord(node, ManifestRecord{offset, body});
    else if (stream == "claims")
        applyClaimRecord(node, offset, body);
    else if (stream == "operations")
        applyOperationRecord(node, body);
}

void setLogUp(Node &node, bool up)
{
    if (node.logUp.exchange(up) == up)
        return;
    logEvent(up ? EventId::LogReachable : EventId::LogUnreachable,
             {{"log", node.settings.log.text()}});
}

// Records between the last one read and the first one retained are lost, and there may be accepted
// manifests among them. The manifest in force stays, but later deltas cannot be evaluated before a
// snapshot.
void handleGap(Node &node, std::uint64_t position, std::uint64_t first)
{
    node.manifest.with([&](AcceptedManifest &state) {
        recordLogStart(state, first);
        const bool missed = position < first && first > 1;
        if (missed && state.readThrough + 1 < first)
            state.based = false;
    });
}

// The coordinator appends a snapshot of the accepted state to the log before retention drops the
// records that it was made of; otherwise a new VM would find deltas without a base.
asio::awaitable<void> snapshotIfDue(Node &node, std::uint64_t first, std::uint64_t next)
{
    const VmId coordinator =
        node.coordinator.with([](const CoordinatorView &view) { return view.coordinator; });
    if (coordinator != node.self)
        co_return;
    const AcceptedManifest state =
        node.manifest.with([](const AcceptedManifest &held) { return held; });
    const std::uint64_t last =
        node.history.with([](const ManifestHistory &history) { return history.lastSnapshotAt; });
    const std::uint64_t middle = first + (next - first) / 2;
    const std::uint64_t countedFrom = std::max(last, state.mark.offset == 0 ? 0 : first);
    const bool manyRecords = next > countedFrom + recordsPerSnapshot;
    const bool nearRetention = first > 1 && last < middle;
    if (state.mark.offset == 0 || !state.based || !(manyRecords || nearRetention))
        co_return;
    const std::uint64_t offset = co_await appendToLog(node, "manifest", writeSnapshot(state));
    if (offset != 0)
        logEvent(EventId::ManifestSnapshot,
                 {{"offset", std::to_string(offset)}, {"of", std::to_string(state.mark.offset)}});
}

asio::awaitable<void> fetchFromPeer(Node &node, VmId peer)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(node, peer);
    if (!endpoint)
        co_return;
    v1::FetchManifestRequest request;
    request.set_read_through(node.manifest.with(
        [](const AcceptedManifest &state) { return state.based ? state.readThrough : 0; }));
    const PeerResult<v1::FetchManifestReply> result =
        co_await node.peers.fetchManifest(*endpoint, std::move(request), fetchTimeout);
    if (!result.ok)
        co_return;
    for (const v1::ManifestRecord &record : result.reply.records())
        applyManifestRecord(node, ManifestRecord{record.offset(), record.body()});
    if (result.reply.snapshot().empty())
        co_return;
    AcceptedManifest state;
    const bool adopted = node.manifest.with([&](AcceptedManifest &held) {
        const bool newer = adoptSnapshot(held, result.reply.snapshot());
        state = held;
        return newer;
    });
    if (!adopted)
        co_return;
    node.history.with([&](ManifestHistory &history) {
        history.records.clear();
        history.completeAfter = state.readThrough;
    });
    logEvent(EventId::ManifestFromPeer, {{"offset", std::to_string(state.mark.offset)}});
    if (state.mark.offset > node.manifestOffset)
        activate(node, state);
}

std::vector<ListedVm> readVmList(const Json &list)
{
    std::vector<ListedVm> vms;
    for (const Json &item : list) {
        if (!item.is_object())
            continue;
        ListedVm vm;
        vm.name = valueOr(item, "name", std::string());
        vm.kind = valueOr(item, "kind", std::string());
        vm.zone = valueOr(item, "zone", std::string());
        vm.endpoint.address = valueOr(item, "address", std::string());
        vm.endpoint.port = valueOr(item, "port", std::uint16_t{0});
        vm.leaving = valueOr(item, "state", std::string("live")) == "leaving";
        vms.push_back(vm);
    }
    return vms;
}

void applyVmList(Node &node, const std::vector<ListedVm> &vms)
{
    const Instant now = BootClock::now();
    for (const ListedVm &vm : vms) {
        if (vm.kind != "entry" || vm.leaving)
            continue;
        Member member;
        member.vm = VmId::of(vm.name);
        member.name = vm.name;
        member.zone = vm.zone;
        member.address = vm.endpoint.address;
        member.port = vm.endpoint.port;
        node.membership.with([&](MembershipState &state) { addSeed(state, member, now); });
    }
    const bool changed = node.listed.with([&](std::vector<ListedVm> &held) {
        const bool differs = held != vms;
        held = vms;
        return differs;
    });
    if (changed)
        refreshTargets(node);
}

} // namespace

asio::awaitable<std::uint64_t> appendToLog(Node &node, std::string stream, std::string body)
{
    const Json record{{"stream", stream}, {"body", body}};
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/append";
    call.body = record.dump();
    const HttpResult result =
        co_await node.http.call(node.settings.log, std::move(call), readTimeout);
    if (!result.ok())
        co_return 0;
    const Json reply = parseJson(result.body);
    co_return valueOr(reply, "offset", std::uint64_t{0});
}

void fetchIfNewer(Node &node, VmId peer, std::uint64_t offset)
{
    // This VM usually has the record from the log first; a peer is asked only for what the log has
    // not delivered yet, which takes it one poll while it is reachable.
    const bool behind = offset > node.manifestOffset;
    if (!behind || node.stopped)
        return;
    asio::co_spawn(asio::make_strand(node.context), fetchFromPeer(node, peer), asio::detached);
}

asio::awaitable<void> logLoop(Node &node)
{
    std::uint64_t position = 1;
    while (!node.stopped) {
        const Instant startedAt = BootClock::now();
        HttpCall call;
        call.path = "/v1/read?from=" + std::to_string(position)
            + "&max=500&waitMs=" + std::to_string(longPollMs);
        const HttpResult result =
            co_await node.http.call(node.settings.log, std::move(call), readTimeout);
        const Json reply = result.ok() ? parseJson(result.body) : Json();
        const bool readable = reply.is_object() && reply.contains("records")
            && reply["records"].is_array() && reply.contains("first")
            && reply["first"].is_number_unsigned() && reply.contains("next")
            && reply["next"].is_number_unsigned();
        setLogUp(node, readable);
        if (!readable) {
            co_await pause(retryPause);
            continue;
        }
        const std::uint64_t first = reply["first"];
        const std::uint64_t next = reply["next"];
        position = std::max(position, std::uint64_t{1});
        handleGap(node, position, first);
        const bool wasBased =
            node.manifest.with([](const AcceptedManifest &state) { return state.based; });
        for (const Json &record : reply["records"]) {
            applyLogRecord(node, record);
            position = std::max(position, valueOr(record, "offset", position) + 1);
        }
        // Records that were skipped for lack of a base are read again once a snapshot gave one.
        const std::uint64_t resumeAt = node.manifest.with([&](const AcceptedManifest &state) {
            const bool adopted = !wasBased && state.based;
            return adopted ? state.readThrough + 1 : position;
        });
        position = std::min(position, std::max(resumeAt, first));
        const bool complete = position >= next;
        if (complete)
            node.ownership.with([&](OwnershipState &state) { recordLogRead(state, startedAt); });
        co_await snapshotIfDue(node, first, next);
    }
}

asio::awaitable<void> vmListLoop(Node &node)
{
    bool readableBefore = true;
    while (!node.stopped) {
        HttpCall call;
        call.path = "/v1/vms";
        const HttpResult result =
            co_await node.http.call(node.settings.vmList, std::move(call), std::chrono::seconds(2));
        const Json list = result.ok() ? parseJson(result.body) : Json();
        const bool readable = list.is_array();
        if (readable)
            applyVmList(node, readVmList(list));
        if (!readable && readableBefore)
            logEvent(EventId::VmListUnreadable, {{"vmList", node.settings.vmList.text()}});
        readableBefore = readable;
        co_await pause(vmListInterval);
    }
}

} // namespace monsoonbay
