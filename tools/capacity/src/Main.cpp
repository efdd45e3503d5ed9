// Measures how the memory, CPU time and message sizes of an entry VM grow with the size of the
// deployment, fits a line to each, and computes from the lines what one entry VM spends at the size
// of docs/CAPACITY.md. The tables of docs/measurements/capacity.md are the output of this program,
// where an entry VM is called a node and a model engine a runner.

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

/** The size that the requirements give for two years from now, and the budget of one entry VM. */
struct PlannedSize
{
    double entryVms = 840;
    double engines = 12000;
    double adapters = 67000;
    double requestsPerSecond = 28000;
    double tokensPerSecond = 8e6;
    double zones = 6;
    double changesPerDay = 80000; ///< of the manifest
    double activatedSharePerHour = 0.40; ///< of the adapters: those that were idle and get requests
    double vmFailuresPerDay = 75;
    double restartsPerDay = 1500;
    double slotsPerEngine = 8;
    double coreFraction = 0.044; ///< budget: CPU time
    double bytes = 64e6; ///< budget: memory
    double bytesPerSecond = 26e3; ///< budget: network traffic
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

LinearFit measureDemandMemory()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        auto table = std::make_unique<DemandTable>(makeDemandTable({}, Instant{}));
        for (int index = 0; index < count; ++index)
            recordRequests(*table, adapterAt(index), 1, Instant{});
        points.push_back({static_cast<double>(count), static_cast<double>(bytesOf(*table))});
    }
    return fitLine("demand table, memory", "adapter", "B", points);
}

LinearFit measureManifestMemory()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        std::unique_ptr<AdapterTable> table;
        const std::vector<AdapterEntry> entries = adapterEntries(count);
        const double bytes = heapBytesRetained(
            [&] { table = std::make_unique<AdapterTable>(AdapterTable::of(entries)); });
        points.push_back({static_cast<double>(count), bytes});
    }
    return fitLine("manifest, memory", "adapter", "B", points);
}

/** Time to apply a manifest delta of two adapters. */
LinearFit measureDeltaTime()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        Manifest manifest;
        manifest.head.baseModels = {"base"};
        manifest.adapters = AdapterTable::of(adapterEntries(count));
        ManifestDelta delta;
        delta.put.push_back({{"plan-7", "2"}, "base"});
        delta.remove.push_back({"plan-8", "1"});
        points.push_back({static_cast<double>(count), medianMicroseconds(300, [&](int) {
                              const auto changed = applyDelta(manifest, delta);
                              if (!changed.ok())
                                  std::abort();
                          })});
    }
    return fitLine("one delta applied, time", "adapter", "us", points);
}

/** Time to parse and check a complete manifest. */
LinearFit measureCheckTime()
{
    std::vector<Point> points;
    for (const int count : {16750, 33500, 67000}) {
        Manifest manifest;
        manifest.head.baseModels = {"base"};
        manifest.adapters = AdapterTable::of(adapterEntries(count));
        const std::string text = writeManifest(manifest);
        points.push_back({static_cast<double>(count), medianMicroseconds(1, [&](int) {
                              if (!parseManifest(text).ok())
                                  std::abort();
                          })});
    }
    return fitLine("whole manifest checked, time", "adapter", "us", points);
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

LinearFit measureDirectoryMemory()
{
    std::vector<Point> points;
    for (const int targets : {500, 1000, 2000}) {
        std::unique_ptr<ResidentDirectory> directory;
        const double bytes = heapBytesRetained([&] {
            directory = std::make_unique<ResidentDirectory>("zone");
            for (int target = 0; target < targets; ++target)
                directory->apply(statusFor(target, 8));
        });
        points.push_back({static_cast<double>(targets), bytes});
    }
    return fitLine("directory of residents, memory (8 slots a target)", "target", "B", points);
}

LinearFit measureRouteTime()
{
    const PlacementPolicy *policy = findPlacementPolicy("forecast");
    std::vector<Point> points;
    for (const int targets : {500, 1000, 2000}) {
        ResidentDirectory directory("zone");
        for (int target = 0; target < targets; ++target)
            directory.apply(statusFor(target, 8));
        std::size_t found = 0;
        points.push_back({static_cast<double>(targets), medianMicroseconds(100000, [&](int call) {
                              const AdapterId adapter{
                                  rendezvousScore(7, static_cast<std::uint64_t>(call))};
                              found += directory.choose(adapter, *policy, 0.8, 0.2) ? 1 : 0;
                          })});
    }
    return fitLine("one routing decision, time", "target", "us", points);
}

LinearFit measureApplyTime()
{
    std::vector<Point> points;
    for (const int slots : {4, 8, 16}) {
        ResidentDirectory directory("zone");
        std::uint64_t change = 1;
        points.push_back({static_cast<double>(slots), medianMicroseconds(20000, [&](int call) {
                              TargetStatus status = statusFor(call % 500, slots);
                              status.version.change = ++change;
                              status.resident[0] = adapterAt(call % 67000);
                              directory.apply(status);
                          })});
    }
    return fitLine("one target's news applied, time", "slot", "us", points);
}

LinearFit measureDecideTime()
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
            {static_cast<double>(targets), medianMicroseconds(100, [&](int) {
                 const AdapterId coldAdapter = adapterAt(30000 + ++next);
                 updateWant(state,
                            {coldAdapter, VmId{1}, 1, now, now + std::chrono::hours(1), 1, now},
                            now);
                 const PlacementActions actions = decide(state, now);
                 for (const LoadOrder &order : actions.orders)
                     recordLoadResult(state, order.permit, LoadOutcome::Loaded, now);
             })});
    }
    return fitLine("one load decided by the coordinator, time (8 slots a target)", "target", "us",
                   points);
}

/** CPU time in microseconds of a placement decision that finds nothing to load. */
double measureIdleDecideTime()
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
    // All adapters are in backoff, so each call examines every adapter and loads none.
    for (int adapter = 0; adapter < 67000; ++adapter)
        state.backoffs[adapterAt(adapter)] = Backoff{1, Instant::max()};
    return medianMicroseconds(20, [&](int) {
        now += std::chrono::milliseconds(50);
        decide(state, now);
    });
}

LinearFit measureMembershipMemory()
{
    std::vector<Point> points;
    for (const int members : {210, 420, 840}) {
        MembershipState state = makeMembership({}, {}, 1, Instant{});
        const double bytes = heapBytesRetained([&] {
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
    return fitLine("membership, memory", "member", "B", points);
}

LinearFit measureMembershipTick()
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
        points.push_back({static_cast<double>(members), medianMicroseconds(500, [&](int) {
                              now += std::chrono::milliseconds(50);
                              for (const Probe &probe : tick(state, now))
                                  recordMessage(state, probe.to, 1, now);
                              nextGossip(state);
                          })});
    }
    return fitLine("membership tick with its probes, time", "member", "us", points);
}

LinearFit measureOwnershipTick()
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
        points.push_back({static_cast<double>(targets), medianMicroseconds(200, [&](int) {
                              now += std::chrono::milliseconds(50);
                              tick(state, now);
                          })});
    }
    return fitLine("ownership tick, time", "target", "us", points);
}

LinearFit measureKeyMemory()
{
    std::vector<Point> points;
    for (const int count : {2000, 4000, 8000}) {
        KeyRecords keys = makeKeyRecords({}, VmId{1}, Instant{});
        const double bytes = heapBytesRetained([&] {
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
    return fitLine("record of an Idempotency-Key, memory (600 B answer)", "record", "B", points);
}

/** CPU time in microseconds of admission and the attempt bookkeeping of one request. */
double measureRequestDecisionTime()
{
    RetryBudget budget;
    AdmissionState admission;
    admission.config.maxInFlight = 1000000;
    return medianMicroseconds(100000, [&](int) {
        admit(admission, ServiceId{1}, 1);
        RequestLifecycle lifecycle;
        lifecycle.traits.deadline = Instant{} + std::chrono::hours(1);
        const std::uint32_t attempt = beginAttempt(lifecycle);
        takePiece(lifecycle, attempt, 0);
        endAttempt(lifecycle, {attempt, ErrorKind::Ok, true, 1}, budget, Instant{});
        release(admission, ServiceId{1});
    });
}

/** A state update of one target, for measuring its encoded size. */
v1::TargetNews targetUpdate(int slots)
{
    v1::TargetNews update;
    update.set_target(~0ULL);
    update.set_owner(~0ULL);
    update.set_token(1ULL << 40U);
    update.set_version(1 << 20);
    update.set_running(12);
    update.set_usable(true);
    for (int slot = 0; slot < slots; ++slot)
        update.add_resident(~0ULL - static_cast<std::uint64_t>(slot));
    for (int slot = 0; slot < slots / 2; ++slot)
        update.add_pinned(~0ULL);
    return update;
}

LinearFit measureUpdateBytes()
{
    std::vector<Point> points;
    for (const int slots : {4, 8, 16})
        points.push_back(
            {static_cast<double>(slots), static_cast<double>(targetUpdate(slots).ByteSizeLong())});
    return fitLine("news of one target, bytes", "slot", "B", points);
}

PeerHandlers emptyReplyHandlers()
{
    PeerHandlers handlers;
    handlers.tell = [](v1::PeerNews) -> asio::awaitable<v1::PeerNewsReply> {
        co_return v1::PeerNewsReply();
    };
    return handlers;
}

/** Sends `count` empty state updates to a peer, one after the other. */
void sendEmptyUpdates(PeerClient &client, const Endpoint &peer, int count)
{
    asio::io_context context(1);
    const auto sendAll = [&]() -> asio::awaitable<void> {
        for (int number = 0; number < count; ++number) {
            v1::PeerNews update;
            const Duration timeout = std::chrono::seconds(5);
            co_await client.tell(peer, std::move(update), timeout);
        }
    };
    // The context has no work while a gRPC call is in progress; the guard keeps it running until
    // the last reply.
    auto guard = asio::make_work_guard(context);
    asio::co_spawn(context, sendAll(), [&guard](const std::exception_ptr &) { guard.reset(); });
    context.run();
}

/** A peer server, with its thread, that answers state updates with an empty reply. */
struct EmptyReplyPeer
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    PeerServer server{context, {"127.0.0.1", 0}, emptyReplyHandlers()};
    std::thread thread{[this] {
        this->context.run();
    }};

    ~EmptyReplyPeer()
    {
        this->context.stop();
        this->thread.join();
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", this->server.port()};
    }
};

/** Memory of both ends of connections between peers, measured after one message on each. */
LinearFit measureChannelMemory()
{
    EmptyReplyPeer peer;
    std::vector<Point> points;
    std::vector<std::unique_ptr<PeerClient>> clients;
    const auto addOne = [&] {
        clients.push_back(std::make_unique<PeerClient>());
        sendEmptyUpdates(*clients.back(), peer.endpoint(), 1);
    };
    addOne(); // leaves out what gRPC allocates once per process
    double total = 0;
    for (const int count : {20, 40, 80}) {
        total += heapBytesRetained([&] {
            while (static_cast<int>(clients.size()) <= count)
                addOne();
        });
        points.push_back({static_cast<double>(count), total});
    }
    return fitLine("connection between peers, memory of both ends", "connection", "B", points);
}

/** Size of a membership probe that carries the state of three members. */
double measureProbeBytes()
{
    v1::PeerNews update;
    update.set_vm("zone-a-entry-101");
    update.set_zone("zone-a");
    update.set_incarnation(1ULL << 41U);
    update.set_manifest_offset(1 << 24);
    update.set_manifest_digest(std::string(32, 'f'));
    update.set_highest_token(1 << 24);
    for (int index = 0; index < 3; ++index) {
        v1::MemberNews *member = update.add_members();
        member->set_vm(~0ULL);
        member->set_name("zone-a-entry-101");
        member->set_zone("zone-a");
        member->set_address("10.20.30.40");
        member->set_port(8081);
        member->set_incarnation(1ULL << 41U);
    }
    return static_cast<double>(update.ByteSizeLong());
}

/** What one entry VM spends on a role at the planned size. */
struct RoleCost
{
    std::string role;
    std::string mechanism;
    double bytes = 0;
    double coreFraction = 0;
    double bytesPerSecond = 0;
    std::string note;
};

std::string roleRow(const RoleCost &cost)
{
    std::ostringstream text;
    text << "| " << cost.role << " | " << cost.mechanism << " | " << std::fixed
         << std::setprecision(2) << cost.bytes / 1e6 << " | " << std::setprecision(3)
         << cost.coreFraction * 100 << " | " << std::setprecision(2) << cost.bytesPerSecond / 1e3
         << " | " << cost.note << " |\n";
    return text.str();
}

/** All measured lines and values; the members are measured in the order of their declaration. */
struct Measurements
{
    LinearFit demand = measureDemandMemory();
    LinearFit manifest = measureManifestMemory();
    LinearFit delta = measureDeltaTime();
    LinearFit check = measureCheckTime();
    LinearFit directory = measureDirectoryMemory();
    LinearFit route = measureRouteTime();
    LinearFit apply = measureApplyTime();
    LinearFit decide = measureDecideTime();
    LinearFit membership = measureMembershipMemory();
    LinearFit membershipTick = measureMembershipTick();
    LinearFit ownershipTick = measureOwnershipTick();
    LinearFit keys = measureKeyMemory();
    LinearFit update = measureUpdateBytes();
    double request = measureRequestDecisionTime();
    LinearFit channel = measureChannelMemory();
    double idleDecide = measureIdleDecideTime();
    double probe = measureProbeBytes();
};

/** Cost at this size according to the fitted line. */
double predict(const LinearFit &fit, double size)
{
    return fit.intercept + fit.slope * size;
}

std::vector<RoleCost> roleCosts(const Measurements &measured, const PlannedSize &size)
{
    constexpr double us = 1e-6;
    const double enginesPerZone = size.engines / size.zones;
    const double entryVmsPerZone = size.entryVms / size.zones;
    const double enginesPerOwner = size.engines / size.entryVms;
    const double activationsPerSecond = size.adapters * size.activatedSharePerHour / 3600;
    // A slot changes when a load begins and when it ends.
    const double slotChangesPerSecond = 2 * activationsPerSecond;
    const double restartedSlotsPerSecond = size.restartsPerDay / 86400 * size.slotsPerEngine;
    const double updatesPerSecond = slotChangesPerSecond + restartedSlotsPerSecond;
    const double updateBytes = predict(measured.update, size.slotsPerEngine);
    // Frames and headers of a small gRPC message on an open connection; assumed, not measured.
    constexpr double framingBytes = 120;
    const double requestsPerEntryVm = size.requestsPerSecond / size.entryVms;
    const double ticksPerSecond = 20; // of the membership and ownership loops
    std::vector<RoleCost> costs;
    costs.push_back(
        {"ingress", "admission, life, routing by directory", 0,
         requestsPerEntryVm * (measured.request + predict(measured.route, enginesPerZone)) * us, 0,
         "decisions only; the relay of bytes is not control"});
    costs.push_back({"owner", "lease by engine, one claim order a quarter lease",
                     enginesPerOwner * 4096,
                     ticksPerSecond * predict(measured.ownershipTick, enginesPerZone) * us,
                     enginesPerOwner * 2 * 600, "all targets of the zone in view, 14 owned"});
    costs.push_back({"membership", "SWIM: 10 probes a second, indirect probes, gossip",
                     predict(measured.membership, size.entryVms),
                     ticksPerSecond * predict(measured.membershipTick, size.entryVms) * us,
                     10 * 2 * (measured.probe + framingBytes),
                     "the same for any number of VMs but for the tick"});
    costs.push_back({"directory, whole fleet", "news of every change to every node",
                     predict(measured.directory, size.engines),
                     updatesPerSecond * predict(measured.apply, size.slotsPerEngine) * us,
                     updatesPerSecond * (updateBytes + framingBytes), "changes only"});
    costs.push_back({"directory, loads and pins of the zone", "every 300 ms as today", 0,
                     enginesPerZone / 0.3 * predict(measured.apply, size.slotsPerEngine) * us,
                     enginesPerZone / 0.3 * updateBytes,
                     "BREAKS the budget if broadcast as today"});
    costs.push_back({"directory, loads and pins by need",
                     "to the coordinator only, every 2 s, batched by owner", 0, 0,
                     enginesPerOwner / 2 * updateBytes, "what the growth needs instead"});
    costs.push_back({"load permits (coordinator)", "one a region, soft state",
                     predict(measured.demand, size.adapters) + size.engines / 3 * 200,
                     activationsPerSecond / 3 * predict(measured.decide, size.engines / 3) * us,
                     requestsPerEntryVm * 20, "only on the coordinating node"});
    costs.push_back({"idempotency records", "two holders by hash, 600 s",
                     requestsPerEntryVm * 2 * 600 * 0.1 * measured.keys.slope, 0,
                     requestsPerEntryVm * 0.1 * 2 * 900, "if one request in ten carries a key"});
    const double manifestChangesPerSecond = size.changesPerDay / 86400;
    costs.push_back({"manifest reader and spreader", "deltas through peers, judged on each node",
                     predict(measured.manifest, size.adapters),
                     manifestChangesPerSecond * predict(measured.delta, size.adapters) * us,
                     manifestChangesPerSecond * (400 + framingBytes) * 2,
                     "two readers of the log a zone"});
    costs.push_back(
        {"connections within the zone", "one gRPC channel each way to each peer of the zone",
         entryVmsPerZone * measured.channel.slope, 0, 0, "what a node talks to by need"});
    costs.push_back({"connections to all", "one gRPC channel each way to every node",
                     size.entryVms * measured.channel.slope, 0, 0,
                     "as today; BREAKS the budget if it exceeds it"});
    return costs;
}

void writeReport(const PlannedSize &size)
{
    const Measurements measured;
    std::cout
        << "## Slopes\n\n| what | size: cost | slope | at size 0 | fit |\n|---|---|---|---|---|\n";
    for (const LinearFit *fit :
         {&measured.demand, &measured.manifest, &measured.delta, &measured.check,
          &measured.directory, &measured.route, &measured.apply, &measured.decide,
          &measured.membership, &measured.membershipTick, &measured.ownershipTick, &measured.keys,
          &measured.update, &measured.channel})
        std::cout << fitRow(*fit);
    std::cout << "\nOne request's decisions (admission, life): " << std::setprecision(3)
              << measured.request << " us. A probe between peers: " << measured.probe
              << " B before framing (120 B assumed).\nOne tick of the coordinator with free slots "
                 "and 67,000 adapters known: "
              << measured.idleDecide << " us.\n\n"
              << "## A node at 840 nodes, 12,000 runners, 67,000 adapters\n\n"
              << "| role | mechanism | memory MB | % of a core | KB/s | note "
                 "|\n|---|---|---|---|---|---|\n";
    for (const RoleCost &cost : roleCosts(measured, size))
        std::cout << roleRow(cost);
    std::cout << "| budget | | " << size.bytes / 1e6 << " | " << size.coreFraction * 100 << " | "
              << size.bytesPerSecond / 1e3 << " | |\n";
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options(
        "monsoonbay-capacity",
        "Measures costs by size and prints the tables of docs/measurements/capacity.md");
    options.add_options()("h,help", "show this help");
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    writeReport(PlannedSize{});
    return 0;
}
