#include "Node.h"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

// Distinguishes this run of the process from earlier ones of the same name, without disk storage.
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

Member selfMember(const Settings &settings, VmId self, std::uint64_t incarnation)
{
    Member member;
    member.vm = self;
    member.name = settings.vm;
    member.zone = settings.zone;
    member.address = settings.peers.address;
    member.port = settings.peers.port;
    member.incarnation = incarnation;
    return member;
}

OwnershipConfig ownershipConfig(const Settings &settings)
{
    OwnershipConfig config;
    config.lease = std::chrono::milliseconds(settings.leaseMs);
    return config;
}

KeyRecordConfig keyConfig(const Settings &settings)
{
    KeyRecordConfig config;
    config.lifetime = std::chrono::seconds(settings.keyMemorySeconds);
    return config;
}

AdmissionState admissionFor(const Settings &settings)
{
    AdmissionState admission;
    admission.config.maxInFlight = settings.maxQueuedPerVm;
    return admission;
}

const PlacementPolicy &policyOf(const Settings &settings)
{
    const PlacementPolicy *policy = findPlacementPolicy(settings.placement);
    assert(policy != nullptr);
    return *policy;
}

} // namespace

Node::Node(const Settings &settings)
    : settings(settings)
    , self(VmId::of(settings.vm))
    , incarnation(newIncarnation())
    , startedAt(BootClock::now())
    , context(settings.threads)
    , http(this->context)
    , policy(&policyOf(settings))
    , inForce(std::make_shared<const Manifest>())
    , targets(std::make_shared<const TargetMap>())
    , membership(makeMembership(MembershipConfig{},
                                selfMember(settings, this->self, this->incarnation),
                                this->self.value ^ this->incarnation, this->startedAt))
    , ownership(
          makeOwnership(ownershipConfig(settings), this->self, settings.zone, this->startedAt))
    , directory(settings.zone)
    , placement(makePlacement(PlacementConfig{}, *this->policy, this->startedAt,
                              this->incarnation << 20U))
    , admission(admissionFor(settings))
    , keys(makeKeyRecords(keyConfig(settings), this->self, this->startedAt))
{ }

std::shared_ptr<const Manifest> manifestInForce(const Node &node)
{
    return node.inForce.with([](const auto &manifest) { return manifest; });
}

std::shared_ptr<const TargetMap> targetsOf(const Node &node)
{
    return node.targets.with([](const auto &targets) { return targets; });
}

std::optional<TargetInfo> findTarget(const Node &node, TargetId target)
{
    const std::shared_ptr<const TargetMap> map = targetsOf(node);
    const auto found = map->targets.find(target);
    if (found == map->targets.end())
        return std::nullopt;
    return found->second;
}

std::shared_ptr<OwnedEngine> engineOf(Node &node, TargetId target)
{
    return node.engines.with([target](auto &engines) {
        std::shared_ptr<OwnedEngine> &engine = engines[target];
        if (!engine)
            engine = std::make_shared<OwnedEngine>();
        return engine;
    });
}

std::optional<Endpoint> peerEndpoint(const Node &node, VmId vm)
{
    return node.membership.with([vm](const MembershipState &state) -> std::optional<Endpoint> {
        const Member *member = findMember(state, vm);
        if (member == nullptr)
            return std::nullopt;
        return Endpoint{member->address, member->port};
    });
}

std::vector<VmId> aliveVms(const Node &node)
{
    return node.membership.with([](const MembershipState &state) {
        std::vector<VmId> vms;
        for (const Member &member : aliveMembers(state))
            vms.push_back(member.vm);
        return vms;
    });
}

bool isReady(const Node &node)
{
    return node.manifestOffset != 0 && !node.shuttingDown;
}

void refreshTargets(Node &node)
{
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    const std::vector<ListedVm> listed = node.listed.with([](const auto &vms) { return vms; });
    const std::unordered_set<TargetId> drained =
        node.drained.with([](const auto &targets) { return targets; });
    auto map = std::make_shared<TargetMap>();
    std::vector<OwnedTarget> models;
    for (const ListedVm &vm : listed) {
        if (vm.kind == "entry")
            continue;
        const auto declaration =
            std::find_if(manifest->head.targets.begin(), manifest->head.targets.end(),
                         [&vm](const TargetDeclaration &target) { return target.name == vm.name; });
        if (declaration == manifest->head.targets.end())
            continue;
        const TargetId id = TargetId::of(vm.name);
        const bool leaving = vm.leaving || drained.contains(id);
        map->targets[id] = TargetInfo{id, vm.zone, vm.endpoint, *declaration, leaving};
        if (!declaration->baseModel.empty())
            models.push_back(OwnedTarget{id, vm.zone, declaration->checksTokens});
    }
    const std::shared_ptr<const TargetMap> before = targetsOf(node);
    node.targets.with([&map](auto &targets) { targets = map; });
    node.ownership.with([&models](OwnershipState &state) { setTargets(state, models); });
    for (const auto &[id, info] : map->targets) {
        const auto known = before->targets.find(id);
        const bool newlyLeaving =
            info.leaving && (known == before->targets.end() || !known->second.leaving);
        if (newlyLeaving)
            logEvent(EventId::TargetLeaving, {{"target", info.declaration.name}});
        node.directory.setLeaving(id, info.leaving);
    }
    for (const auto &[id, info] : before->targets) {
        if (map->targets.contains(id))
            continue;
        node.directory.remove(id);
        node.placement.with([id = id](PlacementState &state) { forgetTarget(state, id); });
    }
    for (const TargetStatus &status : node.directory.statuses())
        node.placement.with(
            [&](PlacementState &state) { setTargetLeaving(state, status.target, status.leaving); });
}

bool isTraced(const Node &node)
{
    return node.settings.traces.port != 0;
}

asio::awaitable<void> traceLoop(Node &node)
{
    constexpr std::size_t spansPerExport = 2000;
    while (!node.stopped && isTraced(node)) {
        co_await pause(std::chrono::seconds(1));
        const std::vector<Span> spans = node.spans.take(spansPerExport);
        if (spans.empty())
            continue;
        HttpCall call;
        call.method = "POST";
        call.path = "/v1/traces";
        call.body = otlpJson(node.settings.vm, node.settings.zone, spans);
        call.headers.push_back(HttpHeader{"Content-Type", "application/json"});
        // If the collector is down, these spans are lost and nothing else.
        co_await node.http.call(node.settings.traces, std::move(call), std::chrono::seconds(2));
    }
}

asio::awaitable<void> pause(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace monsoonbay
