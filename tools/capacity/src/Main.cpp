// Measures slopes of the decisions and of the messages between entry VMs, and works out from them
// what a node of the size of docs/CAPACITY.md spends. The page's tables are this program's output.

#include <cmath>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <cxxopts.hpp>

#include "EntryVm.pb.h"
#include "Measure.h"
#include "config/Acceptance.h"
#include "membership/Membership.h"
#include "ownership/Ownership.h"
#include "requests/Admission.h"
#include "requests/KeyRecords.h"
#include "requests/RequestLifecycle.h"
#include "residency/PlacementPolicy.h"
#include "routing/ResidentDirectory.h"
#include "transport/PeerNetwork.h"

namespace {

using namespace monsoonbay;
using namespace monsoonbay::capacity;

/** The size of two years from now, from letter 1. */
struct TargetSize
{
    double nodes = 840;
    double runners = 12000;
    double adapters = 67000;
    double requestsPerSecond = 28000;
    double tokensPerSecond = 8e6;
    double zones = 6;
    double changesPerDay = 80000;
    double wakingShareAnHour = 0.40;
    double vmFailuresPerDay = 75;
    double restartsPerDay = 1500;
    double slotsPerRunner = 8;
    double coreShare = 0.044;
    double bytes = 64e6;
    double bytesPerSecond = 26e3;
};

AdapterId adapterAt(int index)
{
    return AdapterId::of("plan-" + std::to_string(index) + "@1");
}

std::vector<AdapterEntry> adapterEntries(int count)
{
    std::vector<AdapterEntry> entries;
    for (int index = 0; index < count; ++index)
        entries.push_back({{"plan-" + std::to_string(index), "1"}, "base"});
    return entries;
}

Slope demandMemory()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        auto table = std::make_unique<DemandTable>(makeDemandTable({}, Instant{}));
        for (int index = 0; index < count; ++index)
            recordRequests(*table, adapterAt(index), 1, Instant{});
        points.push_back({static_cast<double>(count), static_cast<double>(bytesOf(*table))});
    }
    return fitSlope("demand table, memory", "adapter", "B", points);
}

Slope manifestMemory()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        std::unique_ptr<AdapterTable> table;
        const std::vector<AdapterEntry> entries = adapterEntries(count);
        const double bytes =
            heapBytesOf([&] { table = std::make_unique<AdapterTable>(AdapterTable::of(entries)); });
        points.push_back({static_cast<double>(count), bytes});
    }
    return fitSlope("manifest, memory", "adapter", "B", points);
}

Slope deltaTime()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        Manifest manifest;
        manifest.head.baseModels = {"base"};
        manifest.adapters = AdapterTable::of(adapterEntries(count));
        ManifestDelta delta;
        delta.put.push_back({{"plan-7", "2"}, "base"});
        delta.remove.push_back({"plan-8", "1"});
        points.push_back({static_cast<double>(count), microsecondsOf(300, [&](int) {
                              const auto changed = applyDelta(manifest, delta);
                              if (!changed.ok())
                                  std::abort();
                          })});
    }
    return fitSlope("one delta applied, time", "adapter", "us", points);
}

Slope checkTime()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        Manifest manifest;
        manifest.head.baseModels = {"base"};
        manifest.adapters = AdapterTable::of(adapterEntries(count));
        const std::string text = writeManifest(manifest);
        points.push_back({static_cast<double>(count), microsecondsOf(1, [&](int) {
                              if (!parseManifest(text).ok())
                                  std::abort();
                          })});
    }
    return fitSlope("whole manifest checked, time", "adapter", "us", points);
}

TargetStatus statusFor(int target, int slots)
{
    TargetStatus status;
    status.target = TargetId::of("runner-" + std::to_string(target));
    status.owner = VmId{1};
    status.version = {1, 0, 1};
    status.slots = slots;
    status.maxBatch = 16;
    for (int slot = 0; slot < slots; ++slot)
        status.resident.push_back(adapterAt((target * slots + slot) % 67000));
    return status;
}

Slope directoryMemory()
{
    std::vector<Point> points;
    for (const int targets : {500, 1000, 2000}) {
        std::unique_ptr<ResidentDirectory> directory;
        const double bytes = heapBytesOf([&] {
            directory = std::make_unique<ResidentDirectory>("zone");
            for (int target = 0; target < targets; ++target)
                directory->apply(statusFor(target, 8));
        });
        points.push_back({static_cast<double>(targets), bytes});
    }
    return fitSlope("directory of residents, memory (8 slots a target)", "target", "B", points);
}

Slope routeTime()
{
    const PlacementPolicy *policy = findPlacementPolicy("forecast");
    std::vector<Point> points;
    for (const int targets : {500, 1000, 2000}) {
        ResidentDirectory directory("zone");
        for (int target = 0; target < targets; ++target)
            directory.apply(statusFor(target, 8));
        std::size_t found = 0;
        points.push_back({static_cast<double>(targets), microsecondsOf(100000, [&](int call) {
                              const AdapterId adapter{
                                  rendezvousScore(7, static_cast<std::uint64_t>(call))};
                              found += directory.choose(adapter, *policy, 0.8, 0.2) ? 1 : 0;
                          })});
    }
    return fitSlope("one routing decision, time", "target", "us", points);
}

Slope applyTime()
{
    std::vector<Point> points;
    for (const int slots : {4, 8, 16}) {
        ResidentDirectory directory("zone");
        std::uint64_t change = 1;
        points.push_back({static_cast<double>(slots), microsecondsOf(20000, [&](int call) {
                              TargetStatus status = statusFor(call % 500, slots);
                              status.version.change = ++change;
                              status.resident[0] = adapterAt(call % 67000);
                              directory.apply(status);
                          })});
    }
    return fitSlope("one target's news applied, time", "slot", "us", points);
}

Slope decideTime()
{
    std::vector<Point> points;
    for (const int targets : {125, 250, 500, 1000, 2000}) {
        Instant now = Instant{} + std::chrono::hours(1);
        PlacementState state = makePlacement({}, *findPlacementPolicy("forecast"), now);
        for (int target = 0; target < targets; ++target) {
            TargetView view;
            view.target = TargetId::of("runner-" + std::to_string(target));
            view.slots = 8;
            for (int slot = 0; slot < 8; ++slot)
                view.resident.push_back({adapterAt(target * 8 + slot), 0, Instant{}});
            updateTarget(state, view);
        }
        for (int adapter = 0; adapter < 67000; ++adapter)
            recordRequests(state.demand, adapterAt(adapter), 1, now);
        int next = 0;
        points.push_back(
            {static_cast<double>(targets), microsecondsOf(100, [&](int) {
                 const AdapterId cold = adapterAt(30000 + ++next);
                 updateWant(state, {cold, VmId{1}, 1, now, now + std::chrono::hours(1), 1, now},
                            now);
                 const PlacementActions actions = decide(state, now);
                 for (const LoadOrder &order : actions.orders)
                     recordLoadResult(state, order.permit, LoadOutcome::Loaded, now);
             })});
    }
    return fitSlope("one load decided by the coordinator, time (8 slots a target)", "target", "us",
                    points);
}

double decideWithFreeSlots()
{
    Instant now = Instant{} + std::chrono::hours(1);
    PlacementState state = makePlacement({}, *findPlacementPolicy("forecast"), now);
    for (int target = 0; target < 500; ++target) {
        TargetView view;
        view.target = TargetId::of("runner-" + std::to_string(target));
        view.slots = 8;
        updateTarget(state, view);
    }
    for (int adapter = 0; adapter < 67000; ++adapter)
        recordRequests(state.demand, adapterAt(adapter), 1, now);
    // Nothing may be loaded: every adapter backs off, so each call looks through all and finds
    // none.
    for (int adapter = 0; adapter < 67000; ++adapter)
        state.backoffs[adapterAt(adapter)] = Backoff{1, Instant::max()};
    return microsecondsOf(20, [&](int) {
        now += std::chrono::milliseconds(50);
        decide(state, now);
    });
}

Slope membershipMemory()
{
    std::vector<Point> points;
    for (const int members : {210, 420, 840}) {
        MembershipState state = makeMembership({}, {}, 1, Instant{});
        const double bytes = heapBytesOf([&] {
            for (int index = 0; index < members; ++index) {
                Member member;
                member.name = "zone-a-entry-" + std::to_string(index);
                member.vm = VmId::of(member.name);
                member.zone = "zone-a";
                member.address = "10.20.30.40";
                member.incarnation = 1;
                applyGossip(state, {member}, Instant{});
            }
        });
        points.push_back({static_cast<double>(members), bytes});
    }
    return fitSlope("membership, memory", "member", "B", points);
}

Slope membershipTick()
{
    std::vector<Point> points;
    for (const int members : {210, 420, 840}) {
        MembershipState state = makeMembership({}, {}, 1, Instant{});
        for (int index = 0; index < members; ++index) {
            Member member;
            member.name = "vm-" + std::to_string(index);
            member.vm = VmId::of(member.name);
            member.incarnation = 1;
            applyGossip(state, {member}, Instant{});
        }
        Instant now{};
        points.push_back({static_cast<double>(members), microsecondsOf(500, [&](int) {
                              now += std::chrono::milliseconds(50);
                              for (const Probe &probe : tick(state, now))
                                  recordMessage(state, probe.to, 1, now);
                              nextGossip(state);
                          })});
    }
    return fitSlope("membership tick with its probes, time", "member", "us", points);
}

Slope ownershipTick()
{
    std::vector<Point> points;
    for (const int targets : {500, 1000, 2000}) {
        OwnershipState state = makeOwnership({}, VmId{1}, "zone", Instant{});
        std::vector<OwnedTarget> list;
        for (int target = 0; target < targets; ++target)
            list.push_back({TargetId::of("runner-" + std::to_string(target)), "zone", true});
        setTargets(state, list);
        std::vector<OwnerCandidate> candidates;
        for (std::uint64_t vm = 1; vm <= 140; ++vm)
            candidates.push_back({VmId{vm}, "zone"});
        setCandidates(state, candidates);
        for (const OwnedTarget &target : list)
            applyClaim(state, target.target, VmId{2 + target.target.value % 139}, {5, 0}, false);
        Instant now = Instant{} + std::chrono::seconds(10);
        points.push_back({static_cast<double>(targets), microsecondsOf(200, [&](int) {
                              now += std::chrono::milliseconds(50);
                              tick(state, now);
                          })});
    }
    return fitSlope("ownership tick, time", "target", "us", points);
}

Slope keyMemory()
{
    std::vector<Point> points;
    for (const int count : {2000, 4000, 8000}) {
        KeyRecords keys = makeKeyRecords({}, VmId{1}, Instant{});
        const double bytes = heapBytesOf([&] {
            for (int index = 0; index < count; ++index) {
                const KeyRequest request{static_cast<std::uint64_t>(index) * 7919, 1, 1};
                reserveKey(keys, request, Instant{});
                completeKey(keys, request,
                            {ErrorKind::Ok, 200, "application/json", std::string(600, 'x'), true},
                            Instant{});
            }
        });
        points.push_back({static_cast<double>(count), bytes});
    }
    return fitSlope("record of an Idempotency-Key, memory (600 B answer)", "record", "B", points);
}

double requestDecisionTime()
{
    RetryBudget budget;
    AdmissionState admission;
    admission.config.maxInFlight = 1000000;
    return microsecondsOf(100000, [&](int) {
        admit(admission, ServiceId{1}, 1);
        RequestLifecycle life;
        life.traits.deadline = Instant{} + std::chrono::hours(1);
        const std::uint32_t attempt = beginAttempt(life);
        takePiece(life, attempt, 0);
        endAttempt(life, {attempt, ErrorKind::Ok, true, 1}, budget, Instant{});
        release(admission, ServiceId{1});
    });
}

v1::TargetNews targetNews(int slots)
{
    v1::TargetNews news;
    news.set_target(~0ULL);
    news.set_owner(~0ULL);
    news.set_token(1ULL << 40U);
    news.set_version(1 << 20);
    news.set_running(12);
    news.set_usable(true);
    for (int slot = 0; slot < slots; ++slot)
        news.add_resident(~0ULL - static_cast<std::uint64_t>(slot));
    for (int slot = 0; slot < slots / 2; ++slot)
        news.add_pinned(~0ULL);
    return news;
}

Slope newsBytes()
{
    std::vector<Point> points;
    for (const int slots : {4, 8, 16})
        points.push_back(
            {static_cast<double>(slots), static_cast<double>(targetNews(slots).ByteSizeLong())});
    return fitSlope("news of one target, bytes", "slot", "B", points);
}

PeerHandlers quietHandlers()
{
    PeerHandlers handlers;
    handlers.tell = [](v1::PeerNews) -> asio::awaitable<v1::PeerNewsReply> {
        co_return v1::PeerNewsReply();
    };
    return handlers;
}

/** Sends `count` empty news to a peer, one after the other. */
void tellTimes(PeerClient &client, const Endpoint &peer, int count)
{
    asio::io_context context(1);
    const auto work = [&]() -> asio::awaitable<void> {
        for (int number = 0; number < count; ++number) {
            v1::PeerNews news;
            const Duration patience = std::chrono::seconds(5);
            co_await client.tell(peer, std::move(news), patience);
        }
    };
    // While gRPC works, the context has nothing to do; the guard keeps it until the last reply.
    auto guard = asio::make_work_guard(context);
    asio::co_spawn(context, work(), [&guard](const std::exception_ptr &) { guard.reset(); });
    context.run();
}

/** A peer server with the threads that answer for it. */
struct QuietPeer
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    PeerServer server{context, {"127.0.0.1", 0}, quietHandlers()};
    std::thread thread{[this] {
        this->context.run();
    }};

    ~QuietPeer()
    {
        this->context.stop();
        this->thread.join();
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", this->server.port()};
    }
};

/** Memory of both ends of a connection between peers, each after one message. */
Slope channelMemory()
{
    QuietPeer peer;
    std::vector<Point> points;
    std::vector<std::unique_ptr<PeerClient>> clients;
    const auto addOne = [&] {
        clients.push_back(std::make_unique<PeerClient>());
        tellTimes(*clients.back(), peer.endpoint(), 1);
    };
    addOne(); // what gRPC sets up once
    double total = 0;
    for (const int count : {20, 40, 80}) {
        total += heapBytesOf([&] {
            while (static_cast<int>(clients.size()) <= count)
                addOne();
        });
        points.push_back({static_cast<double>(count), total});
    }
    return fitSlope("connection between peers, memory of both ends", "connection", "B", points);
}

double probeBytes()
{
    v1::PeerNews news;
    news.set_vm("zone-a-entry-101");
    news.set_zone("zone-a");
    news.set_incarnation(1ULL << 41U);
    news.set_manifest_offset(1 << 24);
    news.set_manifest_digest(std::string(32, 'f'));
    news.set_highest_token(1 << 24);
    for (int index = 0; index < 3; ++index) {
        v1::MemberNews *member = news.add_members();
        member->set_vm(~0ULL);
        member->set_name("zone-a-entry-101");
        member->set_zone("zone-a");
        member->set_address("10.20.30.40");
        member->set_port(8081);
        member->set_incarnation(1ULL << 41U);
    }
    return static_cast<double>(news.ByteSizeLong());
}

/** What one node spends on a role at the target size. */
struct RoleCost
{
    std::string role;
    std::string mechanism;
    double bytes = 0;
    double coreShare = 0;
    double bytesPerSecond = 0;
    std::string note;
};

std::string roleRow(const RoleCost &cost)
{
    std::ostringstream text;
    text << "| " << cost.role << " | " << cost.mechanism << " | " << std::fixed
         << std::setprecision(2) << cost.bytes / 1e6 << " | " << std::setprecision(3)
         << cost.coreShare * 100 << " | " << std::setprecision(2) << cost.bytesPerSecond / 1e3
         << " | " << cost.note << " |\n";
    return text.str();
}

struct Slopes
{
    Slope demand = demandMemory();
    Slope manifest = manifestMemory();
    Slope delta = deltaTime();
    Slope check = checkTime();
    Slope directory = directoryMemory();
    Slope route = routeTime();
    Slope apply = applyTime();
    Slope decide = decideTime();
    Slope members = membershipMemory();
    Slope memberTick = membershipTick();
    Slope ownerTick = ownershipTick();
    Slope keys = keyMemory();
    Slope news = newsBytes();
    double request = requestDecisionTime();
    Slope channel = channelMemory();
    double idleDecide = decideWithFreeSlots();
    double probe = probeBytes();
};

double at(const Slope &slope, double size)
{
    return slope.fixed + slope.perUnit * size;
}

std::vector<RoleCost> roleCosts(const Slopes &slopes, const TargetSize &size)
{
    constexpr double us = 1e-6;
    const double zoneRunners = size.runners / size.zones;
    const double zoneNodes = size.nodes / size.zones;
    const double ownedRunners = size.runners / size.nodes;
    const double wakes = size.adapters * size.wakingShareAnHour / 3600;
    const double changes = 2 * wakes; // a slot begins and ends a load
    const double restartedSlots = size.restartsPerDay / 86400 * size.slotsPerRunner;
    const double newsPerSecond = changes + restartedSlots;
    const double newsSize = at(slopes.news, size.slotsPerRunner);
    // Frames and headers of a small gRPC message on a warm connection: assumed, not measured.
    constexpr double framing = 120;
    const double requests = size.requestsPerSecond / size.nodes;
    const double tick = 20; // ticks a second of the membership and ownership loops
    std::vector<RoleCost> costs;
    costs.push_back({"ingress", "admission, life, routing by directory", 0,
                     requests * (slopes.request + at(slopes.route, zoneRunners)) * us, 0,
                     "decisions only; the relay of bytes is not control"});
    costs.push_back({"owner", "lease by engine, one claim order a quarter lease",
                     ownedRunners * 4096, tick * at(slopes.ownerTick, zoneRunners) * us,
                     ownedRunners * 2 * 600, "all targets of the zone in view, 14 owned"});
    costs.push_back({"membership", "SWIM: 10 probes a second, indirect probes, gossip",
                     at(slopes.members, size.nodes), tick * at(slopes.memberTick, size.nodes) * us,
                     10 * 2 * (slopes.probe + framing),
                     "the same for any number of VMs but for the tick"});
    costs.push_back({"directory, whole fleet", "news of every change to every node",
                     at(slopes.directory, size.runners),
                     newsPerSecond * at(slopes.apply, size.slotsPerRunner) * us,
                     newsPerSecond * (newsSize + framing), "changes only"});
    costs.push_back({"directory, loads and pins of the zone", "every 300 ms as today", 0,
                     zoneRunners / 0.3 * at(slopes.apply, size.slotsPerRunner) * us,
                     zoneRunners / 0.3 * newsSize, "BREAKS the budget if broadcast as today"});
    costs.push_back({"directory, loads and pins by need",
                     "to the coordinator only, every 2 s, batched by owner", 0, 0,
                     ownedRunners / 2 * newsSize, "what the growth needs instead"});
    costs.push_back({"load permits (coordinator)", "one a region, soft state",
                     at(slopes.demand, size.adapters) + size.runners / 3 * 200,
                     wakes / 3 * at(slopes.decide, size.runners / 3) * us, requests * 20,
                     "only on the coordinating node"});
    costs.push_back({"idempotency records", "two holders by hash, 600 s",
                     requests * 2 * 600 * 0.1 * slopes.keys.perUnit, 0, requests * 0.1 * 2 * 900,
                     "if one request in ten carries a key"});
    const double perDay = size.changesPerDay / 86400;
    costs.push_back({"manifest reader and spreader", "deltas through peers, judged on each node",
                     at(slopes.manifest, size.adapters),
                     perDay * at(slopes.delta, size.adapters) * us, perDay * (400 + framing) * 2,
                     "two readers of the log a zone"});
    costs.push_back({"connections within the zone",
                     "one gRPC channel each way to each peer of the zone",
                     zoneNodes * slopes.channel.perUnit, 0, 0, "what a node talks to by need"});
    costs.push_back({"connections to all", "one gRPC channel each way to every node",
                     size.nodes * slopes.channel.perUnit, 0, 0,
                     "as today; BREAKS the budget if it exceeds it"});
    return costs;
}

void writeReport(const TargetSize &size)
{
    const Slopes slopes;
    std::cout
        << "## Slopes\n\n| what | size: cost | slope | at size 0 | fit |\n|---|---|---|---|---|\n";
    for (const Slope *slope :
         {&slopes.demand, &slopes.manifest, &slopes.delta, &slopes.check, &slopes.directory,
          &slopes.route, &slopes.apply, &slopes.decide, &slopes.members, &slopes.memberTick,
          &slopes.ownerTick, &slopes.keys, &slopes.news, &slopes.channel})
        std::cout << slopeRow(*slope);
    std::cout << "\nOne request's decisions (admission, life): " << std::setprecision(3)
              << slopes.request << " us. A probe between peers: " << slopes.probe
              << " B before framing (120 B assumed).\nOne tick of the coordinator with free slots "
                 "and 67,000 adapters known: "
              << slopes.idleDecide << " us.\n\n"
              << "## A node at 840 nodes, 12,000 runners, 67,000 adapters\n\n"
              << "| role | mechanism | memory MB | % of a core | KB/s | note "
                 "|\n|---|---|---|---|---|---|\n";
    for (const RoleCost &cost : roleCosts(slopes, size))
        std::cout << roleRow(cost);
    std::cout << "| budget | | " << size.bytes / 1e6 << " | " << size.coreShare * 100 << " | "
              << size.bytesPerSecond / 1e3 << " | |\n";
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("monsoonbay-capacity",
                             "Measures slopes and prints the tables of docs/CAPACITY.md");
    options.add_options()("h,help", "this text");
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    writeReport(TargetSize{});
    return 0;
}
