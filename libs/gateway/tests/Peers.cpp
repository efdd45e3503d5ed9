#include "Feeds.h"
#include "GatewayNode.h"
#include "PeerExchange.h"
#include "RelayLoops.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

// Symptom would be two VMs that order one engine. Sequence: a VM starts while another of its zone
// is cut off from the store and from it; the other is one of the seeds, which name no zone, and the
// store names its zone later. Cause: the zone of a peer that was known already was not taken, so
// the new VM did not wait for it.
Test(peers, the_zone_of_a_seed_is_taken_when_it_is_told)
{
    GatewaySettings settings;
    settings.zone = "zone-a";
    GatewayNode node(settings);
    const Endpoint seed{"10.0.0.2", 7380};
    addPeer(node, seed, {});
    addPeer(node, seed, {"vm-2", "zone-a", 1});
    cr_assert_eq(node.peers.at(seed).zone, "zone-a");
    addPeer(node, seed, {});
    cr_assert_eq(node.peers.at(seed).zone, "zone-a");
}

namespace {

GatewaySettings settingsOfVm1()
{
    GatewaySettings settings;
    settings.vm = "vm-1";
    settings.zone = "zone-a";
    settings.peers = {"10.0.0.1", 7380};
    return settings;
}

TargetEntry listedTarget(const std::string &id, bool leaving)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.leaving = leaving;
    return entry;
}

gateway::v1::Report reportFrom(const std::string &name, std::uint64_t knownBoot,
                               std::uint64_t knownChange, std::uint64_t sequence)
{
    gateway::v1::Report report;
    report.mutable_from()->set_name(name);
    report.mutable_from()->set_address("10.0.0.7");
    report.mutable_from()->set_port(7380);
    report.mutable_from()->set_boot(5);
    report.mutable_from()->set_zone("zone-a");
    report.set_sequence(sequence);
    report.set_known_boot(knownBoot);
    report.set_known_change(knownChange);
    return report;
}

} // namespace

// Symptom: two VMs went on sending to a target for two seconds after it had said that it is
// leaving; their relay knew after 0.3 s. Sequence: another zone tells the relay that the target is
// leaving; then the relay reads the target's last two entries, one from before and the one that
// says it. Cause: the older entry was told on as "stays", and the newer one held for nothing new.
Test(peers, leaving_is_told_on_whatever_older_entries_say)
{
    GatewayNode node(settingsOfVm1());
    takeTargetsByPeer(node, {listedTarget("t", false)}, false);
    const auto first = answerReport(node, reportFrom("vm-7", 0, 0, 1));
    noteLeavingByPeer(node, "t");
    takeTargetsByPeer(node, {listedTarget("t", false)}, false);
    takeTargetsByPeer(node, {listedTarget("t", true)}, false);
    const auto second = answerReport(node, reportFrom("vm-7", node.boot, first.change(), 2));
    cr_assert_eq(second.targets_size(), 1);
    cr_assert(second.targets(0).leaving());
}

// Symptom: callers of a cut zone of 21 VMs were refused for 4 s, "no engine has room", while its
// engines stood half empty. Sequence: no VM of the zone reaches the store; the relay steps down,
// the next one tries for a second and steps down, too. Cause: mates that nothing was known of were
// taken for such that reach the store.
Test(peers, a_relay_steps_down_only_for_a_mate_that_reaches_the_store)
{
    GatewayNode node(settingsOfVm1());
    auto report = reportFrom("vm-7", 0, 0, 1);
    report.set_store_reached_ago_ms(5000);
    answerReport(node, report);
    const Instant now = BootClock::now();
    noteStoreAnswer(node, false, now);
    cr_assert(!ownRank(node).storeAway, "nobody of the zone is known to do better");
    report.set_sequence(2);
    report.set_store_reached_ago_ms(10);
    answerReport(node, report);
    cr_assert(ownRank(node).storeAway);
    noteStoreAnswer(node, true, now);
    cr_assert(!ownRank(node).storeAway);
}

// Symptom: engines with half of their slots in use were taken as full, in the seconds after each
// change of the relay. Sequence: VMs report their calls to the new relay; the former one, which
// reports there, too, still counts them among its own. Cause: it kept their last reports.
Test(peers, a_former_relay_does_not_tell_on_what_it_was_told)
{
    GatewayNode node(settingsOfVm1());
    setRelaying(node, true);
    auto report = reportFrom("vm-7", 0, 0, 1);
    report.set_carries_use(true);
    report.add_uses()->set_target("t");
    report.mutable_uses(0)->set_runs(3);
    answerReport(node, report);
    cr_assert_eq(totalLoad(node, "t").runs, 3);
    setRelaying(node, false);
    cr_assert_eq(totalLoad(node, "t").runs, 0);
}

// Symptom: two VMs of 21 held the engines of a zone, and three more joined within a day's third
// second, which left all engines without orders for 3 to 6 s. Sequence: the relay asks a mate that
// is still starting; from then on the mate reports, so it is not asked again. Cause: that it had
// started did not stand in its reports.
Test(peers, a_mate_that_has_started_may_hold)
{
    GatewayNode node(settingsOfVm1());
    auto report = reportFrom("vm-7", 0, 0, 1);
    report.set_carries_use(true);
    report.set_starting(true);
    cr_assert(!answerReport(node, report).may_hold());
    report.set_sequence(2);
    report.set_starting(false);
    cr_assert(answerReport(node, report).may_hold());
}
