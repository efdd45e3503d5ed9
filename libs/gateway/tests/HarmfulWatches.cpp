#include "Feeds.h"
#include "GatewayNode.h"
#include "HarmfulCallTracking.h"
#include "PeerCodec.h"
#include "PeerExchange.h"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const CallIdentity harmful{7, 1};

GatewaySettings settingsOf(const std::string &vm, const std::string &zone)
{
    GatewaySettings settings;
    settings.vm = vm;
    settings.zone = zone;
    settings.peers = {"10.0.0." + vm.substr(3), 7380};
    return settings;
}

gateway::v1::Report reportOf(const GatewayNode &node, std::uint64_t sequence)
{
    gateway::v1::Report report;
    report.mutable_from()->set_name(node.settings.vm);
    report.mutable_from()->set_address(node.settings.peers.address);
    report.mutable_from()->set_port(node.settings.peers.port);
    report.mutable_from()->set_boot(node.boot);
    report.mutable_from()->set_zone(node.settings.zone);
    report.set_sequence(sequence);
    return report;
}

void crashUnder(GatewayNode &node, const std::string &target, const CallIdentity &call)
{
    recordTargetEnd(node, {target, 0, {call}, BootClock::now()});
}

bool blocks(const GatewayNode &node, const CallIdentity &call)
{
    return findHarmful(node.harmful, call) != nullptr;
}

/** `requestingVm` reports to `receiver` and applies the answers, until there are no more updates.
 */
void exchange(GatewayNode &requestingVm, GatewayNode &receiver, std::uint64_t &sequence)
{
    const PeerState &known = requestingVm.peers[receiver.settings.peers];
    do {
        gateway::v1::Report report = reportOf(requestingVm, ++sequence);
        report.set_known_boot(known.seenBoot);
        report.set_known_change(known.seenChange);
        report.set_in_whole(known.fullSyncRunning);
        for (const auto &[id, entry] : requestingVm.shared.evidence.all()) {
            if (entry.value.own)
                encodeEvidence(id, entry.value.evidence, BootClock::now(), *report.add_evidence());
        }
        const gateway::v1::Digest digest = answerReport(receiver, report);
        applyDigest(requestingVm, receiver.settings.peers, digest, true);
    } while (known.hasMoreUpdates);
}

} // namespace

// Guards against VMs that each let a call crash targets until they have seen three crashes
// themselves, as its caller comes to another VM each time. Evidence goes to the relay of the zone,
// and from there to the relays of other zones and to all VMs.
Test(harmful_watch, crashes_seen_by_different_vms_are_combined_at_all_vms)
{
    std::uint64_t sequence = 0;
    GatewayNode first(settingsOf("vm-1", "zone-a"));
    GatewayNode second(settingsOf("vm-2", "zone-a"));
    GatewayNode relay(settingsOf("vm-3", "zone-a"));
    GatewayNode farRelay(settingsOf("vm-4", "zone-b"));
    GatewayNode farVm(settingsOf("vm-5", "zone-b"));
    crashUnder(first, "a", harmful);
    crashUnder(second, "b", harmful);
    crashUnder(farRelay, "c", harmful);
    exchange(first, relay, sequence);
    exchange(second, relay, sequence);
    cr_assert_not(blocks(relay, harmful));
    exchange(farRelay, relay, sequence);
    exchange(farVm, farRelay, sequence);
    cr_assert(blocks(farRelay, harmful));
    cr_assert(blocks(farVm, harmful));
    exchange(relay, farRelay, sequence);
    exchange(first, relay, sequence);
    exchange(second, relay, sequence);
    for (const GatewayNode *node : {&first, &second, &relay})
        cr_assert(blocks(*node, harmful));
}

// Guards against evidence that does not reach all of 300 VMs: three VMs of different zones see one
// crash each; then VMs report to their relay, the relays to one another, and VMs to their relay.
Test(harmful_watch, three_rounds_reach_three_hundred_vms)
{
    constexpr int zones = 4;
    constexpr int vmsOfZone = 75;
    std::vector<std::vector<std::unique_ptr<GatewayNode>>> vms(zones);
    for (int zone = 0; zone < zones; ++zone) {
        for (int vm = 0; vm < vmsOfZone; ++vm)
            vms[zone].push_back(std::make_unique<GatewayNode>(settingsOf(
                "vm-" + std::to_string(zone * vmsOfZone + vm), "zone-" + std::to_string(zone))));
    }
    for (int zone = 0; zone < crashesToBlock; ++zone)
        crashUnder(*vms[zone].back(), "t" + std::to_string(zone), harmful);
    std::uint64_t sequence = 0;
    const auto reportToRelays = [&] {
        for (const auto &zone : vms) {
            for (std::size_t vm = 1; vm < zone.size(); ++vm)
                exchange(*zone[vm], *zone[0], sequence);
        }
    };
    reportToRelays();
    for (const auto &zone : vms) {
        for (const auto &other : vms) {
            if (&zone != &other)
                exchange(*zone[0], *other[0], sequence);
        }
    }
    reportToRelays();
    for (const auto &zone : vms) {
        for (const auto &vm : zone)
            cr_assert(blocks(*vm, harmful), "%s", vm->settings.vm.c_str());
    }
}

// Guards against a call that is blocked for a single crash whose evidence arrives more than once.
Test(harmful_watch, the_same_evidence_received_twice_counts_once)
{
    GatewayNode node(settingsOf("vm-1", "zone-a"));
    CallEvidence evidence{"a", 0, {harmful}, BootClock::now()};
    for (int again = 0; again < crashesToBlock; ++again) {
        addReceivedEvidence(node, 1, evidence);
        evidence.at += 1s;
    }
    evaluateEvidence(node);
    cr_assert_not(blocks(node, harmful));
    cr_assert_eq(node.shared.evidence.all().size(), 1);
}

// Guards against a call that stays blocked, or evidence that stays in memory, for good.
Test(harmful_watch, evidence_expires)
{
    GatewayNode node(settingsOf("vm-1", "zone-a"));
    for (const char *target : {"a", "b", "c"})
        crashUnder(node, target, harmful);
    cr_assert(blocks(node, harmful));
    const Instant now = BootClock::now();
    pruneEvidence(node, now + evidenceTtl - 1s);
    cr_assert(blocks(node, harmful));
    pruneEvidence(node, now + evidenceTtl + 1s);
    cr_assert_not(blocks(node, harmful));
    cr_assert(node.shared.evidence.all().empty());
    cr_assert_eq(node.evidenceSize, 0);
}

namespace {

TargetEntry entryStartedAt(const std::string &id, std::int64_t startedAt, bool leaving)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.startTime = startedAt;
    entry.leaving = leaving;
    return entry;
}

void loseCall(GatewayNode &node, const std::string &target)
{
    runtimeOf(node, target).lost.calls = {{harmful, BootClock::now(), true}};
}

} // namespace

// Guards against crashes that are missed where connections just fall silent: the target list then
// shows a new start of the target.
Test(harmful_watch, a_new_start_in_the_list_is_a_crash_of_the_former_one)
{
    GatewayNode node(settingsOf("vm-1", "zone-a"));
    for (std::int64_t startedAt = 1; startedAt <= crashesToBlock; ++startedAt) {
        applyPeerTargets(node, {entryStartedAt("a", startedAt, false)});
        loseCall(node, "a");
    }
    cr_assert_not(blocks(node, harmful));
    applyPeerTargets(node, {entryStartedAt("a", crashesToBlock + 1, false)});
    cr_assert(blocks(node, harmful));
}

// Guards against calls that are blocked because targets shut down gracefully while running them.
Test(harmful_watch, a_target_that_left_did_not_crash_under_its_calls)
{
    GatewayNode node(settingsOf("vm-1", "zone-a"));
    for (std::int64_t startedAt = 1; startedAt <= 2 * crashesToBlock; ++startedAt) {
        applyPeerTargets(node, {entryStartedAt("a", startedAt, true)});
        loseCall(node, "a");
        dropTargetByPeer(node, "a", true);
    }
    cr_assert(node.shared.evidence.all().empty());
}

// Guards against a VM that runs out of memory, or admits a harmful call again, while many targets
// crash for other reasons.
Test(harmful_watch, memory_is_bounded_and_a_harmful_call_is_kept_longest)
{
    constexpr std::size_t maxKept = 2048;
    GatewayNode node(settingsOf("vm-1", "zone-a"));
    for (const char *target : {"a", "b", "c"})
        crashUnder(node, target, harmful);
    const Instant now = BootClock::now();
    for (std::uint64_t end = 0; end < 3 * maxKept; ++end)
        addReceivedEvidence(node, 1000 + end,
                            {"t" + std::to_string(end), 0, {{10000 + end, 3}}, now});
    evaluateEvidence(node);
    pruneEvidence(node, now);
    cr_assert_leq(node.shared.evidence.all().size(), maxKept);
    cr_assert(blocks(node, harmful));
}
