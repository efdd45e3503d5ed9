#include "Coordinator.h"

#include <algorithm>
#include <set>

#include "OwnerLoop.h"
#include "PeerExchange.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr std::uint64_t permitKey = 0x70657266;
constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration wantRepeatInterval = std::chrono::milliseconds(500);
constexpr Duration demandReportInterval = std::chrono::milliseconds(250);

v1::Want toMessage(const WaitSummary &summary, Instant now)
{
    v1::Want want;
    want.set_adapter(summary.adapter.value);
    want.set_waiting(summary.waiting);
    if (summary.waiting > 0) {
        want.set_oldest_ms((now - summary.oldest) / std::chrono::milliseconds(1));
        want.set_deadline_ms((summary.deadline - now) / std::chrono::milliseconds(1));
    }
    want.set_weight(summary.weight);
    return want;
}

Want fromMessage(const v1::Want &news, VmId from, Instant now)
{
    Want want;
    want.adapter = AdapterId{news.adapter()};
    want.origin = from;
    want.waiting = news.waiting();
    want.oldest = now - std::chrono::milliseconds(news.oldest_ms());
    want.deadline = now + std::chrono::milliseconds(news.deadline_ms());
    want.weight = news.weight();
    return want;
}

CoordinatorView coordinatorView(const Node &node)
{
    return node.coordinator.with([](const CoordinatorView &view) { return view; });
}

void sendWant(Node &node, VmId coordinator, const WaitSummary &summary)
{
    const Instant now = BootClock::now();
    const v1::Want news = toMessage(summary, now);
    if (coordinator == node.self) {
        node.placement.with([&](PlacementState &state) {
            updateWant(state, fromMessage(news, node.self, now), now);
        });
        return;
    }
    postUpdates(node, coordinator, [&news](v1::PeerNews &message) { *message.add_wants() = news; });
}

void applyDemand(Node &node, const v1::Demand &demand, Instant now)
{
    constexpr int maxRequests = 100000;
    const int requests = std::clamp(demand.requests(), 0, maxRequests);
    node.placement.with([&](PlacementState &state) {
        recordDemand(state, AdapterId{demand.adapter()}, requests, demand.hits(), now);
    });
}

void applyVerdict(Node &node, const v1::Verdict &verdict)
{
    WaitResult end;
    end.refusal = static_cast<ErrorKind>(verdict.kind());
    end.retryAfter = std::chrono::milliseconds(verdict.expected_wait_ms());
    node.waiters.wake(AdapterId{verdict.adapter()}, end);
}

LoadOutcome outcomeOf(int kind)
{
    const auto error = static_cast<ErrorKind>(kind);
    if (error == ErrorKind::Ok)
        return LoadOutcome::Loaded;
    return error == ErrorKind::LoadFailed ? LoadOutcome::Failed : LoadOutcome::Declined;
}

int kindOf(LoadOutcome outcome)
{
    if (outcome == LoadOutcome::Loaded)
        return static_cast<int>(ErrorKind::Ok);
    const bool failed = outcome == LoadOutcome::Failed;
    return static_cast<int>(failed ? ErrorKind::LoadFailed : ErrorKind::Overloaded);
}

void applyResult(Node &node, const v1::LoadResult &result)
{
    node.placement.with([&](PlacementState &state) {
        recordLoadResult(state, result.permit(), outcomeOf(result.kind()), BootClock::now());
    });
}

void sendDemand(Node &node)
{
    const auto counts = node.demand.with([](auto &demand) {
        std::unordered_map<AdapterId, DemandCount> taken;
        taken.swap(demand);
        return taken;
    });
    if (counts.empty())
        return;
    const CoordinatorView view = coordinatorView(node);
    v1::PeerNews report;
    for (const auto &[adapter, count] : counts) {
        v1::Demand *demand = report.add_demands();
        demand->set_adapter(adapter.value);
        demand->set_requests(count.requests);
        demand->set_hits(count.hits);
    }
    for (const VmId vm : std::set<VmId>{view.coordinator, view.deputy}) {
        if (vm.value == 0)
            continue;
        if (vm == node.self) {
            for (const v1::Demand &demand : report.demands())
                applyDemand(node, demand, BootClock::now());
            continue;
        }
        postUpdates(node, vm, [&report](v1::PeerNews &message) {
            message.mutable_demands()->MergeFrom(report.demands());
        });
    }
}

void sendCommand(Node &node, const LoadOrder &order)
{
    v1::LoadOrder news;
    news.set_permit(order.permit);
    news.set_target(order.target.value);
    news.set_adapter(order.adapter.value);
    news.set_evict(order.evict.value);
    const VmId owner = node.ownership.with(
        [&](const OwnershipState &state) { return ownerOf(state, order.target); });
    if (owner == node.self) {
        executeLoad(node, news);
        return;
    }
    if (owner.value == 0) {
        reportLoadResult(node, order.permit, news, LoadOutcome::Declined);
        return;
    }
    postUpdates(node, owner, [&news](v1::PeerNews &message) { *message.add_orders() = news; });
}

void sendVerdict(Node &node, const WantVerdict &verdict)
{
    v1::Verdict news;
    news.set_adapter(verdict.adapter.value);
    news.set_kind(static_cast<int>(verdict.refusal));
    news.set_expected_wait_ms(verdict.expectedWait / std::chrono::milliseconds(1));
    if (verdict.origin == node.self) {
        applyVerdict(node, news);
        return;
    }
    postUpdates(node, verdict.origin,
                [&news](v1::PeerNews &message) { *message.add_verdicts() = news; });
}

// For owners that failed before they reported the result of a load command. The next owner learns
// the outcome of the load from the engine's report; the permit is released at once.
void releaseLostPermits(Node &node, const std::vector<Member> &alive)
{
    const std::vector<LoadOrder> pending = node.placement.with([](const PlacementState &state) {
        std::vector<LoadOrder> orders;
        for (const auto &[permit, load] : state.pending)
            orders.push_back(load.order);
        return orders;
    });
    for (const LoadOrder &order : pending) {
        const VmId owner = node.ownership.with(
            [&](const OwnershipState &state) { return ownerOf(state, order.target); });
        const bool ownerAlive =
            std::any_of(alive.begin(), alive.end(),
                        [owner](const Member &member) { return member.vm == owner; });
        if (ownerAlive)
            continue;
        node.placement.with([&](PlacementState &state) {
            recordLoadResult(state, order.permit, LoadOutcome::Declined, BootClock::now());
        });
    }
}

void refreshConfig(Node &node)
{
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    std::set<std::string> zones;
    std::set<std::string> reachable;
    for (const ListedVm &vm : node.listed.with([](const auto &vms) { return vms; })) {
        if (vm.kind == "entry" && !vm.leaving)
            zones.insert(vm.zone);
    }
    node.membership.with([&](const MembershipState &state) {
        for (const Member &member : aliveMembers(state))
            reachable.insert(member.zone);
    });
    double share = 1;
    if (!zones.empty() && reachable.size() < zones.size())
        share = static_cast<double>(std::max<std::size_t>(1, reachable.size()))
            / static_cast<double>(zones.size());
    node.placement.with([&](PlacementState &state) {
        state.config.stallWeight = manifest->head.weights.stall;
        state.config.batchWeight = manifest->head.weights.batch;
        state.config.loadsPerSecond = manifest->head.loadsPerSecond;
        state.config.storeShare = share;
    });
}

} // namespace

void updateCoordinator(Node &node, const std::vector<Member> &alive)
{
    std::vector<VmId> vms;
    for (const Member &member : alive)
        vms.push_back(member.vm);
    CoordinatorView view;
    view.coordinator = rendezvousOwner(permitKey, vms);
    std::erase(vms, view.coordinator);
    view.deputy = rendezvousOwner(permitKey, vms);
    const CoordinatorView before = coordinatorView(node);
    node.coordinator.with([&](CoordinatorView &held) { held = view; });
    releaseLostPermits(node, alive);
    if (before.coordinator == view.coordinator)
        return;
    const auto coordinator = std::find_if(alive.begin(), alive.end(), [&](const Member &member) {
        return member.vm == view.coordinator;
    });
    logEvent(EventId::CoordinatorChanged,
             {{"coordinator", coordinator == alive.end() ? "none" : coordinator->name}});
    for (const WaitSummary &summary : node.waiters.summaries())
        sendWant(node, view.coordinator, summary);
}

void countDemand(Node &node, AdapterId adapter, bool hit)
{
    node.demand.with([&](auto &demand) {
        DemandCount &count = demand[adapter];
        ++count.requests;
        count.hits += hit ? 1 : 0;
    });
}

void reportWant(Node &node, AdapterId adapter)
{
    const CoordinatorView view = coordinatorView(node);
    sendWant(node, view.coordinator, node.waiters.summary(adapter));
    coordinate(node);
}

void reportLoadResult(Node &node, std::uint64_t permit, const v1::LoadOrder &order,
                      LoadOutcome outcome)
{
    v1::LoadResult result;
    result.set_permit(permit);
    result.set_target(order.target());
    result.set_adapter(order.adapter());
    result.set_kind(kindOf(outcome));
    const VmId coordinator = coordinatorView(node).coordinator;
    if (coordinator == node.self) {
        applyResult(node, result);
        return;
    }
    postUpdates(node, coordinator,
                [&result](v1::PeerNews &message) { *message.add_results() = result; });
}

void applyCoordinationUpdates(Node &node, VmId from, const v1::PeerNews &news)
{
    const Instant now = BootClock::now();
    for (const v1::Demand &demand : news.demands())
        applyDemand(node, demand, now);
    for (const v1::Want &want : news.wants())
        node.placement.with(
            [&](PlacementState &state) { updateWant(state, fromMessage(want, from, now), now); });
    for (const v1::Verdict &verdict : news.verdicts())
        applyVerdict(node, verdict);
    for (const v1::LoadOrder &order : news.orders())
        executeLoad(node, order);
    for (const v1::LoadResult &result : news.results())
        applyResult(node, result);
    if (news.wants_size() > 0 || news.results_size() > 0)
        coordinate(node);
}

void placeTarget(Node &node, const TargetStatus &status)
{
    TargetView view;
    view.target = status.target;
    view.zone = static_cast<std::uint32_t>(stableHash(status.zone));
    view.slots = status.slots;
    view.maxBatch = status.maxBatch;
    view.running = status.running;
    view.usable = status.usable;
    view.leaving = status.leaving;
    const Instant now = BootClock::now();
    node.placement.with([&](PlacementState &state) {
        const auto known = state.targetIndex.find(status.target);
        for (const AdapterId adapter : status.resident) {
            ResidentSlot slot{adapter, 0, now};
            if (known != state.targetIndex.end()) {
                const auto &held = state.targets[known->second].resident;
                const auto same =
                    std::find_if(held.begin(), held.end(), [adapter](const ResidentSlot &other) {
                        return other.adapter == adapter;
                    });
                if (same != held.end())
                    slot.since = same->since;
            }
            const bool pinned = std::find(status.pinned.begin(), status.pinned.end(), adapter)
                != status.pinned.end();
            slot.pins = pinned ? 1 : 0;
            view.resident.push_back(slot);
        }
        if (status.loading.value != 0)
            view.loading.push_back(status.loading);
        updateTarget(state, view);
    });
}

void coordinate(Node &node)
{
    if (coordinatorView(node).coordinator != node.self || node.stopped)
        return;
    const PlacementActions actions =
        node.placement.with([](PlacementState &state) { return decide(state, BootClock::now()); });
    for (const LoadOrder &order : actions.orders)
        sendCommand(node, order);
    for (const WantVerdict &verdict : actions.verdicts)
        sendVerdict(node, verdict);
}

asio::awaitable<void> coordinatorLoop(Node &node)
{
    Instant wantsAt{};
    Instant demandAt{};
    while (!node.stopped) {
        const Instant now = BootClock::now();
        refreshConfig(node);
        if (now >= demandAt) {
            sendDemand(node);
            demandAt = now + demandReportInterval;
        }
        if (now >= wantsAt) {
            const VmId coordinator = coordinatorView(node).coordinator;
            for (const WaitSummary &summary : node.waiters.summaries())
                sendWant(node, coordinator, summary);
            wantsAt = now + wantRepeatInterval;
        }
        coordinate(node);
        co_await pause(tickInterval);
    }
}

} // namespace monsoonbay
