#include "FleetCount.h"
#include "GatewayNode.h"
#include "PeerExchange.h"
#include "UsageSnapshots.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

namespace v1 = gateway::v1;

GatewaySettings settingsOf(const std::string &vm, const Endpoint &peers)
{
    GatewaySettings settings;
    settings.vm = vm;
    settings.zone = "zone-a";
    settings.peers = peers;
    settings.hasQuotaPolicy = true;
    return settings;
}

const GatewaySettings relaySettings = settingsOf("vm-1", {"10.0.0.1", 7380});
const GatewaySettings zonePeerSettings = settingsOf("vm-2", {"10.0.0.2", 7380});

void configure(GatewayNode &node, double ratePerSecond)
{
    Workspace workspace;
    workspace.name = "ferry";
    workspace.limit.ratePerSecond = ratePerSecond;
    ServingConfig config;
    config.version = 1;
    config.workspaces = {workspace};
    node.routes = std::make_shared<RouteTable>(std::move(config));
}

v1::Report zonePeerReport(std::uint64_t sequence)
{
    v1::Report report;
    report.mutable_from()->set_name("vm-2");
    report.mutable_from()->set_address("10.0.0.2");
    report.mutable_from()->set_port(7380);
    report.mutable_from()->set_boot(5);
    report.mutable_from()->set_zone("zone-a");
    report.set_sequence(sequence);
    return report;
}

UsageSnapshot snapshotOf(int percent)
{
    SnapshotEntry usage;
    usage.percent = percent;
    usage.units[3] = 700;
    return {{"ferry", usage}};
}

} // namespace

// Guards against a permit that is valid for longer at a VM than at the relay that sent it.
Test(usage_updates, a_permit_ages_in_transit)
{
    GatewayNode relay(relaySettings);
    configure(relay, 1000);
    relay.usageSnapshots.writes = true;
    const Instant now = BootClock::now();
    relay.usageSnapshots.permits = {{{"ferry", 80}}, now - 1s};
    const v1::Digest digest = answerReport(relay, zonePeerReport(1));
    GatewayNode zonePeer(zonePeerSettings);
    configure(zonePeer, 1000);
    cr_assert_eq(allowedShare(zonePeer, "ferry", now), shareWithoutSnapshot);
    applyUsageUpdates(zonePeer, digest, false, now);
    cr_assert_eq(allowedShare(zonePeer, "ferry", now), shareWithoutSnapshot,
                 "not sent by its own relay");
    applyUsageUpdates(zonePeer, digest, true, now);
    cr_assert_eq(allowedShare(zonePeer, "ferry", now), 0.8);
    cr_assert_eq(allowedShare(zonePeer, "ferry", now + 1s), shareWithoutSnapshot);
}

// Guards against a VM that starts late in a restart of all VMs, and counts as used what the new
// snapshots of the others permit.
Test(usage_updates, snapshots_read_at_the_start_are_sent_to_later_starters)
{
    GatewayNode first(relaySettings);
    configure(first, 1000);
    applyStoredSnapshots(first, {snapshotOf(60)});
    const v1::Digest digest = answerReport(first, zonePeerReport(1));
    GatewayNode second(zonePeerSettings);
    configure(second, 1000);
    applyStoredSnapshots(second, {snapshotOf(100)});
    second.usageSnapshots.atStart.readAt += 500ms;
    applyUsageUpdates(second, digest, false, BootClock::now());
    cr_assert_eq(second.usageSnapshots.atStart.zones, std::vector<UsageSnapshot>{snapshotOf(60)});
    v1::Report later = zonePeerReport(2);
    later.set_known_boot(first.boot);
    cr_assert_not(answerReport(first, later).has_spend(), "sent once");
}

// Guards against traffic for a feature that a deployment does not use.
Test(usage_updates, without_limits_nothing_is_sent)
{
    GatewayNode node(relaySettings);
    configure(node, 0);
    applyStoredSnapshots(node, {snapshotOf(60)});
    node.usageSnapshots.writes = true;
    node.usageSnapshots.permits = {{{"ferry", 80}}, BootClock::now()};
    cr_assert_not(answerReport(node, zonePeerReport(1)).has_spend());
    cr_assert_eq(allowedShare(node, "ferry", BootClock::now()), 1.0);
}
