#include "ActiveCall.h"
#include "Feeds.h"
#include "GatewayNode.h"
#include "LeaseKeeping.h"
#include "LinkWatch.h"
#include "LostCalls.h"
#include "PeerExchange.h"
#include "RelayLoops.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

/** Lists targets of one service; `goodAnswers`: good answers of each that other VMs report. */
void listTargets(GatewayNode &node, int targets, int goodAnswers)
{
    node.targetTable.lastReadAt = BootClock::now();
    for (int index = 0; index < targets; ++index) {
        TargetEntry entry;
        entry.id = "t" + std::to_string(index);
        entry.service = "engines";
        entry.endpoint = {"127.0.0.1", 1}; // nobody listens there
        recordListed(node.targetTable, entry);
        node.relayState.others[entry.id].successes = goodAnswers;
    }
}

} // namespace

// Guards against a VM that has lost its links and reports healthy targets as failing.
Test(link_watch, a_vm_detects_its_lost_links_and_reports_no_failures)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 30);
    recordLinkFailure(node, "t0");
    node.context.run_for(50ms);
    cr_assert(!areLinksLost(node, "engines"));
    cr_assert(isOwnLinkFault(node, "t0", BootClock::now()));
    recordLinkFailure(node, "t1");
    node.context.restart();
    node.context.run_for(50ms);
    cr_assert(areLinksLost(node, "engines"));
    cr_assert(isObservationDoubtful(node, "t4"));
    cr_assert(!areLinksLost(node, "other"));
}

// Guards against a VM that accepts calls for a service that it has not called since it lost its
// links.
Test(link_watch, one_lost_service_makes_the_others_be_checked)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 30);
    TargetEntry plain;
    plain.id = "p0";
    plain.service = "bookings";
    plain.endpoint = {"127.0.0.1", 1};
    recordListed(node.targetTable, plain);
    node.relayState.others[plain.id].successes = 30;
    ServingConfig config;
    config.version = 1;
    config.services.resize(2);
    config.services[0].name = "engines";
    config.services[1].name = "bookings";
    node.routes = std::make_shared<RouteTable>(config);
    recordLinkFailure(node, "t0");
    recordLinkFailure(node, "t1");
    node.context.run_for(50ms);
    cr_assert(areLinksLost(node, "bookings"));
}

// Guards against VMs of a zone that lose their links together and take each other's failures for
// failures of the targets.
Test(link_watch, failures_reported_by_other_cut_off_vms_hide_no_lost_links)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 4);
    for (auto &[target, use] : node.relayState.others)
        use.failures = 60;
    recordLinkFailure(node, "t0");
    recordLinkFailure(node, "t1");
    node.context.run_for(50ms);
    cr_assert(areLinksLost(node, "engines"));
}

// Guards against lost links that go unnoticed while calls wait on open connections.
Test(link_watch, calls_that_wait_in_vain_make_the_links_be_checked)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 30);
    spawn(node, "watch links", watchLinksLoop(node));
    recordAwaiting(node, {"t0", "engines"});
    recordAwaiting(node, {"t1", "engines"});
    node.context.run_for(1s);
    cr_assert(areLinksLost(node, "engines"));
}

// Guards against a VM that forgets, when its relay changes, that others reach the targets, and so
// takes its lost links for ended targets.
Test(link_watch, lost_links_are_detected_after_the_relay_has_changed)
{
    for (const bool relayChanges : {true, false}) {
        GatewayNode node((GatewaySettings()));
        listTargets(node, 5, 30);
        if (relayChanges)
            setRelaying(node, true);
        node.relayState.others.clear();
        recordLinkFailure(node, "t0");
        recordLinkFailure(node, "t1");
        node.context.run_for(50ms);
        cr_assert_eq(areLinksLost(node, "engines"), relayChanges);
    }
}

// Guards against checks of healthy links whenever some targets are slow.
Test(link_watch, slow_targets_beside_one_that_answers_are_not_checked)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 30);
    recordAwaiting(node, {"t0", "engines"});
    recordAwaiting(node, {"t1", "engines"});
    node.context.run_for(600ms);
    recordHeard(node, {"t2", "engines"});
    spawn(node, "watch links", watchLinksLoop(node));
    node.context.restart();
    node.context.run_for(100ms);
    cr_assert(!areLinksLost(node, "engines"));
}

// Guards against an extra hop for each call while targets are down for all VMs.
Test(link_watch, targets_that_fail_for_all_vms_are_not_a_link_fault)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 0);
    for (const char *target : {"t0", "t1", "t2", "t3", "t4"})
        recordLinkFailure(node, target);
    node.context.run_for(50ms);
    cr_assert(!areLinksLost(node, "engines"));
    cr_assert(!isOwnLinkFault(node, "t0", BootClock::now()));
}

namespace {

/** Number of ended targets that a VM reports after it lost calls at two that refuse connections. */
std::size_t reportedEnds(int goodAnswers)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, goodAnswers);
    boost::beast::tcp_stream caller(node.context);
    ActiveCall call(node, caller, HttpRequest());
    recordLostCall(call, "t0", BootClock::now());
    recordLostCall(call, "t1", BootClock::now());
    node.context.run_for(400ms);
    return node.shared.evidence.all().size();
}

} // namespace

// Guards against calls that all VMs refuse as harmful because one VM lost them with its own links.
Test(link_watch, calls_lost_with_own_links_are_no_evidence)
{
    cr_assert_eq(reportedEnds(30), 0);
    cr_assert_eq(reportedEnds(0), 2, "targets that fail for all VMs have ended");
}

namespace {

/** Ends that a VM of zone-a reports after it lost a call at a target of zone-b that refuses. */
std::size_t reportedEndsBehind(bool zoneReached)
{
    GatewaySettings settings;
    settings.zone = "zone-a";
    GatewayNode node(settings);
    asio::ip::tcp::acceptor reachedTarget(node.context, {asio::ip::address_v4::loopback(), 0});
    listTargets(node, 2, 0);
    for (auto &[id, record] : node.targetTable.records)
        record.entry.zone = "zone-b";
    TargetEntry other;
    other.id = "other";
    other.service = "bookings";
    other.zone = "zone-b";
    other.endpoint = {"127.0.0.1", 1};
    if (zoneReached)
        other.endpoint.port = reachedTarget.local_endpoint().port();
    recordListed(node.targetTable, other);
    boost::beast::tcp_stream caller(node.context);
    ActiveCall call(node, caller, HttpRequest());
    recordLostCall(call, "t0", BootClock::now());
    node.context.run_for(1s);
    return node.shared.evidence.all().size();
}

} // namespace

// Guards against healthy calls that all VMs refuse as harmful while a zone is cut off by resets.
Test(link_watch, calls_lost_with_the_way_to_a_zone_are_no_evidence)
{
    cr_assert_eq(reportedEndsBehind(false), 0);
    cr_assert_eq(reportedEndsBehind(true), 1, "the target ended, and the zone is reached");
}

namespace {

/** A VM of zone-a that lost its links to engines some time ago. */
struct HolderWithoutLinks
{
    HolderWithoutLinks()
        : node(settings())
    {
        ServingConfig config;
        config.version = 1;
        ServiceSpec service;
        service.name = "engines";
        service.engine = EngineSpec();
        config.services.push_back(service);
        this->node.routes = std::make_shared<RouteTable>(config);
        ServiceLinks &links = this->node.serviceLinks["engines"];
        links.lost = true;
        links.since = BootClock::now() - 5s;
    }

    static GatewaySettings settings()
    {
        GatewaySettings made;
        made.vm = "vm-1";
        made.zone = "zone-a";
        made.peers = {"10.0.0.1", 7380};
        return made;
    }

    void receiveReport(bool linksLost)
    {
        gateway::v1::Report report;
        report.mutable_from()->set_name("vm-2");
        report.mutable_from()->set_address("10.0.0.2");
        report.mutable_from()->set_port(7380);
        report.mutable_from()->set_boot(5);
        report.mutable_from()->set_zone("zone-a");
        report.set_carries_use(true);
        report.set_sequence(++this->sequence);
        report.set_links_lost(linksLost);
        this->digest = answerReport(this->node, report);
    }

    GatewayNode node;
    gateway::v1::Digest digest;
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against a lease holder that reaches no engine and delays the loads of all VMs.
Test(link_watch, a_lease_holder_without_links_yields_to_a_linked_zone_peer)
{
    HolderWithoutLinks holder;
    cr_assert(!shouldYieldLease(holder.node, BootClock::now()), "no other VM reports");
    holder.receiveReport(true);
    cr_assert(!shouldYieldLease(holder.node, BootClock::now()), "the peer lost its links, too");
    holder.receiveReport(false);
    cr_assert(shouldYieldLease(holder.node, BootClock::now()));
    cr_assert_eq(holder.digest.linked_mates(), 0, "this VM does not count as linked");
    holder.node.serviceLinks["engines"].lost = false;
    cr_assert(!shouldYieldLease(holder.node, BootClock::now()));
    holder.receiveReport(false);
    cr_assert_eq(holder.digest.linked_mates(), 1);
}

namespace {

constexpr const char *heldEngine = "engine-1";

/** The engine is listed in the VM's zone, in a partition that the VM holds. */
void holdEngine(GatewayNode &node)
{
    TargetEntry entry;
    entry.id = heldEngine;
    entry.service = "engines";
    entry.zone = "zone-a";
    applyPeerTargets(node, {entry});
    node.heldEngines[heldEngine] = std::make_unique<HeldEngine>(node.context);
    for (int partition = 0; partition < node.settings.partitions; ++partition)
        node.lease.activeFrom[partition] = BootClock::now();
}

} // namespace

// Guards against a handover, and seconds without commands, where open connections to the engines
// have survived the loss of all others.
Test(link_watch, a_lease_holder_that_engines_still_answer_does_not_yield)
{
    HolderWithoutLinks holder;
    holdEngine(holder.node);
    holder.receiveReport(false);
    cr_assert(!shouldYieldLease(holder.node, BootClock::now()));
    holder.node.heldEngines[heldEngine]->unreachable = true;
    cr_assert(shouldYieldLease(holder.node, BootClock::now()));
}

// Guards against a second handover when links are back, and against an engine that nobody commands
// because its last holder is gone.
Test(link_watch, a_vm_that_yielded_stays_out_while_another_one_holds)
{
    HolderWithoutLinks holder;
    GatewayNode &node = holder.node;
    holdEngine(node);
    const Instant now = BootClock::now();
    node.leaseYielded = true;
    node.leaseYieldedAt = now;
    cr_assert(!shouldStayOut(node, now), "nobody holds");
    EngineRecord record;
    record.holder = {"10.0.0.2", 7380};
    record.holderLive = true;
    node.shared.engines.set(heldEngine, record, node.shared.counter);
    cr_assert(shouldStayOut(node, now));
    cr_assert(!shouldStayOut(node, now + 61s), "not for good");
    record.holderLive = false;
    node.shared.engines.set(heldEngine, record, node.shared.counter);
    cr_assert(!shouldStayOut(node, now));
}
