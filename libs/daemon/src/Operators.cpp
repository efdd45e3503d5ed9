#include "Operators.h"

#include <nlohmann/json.hpp>

#include "ManifestReader.h"
#include "PeerExchange.h"

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

std::string_view stateName(MemberState state)
{
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    return names[static_cast<std::size_t>(state)];
}

std::string adapterName(const Manifest &manifest, AdapterId adapter)
{
    const AdapterEntry *entry = manifest.adapters.find(adapter);
    return entry == nullptr ? "(not in the manifest)" : entry->ref.text();
}

std::string vmName(const Node &node, VmId vm)
{
    return node.membership.with([vm](const MembershipState &state) {
        const Member *member = findMember(state, vm);
        return member == nullptr ? std::string("none") : member->name;
    });
}

Json membersJson(const Node &node)
{
    Json members = Json::array();
    node.membership.with([&](const MembershipState &state) {
        members.push_back(
            {{"name", state.self.name}, {"zone", state.self.zone}, {"state", "alive"}});
        for (const MembershipState::Known &known : state.others)
            members.push_back({{"name", known.member.name},
                               {"zone", known.member.zone},
                               {"state", stateName(known.member.state)}});
    });
    return members;
}

Json targetJson(const Node &node, const Manifest &manifest, const TargetStatus &status)
{
    const std::optional<TargetInfo> info = findTarget(node, status.target);
    Json resident = Json::array();
    for (const AdapterId adapter : status.resident)
        resident.push_back(adapterName(manifest, adapter));
    return Json{{"name", info ? info->declaration.name : "unknown"},
                {"zone", status.zone},
                {"owner", vmName(node, status.owner)},
                {"token", status.version.token},
                {"usable", status.usable},
                {"leaving", status.leaving},
                {"running", status.running},
                {"slots", status.slots},
                {"resident", resident}};
}

Json timingJson(const Metrics &metrics, Timing timing)
{
    const TimingSummary summary = metrics.summary(timing);
    return Json{
        {"count", summary.count}, {"p50", summary.p50}, {"p95", summary.p95}, {"p99", summary.p99}};
}

Json statusJson(const Node &node)
{
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    const AcceptedManifest accepted =
        node.manifest.with([](const AcceptedManifest &state) { return state; });
    Json targets = Json::array();
    for (const TargetStatus &status : node.directory.statuses())
        targets.push_back(targetJson(node, *manifest, status));
    const VmId coordinator =
        node.coordinator.with([](const CoordinatorView &view) { return view.coordinator; });
    return Json{{"vm", node.settings.vm},
                {"zone", node.settings.zone},
                {"ready", isReady(node)},
                {"logReachable", node.logUp.load()},
                {"manifest",
                 {{"offset", accepted.mark.offset},
                  {"digest", accepted.mark.digest},
                  {"readThrough", accepted.readThrough},
                  {"adapters", accepted.manifest.adapters.size()}}},
                {"coordinator", vmName(node, coordinator)},
                {"inFlight", node.callersInFlight.load()},
                {"stalled", node.metrics.value(Counter::RequestsStalled)},
                {"members", membersJson(node)},
                {"targets", targets},
                {"loadStall", timingJson(node.metrics, Timing::LoadStall)},
                {"firstPiece", timingJson(node.metrics, Timing::FirstPiece)}};
}

Json explainJson(const Node &node, const AdapterRef &adapter)
{
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    const AdapterId id = adapter.id();
    const AdapterEntry *entry = manifest->adapters.find(id);
    Json holders = Json::array();
    for (const TargetRoute &route : node.directory.holdersOf(id)) {
        const std::optional<TargetInfo> info = findTarget(node, route.target);
        holders.push_back({{"target", info ? info->declaration.name : "unknown"},
                           {"owner", vmName(node, route.owner)}});
    }
    const std::optional<TargetRoute> route = node.directory.choose(
        id, *node.policy, manifest->head.weights.stall, manifest->head.weights.batch);
    const std::optional<TargetInfo> chosen = route ? findTarget(node, route->target) : std::nullopt;
    const Instant now = BootClock::now();
    Json explained{{"adapter", adapter.text()},
                   {"inManifest", entry != nullptr},
                   {"holders", holders},
                   {"goesTo", chosen ? Json(chosen->declaration.name) : Json()},
                   {"waitingHere", node.waiters.summary(id).waiting}};
    const VmId coordinator =
        node.coordinator.with([](const CoordinatorView &view) { return view.coordinator; });
    explained["coordinator"] = vmName(node, coordinator);
    explained["coordinatorIsHere"] = coordinator == node.self;
    node.placement.with([&](const PlacementState &state) {
        explained["requestsPerSecond"] = rateOf(state.demand, id, now);
        explained["fastRequestsPerSecond"] = fastRateOf(state.demand, id, now);
        explained["waitingAll"] = state.wants.contains(id) ? state.wants.at(id).waiting() : 0;
        explained["loadsUnderWay"] = state.pending.size();
        explained["loadSeconds"] = toSeconds(expectedLoadTime(state));
        explained["backingOff"] = state.backoffs.contains(id);
    });
    return explained;
}

Json verdictsJson(const Node &node)
{
    Json verdicts = Json::array();
    node.history.with([&](const ManifestHistory &history) {
        for (const JudgedRecord &judged : history.judged) {
            Json problems = Json::array();
            for (const Problem &problem : judged.problems)
                problems.push_back({{"path", problem.path},
                                    {"problem", problem.problem},
                                    {"remedy", problem.remedy}});
            verdicts.push_back({{"offset", judged.offset},
                                {"verdict", verdictName(judged.verdict)},
                                {"problems", problems}});
        }
    });
    return verdicts;
}

HttpReply jsonReply(const Json &json)
{
    HttpReply reply;
    reply.body = json.dump();
    return reply;
}

HttpReply textReply(int status, const std::string &text)
{
    HttpReply reply;
    reply.status = status;
    reply.contentType = "text/plain";
    reply.body = text;
    return reply;
}

std::string queryText(std::string_view target, std::string_view key)
{
    const std::string mark = std::string(key) + "=";
    const std::size_t at = target.find(mark);
    if (at == std::string_view::npos)
        return {};
    const std::string_view rest = target.substr(at + mark.size());
    return std::string(rest.substr(0, rest.find('&')));
}

asio::awaitable<HttpReply> drain(Node &node, std::string target, bool on)
{
    const std::optional<TargetInfo> info = findTarget(node, TargetId::of(target));
    if (!info)
        co_return textReply(404, "no such target; see monsoonbayctl status\n");
    // Applied here at once, so that a target that this VM owns is drained even while the log is
    // unreachable; the record in the log informs the other VMs and outlives this process.
    node.drained.with([&](auto &drained) {
        if (on)
            drained.insert(info->id);
        else
            drained.erase(info->id);
    });
    refreshTargets(node);
    const Json order{{"drain", target}, {"on", on}};
    std::string stream = "operations";
    const std::uint64_t offset = co_await appendToLog(node, std::move(stream), order.dump());
    if (offset == 0)
        co_return textReply(
            503, "in force on this VM only: the log is not reachable; repeat it when it is back\n");
    const Json done{{"target", target}, {"draining", on}, {"offset", offset}};
    co_return jsonReply(done);
}

} // namespace

asio::awaitable<void> handleOperator(Node &node, HttpExchange &exchange)
{
    const std::string target(exchange.request().target());
    const std::string path = target.substr(0, target.find('?'));
    HttpReply reply = textReply(404, "no such page\n");
    if (path == "/healthz") {
        reply = textReply(200, "ok\n");
    } else if (path == "/readyz") {
        reply = isReady(node) ? textReply(200, "ready\n") : textReply(503, "not ready\n");
    } else if (path == "/metrics") {
        reply = textReply(200, node.metrics.openMetrics());
        reply.contentType = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    } else if (path == "/v1/status") {
        reply = jsonReply(statusJson(node));
    } else if (path == "/v1/explain") {
        reply = jsonReply(explainJson(node, parseAdapterRef(queryText(target, "adapter"))));
    } else if (path == "/v1/verdicts") {
        reply = jsonReply(verdictsJson(node));
    } else if (path == "/v1/manifest") {
        reply.status = 200;
        reply.contentType = "application/json";
        reply.body = writeManifest(*manifestInForce(node));
    } else if (path == "/v1/drain" && exchange.request().method_string() == "POST") {
        const bool on = queryText(target, "on") != "false";
        std::string name = queryText(target, "target");
        reply = co_await drain(node, std::move(name), on);
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace monsoonbay
