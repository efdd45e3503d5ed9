#include "OwnerLoop.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include "Coordinator.h"
#include "PeerExchange.h"
#include "observe/Events.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration commandTimeout = std::chrono::milliseconds(1000);
constexpr Duration loadTimeout = std::chrono::seconds(55);
constexpr Duration appendTimeout = std::chrono::milliseconds(500);
constexpr Duration probeInterval = std::chrono::milliseconds(500);
constexpr Duration loadReportInterval = std::chrono::milliseconds(300);
/** Shorter than a lease: a peer that answers within a lease knows this VM's claims. */
constexpr Duration statusRepeatInterval = std::chrono::seconds(1);

std::string targetName(const Node &node, TargetId target)
{
    const std::optional<TargetInfo> info = findTarget(node, target);
    return info ? info->declaration.name : "unknown";
}

/** One command to an engine, with the fencing token of the claim that it is sent under. */
HttpCall commandCall(const FencingToken &token, const std::string &order,
                     const std::string &adapter, const std::string &evict)
{
    Json body{{"token", token.offset}, {"local", token.local}, {"order", order}};
    if (!adapter.empty())
        body["adapter"] = adapter;
    if (!evict.empty())
        body["evict"] = evict;
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/orders";
    call.body = body.dump();
    call.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    return call;
}

std::optional<SlotReport> readReport(const std::string &body, Instant askedAt)
{
    const Json json = parseJson(body);
    if (!json.is_object() || !json.contains("epoch") || !json.contains("resident"))
        return std::nullopt;
    SlotReport report;
    report.epoch = valueOr(json, "epoch", std::uint64_t{0});
    report.askedAt = askedAt;
    report.running = valueOr(json, "running", 0);
    report.queued = valueOr(json, "queued", 0);
    for (const Json &slot : json["resident"]) {
        if (!slot.is_object())
            continue;
        AdapterRef adapter = parseAdapterRef(valueOr(slot, "adapter", std::string()));
        if (!adapter.name.empty())
            report.resident.push_back(
                ReportedSlot{std::move(adapter), valueOr(slot, "running", 0)});
    }
    return report;
}

void applyEngineReport(Node &node, TargetId target, const std::string &body, Instant askedAt)
{
    const std::optional<SlotReport> report = readReport(body, askedAt);
    const std::optional<TargetInfo> info = findTarget(node, target);
    if (!report || !info)
        return;
    const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
    bool changed = false;
    const bool restarted = engine->table.with([&](SlotTable &table) {
        table.slots = info->declaration.slots;
        const std::uint64_t before = table.revision;
        const bool cold = applyReport(table, *report, BootClock::now());
        changed = table.revision != before;
        return cold;
    });
    if (restarted)
        logEvent(EventId::EngineRestarted, {{"target", info->declaration.name}});
    if (changed)
        reportTarget(node, target);
}

void forgetSlots(Node &node, TargetId target)
{
    engineOf(node, target)->table.with([](SlotTable &table) {
        const int running = table.running;
        table = SlotTable{};
        table.running = running;
    });
}

void recordLost(Node &node, TargetId target)
{
    logEvent(EventId::TargetLost, {{"target", targetName(node, target)}});
    forgetSlots(node, target);
}

std::uint64_t higherToken(const std::string &body)
{
    const Json json = parseJson(body);
    return valueOr(json, "token", std::uint64_t{0});
}

void applyRefusal(Node &node, TargetId target, const std::string &body)
{
    logEvent(EventId::StaleOrderRefused, {{"target", targetName(node, target)}});
    const FencingToken higher{higherToken(body), ~std::uint64_t{0} >> 1U};
    node.ownership.with([&](OwnershipState &state) {
        // The engine reports only the offset; the local count of that token may be any.
        const std::uint64_t local = state.highest.local;
        recordEngineRefused(state, target, higher);
        state.highest.local = local + 1;
    });
    forgetSlots(node, target);
}

asio::awaitable<void> claimAtEngine(Node &node, EngineClaim claim)
{
    const std::optional<TargetInfo> info = findTarget(node, claim.target);
    if (!info)
        co_return;
    const Instant askedAt = BootClock::now();
    HttpCall call = commandCall(claim.token, "claim", "", "");
    node.metrics.add(Counter::EngineCalls);
    const HttpResult result =
        co_await node.http.call(info->endpoint, std::move(call), commandTimeout);
    if (result.error)
        co_return;
    if (result.status == 409) {
        applyRefusal(node, claim.target, result.body);
        co_return;
    }
    if (!result.ok())
        co_return;
    const bool claimed = node.ownership.with([&](OwnershipState &state) {
        const TargetClaim *before = findClaim(state, claim.target);
        const bool confirming = before != nullptr && before->phase == ClaimPhase::Confirming;
        recordEngineAccepted(state, claim.target, claim.token, askedAt, BootClock::now());
        recordReachable(state, claim.target, BootClock::now());
        const TargetClaim *after = findClaim(state, claim.target);
        return confirming && after != nullptr && after->phase == ClaimPhase::Owner;
    });
    if (claimed)
        logEvent(EventId::TargetClaimed,
                 {{"target", info->declaration.name},
                  {"token", std::to_string(claim.token.offset)},
                  {"local", std::to_string(claim.token.local)}});
    applyEngineReport(node, claim.target, result.body, askedAt);
    if (claimed)
        reportTarget(node, claim.target);
}

asio::awaitable<void> appendClaim(Node &node, std::vector<TargetId> targets)
{
    Json names = Json::array();
    for (const TargetId target : targets)
        names.push_back(target.value);
    const Json record{{"vm", node.self.value}, {"targets", names}};
    const Json body{{"stream", "claims"}, {"body", record.dump()}};
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/append";
    call.body = body.dump();
    const HttpResult result =
        co_await node.http.call(node.settings.log, std::move(call), appendTimeout);
    std::uint64_t offset = 0;
    if (result.ok()) {
        const Json reply = parseJson(result.body);
        offset = valueOr(reply, "offset", std::uint64_t{0});
    }
    const Instant now = BootClock::now();
    std::vector<TargetId> claimed;
    node.ownership.with([&](OwnershipState &state) {
        finishAppend(state, targets, offset, now);
        for (const TargetId target : targets) {
            const TargetClaim *claim = findClaim(state, target);
            if (claim != nullptr && claim->phase == ClaimPhase::Owner)
                claimed.push_back(target);
        }
    });
    for (const TargetId target : claimed) {
        logEvent(EventId::TargetClaimed,
                 {{"target", targetName(node, target)}, {"token", std::to_string(offset)}});
        reportTarget(node, target);
    }
}

asio::awaitable<void> probeTarget(Node &node, TargetId target)
{
    const std::optional<TargetInfo> info = findTarget(node, target);
    if (!info)
        co_return;
    HttpCall call;
    call.path = "/v1/status";
    node.metrics.add(Counter::EngineCalls);
    const HttpResult result =
        co_await node.http.call(info->endpoint, std::move(call), commandTimeout);
    if (result.ok())
        node.ownership.with(
            [&](OwnershipState &state) { recordReachable(state, target, BootClock::now()); });
}

asio::awaitable<void> runLoad(Node &node, v1::LoadOrder order)
{
    const TargetId target{order.target()};
    const AdapterId adapterId{order.adapter()};
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    const AdapterEntry *entry = manifest->adapters.find(adapterId);
    const std::optional<TargetInfo> info = findTarget(node, target);
    FencingToken token;
    const bool allowed = node.ownership.with([&](const OwnershipState &state) {
        const TargetClaim *claim = findClaim(state, target);
        if (claim != nullptr)
            token = claim->token;
        return mayCommand(state, target, BootClock::now());
    });
    if (!allowed || entry == nullptr || !info || info->leaving) {
        reportLoadResult(node, order.permit(), order, LoadOutcome::Declined);
        co_return;
    }
    const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
    std::string evicted;
    const ErrorKind begun = engine->table.with([&](SlotTable &table) {
        const OwnedSlot *victim = findSlot(table, AdapterId{order.evict()});
        if (victim != nullptr)
            evicted = victim->adapter.text();
        return beginLoad(table, entry->ref, AdapterId{order.evict()});
    });
    if (begun != ErrorKind::Ok) {
        logEvent(EventId::LoadDeclined,
                 {{"target", info->declaration.name}, {"adapter", entry->ref.text()}});
        reportLoadResult(node, order.permit(), order, LoadOutcome::Declined);
        reportTarget(node, target);
        co_return;
    }
    logEvent(
        EventId::LoadOrdered,
        {{"target", info->declaration.name}, {"adapter", entry->ref.text()}, {"evict", evicted}});
    reportTarget(node, target);
    HttpCall call = commandCall(token, "load", entry->ref.text(), evicted);
    const HttpResult result = co_await node.http.call(info->endpoint, std::move(call), loadTimeout);
    const bool stale = !result.error && result.status == 409;
    engine->table.with([&](SlotTable &table) { endLoad(table, result.ok(), BootClock::now()); });
    if (stale && result.body.find("stale-token") != std::string::npos)
        applyRefusal(node, target, result.body);
    if (result.ok()) {
        node.metrics.add(Counter::LoadsDone);
        logEvent(EventId::LoadDone,
                 {{"target", info->declaration.name}, {"adapter", entry->ref.text()}});
    } else {
        node.metrics.add(Counter::LoadsFailed);
        logEvent(EventId::LoadFailed,
                 {{"target", info->declaration.name}, {"adapter", entry->ref.text()}});
    }
    const LoadOutcome failed = stale ? LoadOutcome::Declined : LoadOutcome::Failed;
    reportTarget(node, target);
    reportLoadResult(node, order.permit(), order, result.ok() ? LoadOutcome::Loaded : failed);
    coordinate(node);
}

std::optional<TargetStatus> ownStatus(Node &node, TargetId target)
{
    const std::optional<TargetInfo> info = findTarget(node, target);
    if (!info)
        return std::nullopt;
    TargetStatus status;
    bool owned = false;
    node.ownership.with([&](const OwnershipState &state) {
        const TargetClaim *claim = findClaim(state, target);
        owned = claim != nullptr && claim->phase == ClaimPhase::Owner;
        if (!owned)
            return;
        status.version.token = claim->token.offset;
        status.version.local = claim->token.local;
        status.usable = mayDispatch(state, target, BootClock::now());
    });
    if (!owned)
        return std::nullopt;
    const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
    status.target = target;
    status.owner = node.self;
    status.zone = info->zone;
    status.slots = info->declaration.slots;
    status.maxBatch = info->declaration.maxBatch;
    status.leaving = info->leaving;
    engine->table.with([&](const SlotTable &table) {
        status.running = table.running;
        for (const OwnedSlot &slot : table.resident) {
            status.resident.push_back(slot.id);
            if (slot.busy())
                status.pinned.push_back(slot.id);
        }
        if (table.loading)
            status.loading = table.loading->id();
        // Counted under the table's lock, so that a later count never carries older content.
        status.version.change = ++engine->statusRevision;
    });
    return status;
}

v1::TargetNews toMessage(const TargetStatus &status, bool released)
{
    v1::TargetNews news;
    news.set_target(status.target.value);
    news.set_owner(status.owner.value);
    news.set_token(status.version.token);
    news.set_local(status.version.local);
    news.set_version(status.version.change);
    for (const AdapterId adapter : status.resident)
        news.add_resident(adapter.value);
    for (const AdapterId adapter : status.pinned)
        news.add_pinned(adapter.value);
    news.set_loading(status.loading.value);
    news.set_running(status.running);
    news.set_usable(status.usable);
    news.set_leaving(status.leaving);
    news.set_released(released);
    return news;
}

void applyStatus(Node &node, const TargetStatus &status)
{
    if (!node.directory.apply(status))
        return;
    placeTarget(node, status);
    if (!status.usable || status.leaving)
        return;
    for (const AdapterId adapter : status.resident)
        node.waiters.wake(adapter, WaitResult{});
}

std::uint64_t contentHash(const TargetStatus &status)
{
    std::uint64_t hash =
        rendezvousScore(static_cast<std::uint64_t>(status.running), status.usable ? 1 : 0);
    for (const AdapterId adapter : status.resident)
        hash = rendezvousScore(hash, adapter.value);
    for (const AdapterId adapter : status.pinned)
        hash = rendezvousScore(hash, adapter.value);
    return hash;
}

// Load and pins change with every request; they are reported a few times a second, and only if they
// differ. The status is also repeated at intervals for peers that missed a message.
void reportLoads(Node &node)
{
    std::vector<TargetId> owned;
    node.ownership.with([&](const OwnershipState &state) {
        for (const TargetClaim &claim : state.claims) {
            if (claim.phase == ClaimPhase::Owner)
                owned.push_back(claim.target.target);
        }
    });
    const std::int64_t now = BootClock::now().time_since_epoch().count();
    for (const TargetId target : owned) {
        const std::optional<TargetStatus> status = ownStatus(node, target);
        if (!status)
            continue;
        const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
        const std::int64_t age = now - engine->statusReportedAt;
        const bool differs = contentHash(*status) != engine->reportedStatusHash;
        const bool due = (differs && age >= Duration(loadReportInterval).count())
            || age >= Duration(statusRepeatInterval).count();
        if (due)
            reportTarget(node, target);
    }
}

std::vector<TargetId> unownedTargets(const OwnershipState &state)
{
    std::vector<TargetId> targets;
    for (const TargetClaim &claim : state.claims) {
        const bool held = claim.owner.value != 0 && !claim.released
            && std::any_of(state.candidates.begin(), state.candidates.end(),
                           [&](const OwnerCandidate &other) { return other.vm == claim.owner; });
        if (!held && claim.phase == ClaimPhase::None)
            targets.push_back(claim.target.target);
    }
    return targets;
}

void spawn(Node &node, asio::awaitable<void> work)
{
    asio::co_spawn(asio::make_strand(node.context), std::move(work), asio::detached);
}

void handOver(Node &node, const HandOver &order)
{
    logEvent(EventId::TargetHandedOver, {{"target", targetName(node, order.target)}});
    TargetStatus status;
    node.ownership.with([&](const OwnershipState &state) {
        const TargetClaim *claim = findClaim(state, order.target);
        status.version = StatusVersion{claim->token.offset, claim->token.local, 0};
    });
    status.target = order.target;
    status.owner = node.self;
    status.usable = false;
    status.version.change = ++engineOf(node, order.target)->statusRevision;
    const v1::TargetNews news = toMessage(status, true);
    postToAll(node, [&news](v1::PeerNews &message) { *message.add_targets() = news; });
    node.directory.apply(status);
    forgetSlots(node, order.target);
}

} // namespace

void applyTargetStatus(Node &node, const v1::TargetNews &news)
{
    const TargetId target{news.target()};
    const VmId owner{news.owner()};
    const FencingToken token{news.token(), news.local()};
    bool lost = false;
    node.ownership.with([&](OwnershipState &state) {
        const TargetClaim *before = findClaim(state, target);
        const bool ours = before != nullptr && before->phase == ClaimPhase::Owner;
        applyClaim(state, target, owner, token, news.released());
        const TargetClaim *after = findClaim(state, target);
        lost = ours && after->phase != ClaimPhase::Owner;
    });
    if (lost)
        recordLost(node, target);
    TargetStatus status;
    status.target = target;
    status.owner = owner;
    status.version = StatusVersion{news.token(), news.local(), news.version()};
    status.running = news.running();
    status.usable = news.usable() && !news.released();
    status.leaving = news.leaving();
    status.loading = AdapterId{news.loading()};
    for (const std::uint64_t adapter : news.resident())
        status.resident.push_back(AdapterId{adapter});
    for (const std::uint64_t adapter : news.pinned())
        status.pinned.push_back(AdapterId{adapter});
    const std::optional<TargetInfo> info = findTarget(node, target);
    if (info) {
        status.zone = info->zone;
        status.slots = info->declaration.slots;
        status.maxBatch = info->declaration.maxBatch;
        status.leaving = status.leaving || info->leaving;
    }
    applyStatus(node, status);
}

void executeLoad(Node &node, const v1::LoadOrder &order)
{
    spawn(node, runLoad(node, order));
}

void reportTarget(Node &node, TargetId target)
{
    const std::optional<TargetStatus> status = ownStatus(node, target);
    if (!status)
        return;
    const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
    engine->reportedStatusHash = contentHash(*status);
    engine->statusReportedAt = BootClock::now().time_since_epoch().count();
    applyStatus(node, *status);
    const v1::TargetNews news = toMessage(*status, false);
    postToAll(node, [&news](v1::PeerNews &message) { *message.add_targets() = news; });
}

void releaseTargets(Node &node)
{
    std::vector<TargetId> owned;
    node.ownership.with([&](OwnershipState &state) {
        for (const TargetClaim &claim : state.claims) {
            if (claim.phase == ClaimPhase::Owner)
                owned.push_back(claim.target.target);
        }
        releaseAll(state);
    });
    for (const TargetId target : owned)
        handOver(node, HandOver{target, VmId{}});
}

asio::awaitable<void> ownerLoop(Node &node)
{
    Instant nextProbeAt{};
    while (!node.stopped) {
        const Instant now = BootClock::now();
        std::vector<TargetId> unowned;
        const OwnershipActions actions = node.ownership.with([&](OwnershipState &state) {
            unowned = unownedTargets(state);
            return tick(state, now);
        });
        if (!actions.append.empty())
            spawn(node, appendClaim(node, actions.append));
        for (const EngineClaim &claim : actions.engineClaims)
            spawn(node, claimAtEngine(node, claim));
        for (const HandOver &order : actions.handOvers)
            handOver(node, order);
        if (now >= nextProbeAt && !node.shuttingDown) {
            nextProbeAt = now + probeInterval;
            for (const TargetId target : unowned)
                spawn(node, probeTarget(node, target));
        }
        reportLoads(node);
        co_await pause(tickInterval);
    }
}

} // namespace monsoonbay
