#include "CallServing.h"
#include "ConfigDownload.h"
#include "Feeds.h"
#include "GatewayNode.h"
#include "PeerExchange.h"

#include <random>

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

namespace v1 = gateway::v1;

/** Documents of this test platform begin with their version and a line break. */
bool readNumberedConfig(std::string_view document, ServingConfig &config)
{
    config.version = std::stoll(std::string(document.substr(0, document.find('\n'))));
    return true;
}

GatewaySettings settingsOf(const std::string &vm)
{
    if (findPlatform("numbered") == nullptr) {
        PlatformPort port{};
        port.name = "numbered";
        port.readConfig = readNumberedConfig;
        registerPlatform(port);
    }
    GatewaySettings settings;
    settings.vm = vm;
    settings.zone = "zone-a";
    settings.platform = "numbered";
    settings.peers = {vm, 7380};
    return settings;
}

/** A document of random bytes, which packing hardly makes shorter. */
std::string longDocument(std::int64_t version, std::size_t bytes)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(version));
    std::string document = std::to_string(version) + "\n";
    while (document.size() < bytes)
        document += static_cast<char>(random());
    return document;
}

void putInForce(GatewayNode &node, const std::string &document)
{
    const std::int64_t version = std::stoll(document.substr(0, document.find('\n')));
    cr_assert(applyPackedConfig(node, packDocument(version, document), "test"));
}

PeerState &addZonePeer(GatewayNode &node, const std::string &vm, double capacity,
                       std::int64_t version)
{
    const Endpoint endpoint{vm, 7380};
    addPeer(node, endpoint, {vm, "zone-a", capacity});
    PeerState &peer = node.peers.at(endpoint);
    recordConfigOffer(node, peer, version);
    return peer;
}

std::int64_t versionOf(const GatewayNode &node)
{
    return node.routes->config().version;
}

v1::Report reportFrom(const std::string &vm, std::int64_t configVersion)
{
    v1::Report report;
    report.mutable_from()->set_name(vm);
    report.mutable_from()->set_address(vm);
    report.mutable_from()->set_port(7380);
    report.mutable_from()->set_boot(5);
    report.mutable_from()->set_zone("zone-a");
    report.set_sequence(1);
    report.set_config_version(configVersion);
    return report;
}

} // namespace

// Guards against exchanges that time out because their answer carries the whole configuration. With
// a configuration of 1 MB, each answer was cut off after 0.5 s. Links were full and processors
// idle. The exchanges of all VMs but those with 200 Mbit/s failed 0.5 s after the change: a VM
// behind a link of 10 Mbit/s got no more state updates from its relay.
Test(config_reading, the_answer_to_an_exchange_does_not_grow_with_the_configuration)
{
    GatewayNode relay(settingsOf("relay"));
    putInForce(relay, longDocument(1, 100));
    const auto small = answerReport(relay, reportFrom("vm-2", 0)).ByteSizeLong();
    putInForce(relay, longDocument(2, 1000000));
    const auto large = answerReport(relay, reportFrom("vm-3", 0)).ByteSizeLong();
    cr_assert_leq(large, small + 100);
}

// Guards against a download that restarts each time a link fails in the middle of it.
Test(config_reading, received_parts_are_kept_when_the_source_changes)
{
    GatewayNode relay(settingsOf("relay"));
    GatewayNode zonePeer(settingsOf("zone-peer"));
    GatewayNode reader(settingsOf("reader"));
    const std::string document = longDocument(4, 200000);
    putInForce(relay, document);
    putInForce(zonePeer, document);
    PeerState &first = addZonePeer(reader, "relay", 2, 4);
    PeerState &second = addZonePeer(reader, "zone-peer", 1, 4);
    int parts = 0;
    for (; parts < 5; ++parts)
        applyConfigPart(reader, first, answerConfigRequest(relay, nextConfigRequest(reader)));
    cr_assert_eq(versionOf(reader), 0);
    for (; versionOf(reader) == 0; ++parts)
        applyConfigPart(reader, second, answerConfigRequest(zonePeer, nextConfigRequest(reader)));
    cr_assert_eq(versionOf(reader), 4);
    cr_assert_leq(parts, static_cast<int>(200000 / maxPartBytes) + 2);
}

// Guards against a VM that keeps asking a zone peer that has restarted and has no configuration
// yet.
Test(config_reading, a_zone_peer_with_an_older_version_than_reported_is_not_asked_again)
{
    GatewayNode restarted(settingsOf("restarted"));
    GatewayNode reader(settingsOf("reader"));
    PeerState &peer = addZonePeer(reader, "restarted", 1, 9);
    cr_assert_not_null(chooseConfigSource(reader, BootClock::now()));
    applyConfigPart(reader, peer, answerConfigRequest(restarted, nextConfigRequest(reader)));
    cr_assert_null(chooseConfigSource(reader, BootClock::now()));
}

Test(config_reading, the_strongest_source_goes_first_and_a_failed_one_waits)
{
    GatewayNode reader(settingsOf("reader"));
    addZonePeer(reader, "weak", 0.1, 9);
    PeerState &strong = addZonePeer(reader, "strong", 2, 9);
    addZonePeer(reader, "behind", 4, 0);
    const Instant now = BootClock::now();
    cr_assert_eq(chooseConfigSource(reader, now)->name, "strong");
    strong.configRetryAt = now + std::chrono::seconds(1);
    cr_assert_eq(chooseConfigSource(reader, now)->name, "weak");
}

// Guards against a configuration that arrives late because each offer of a newer one drops the
// parts of the one before. The zone peer that it is downloaded from sends it to the end.
Test(config_reading, a_newer_offer_does_not_stop_one_that_is_being_read)
{
    GatewayNode relay(settingsOf("relay"));
    GatewayNode reader(settingsOf("reader"));
    putInForce(relay, longDocument(1, 100000));
    PeerState &peer = addZonePeer(reader, "relay", 1, 1);
    applyConfigPart(reader, peer, answerConfigRequest(relay, nextConfigRequest(reader)));
    putInForce(relay, longDocument(2, 100000));
    recordConfigOffer(reader, peer, 2);
    while (versionOf(reader) == 0)
        applyConfigPart(reader, peer, answerConfigRequest(relay, nextConfigRequest(reader)));
    cr_assert_eq(versionOf(reader), 1);
    while (versionOf(reader) == 1)
        applyConfigPart(reader, peer, answerConfigRequest(relay, nextConfigRequest(reader)));
    cr_assert_eq(versionOf(reader), 2);
}

// Guards against an older configuration in force again, sent by a zone peer that is behind.
Test(config_reading, an_older_configuration_is_never_applied)
{
    GatewayNode behind(settingsOf("behind"));
    GatewayNode reader(settingsOf("reader"));
    putInForce(behind, longDocument(3, 100));
    putInForce(reader, longDocument(5, 100));
    PeerState &peer = addZonePeer(reader, "behind", 1, 8);
    applyConfigPart(reader, peer, answerConfigRequest(behind, nextConfigRequest(reader)));
    cr_assert_eq(versionOf(reader), 5);
    cr_assert_null(chooseConfigSource(reader, BootClock::now()));
}

// Guards against a VM that learns of a route late and refuses valid calls as if it did not exist.
Test(config_reading, a_route_is_not_called_unknown_while_another_vm_has_a_newer_configuration)
{
    GatewayNode relay(settingsOf("relay"));
    GatewayNode zonePeer(settingsOf("zone-peer"));
    putInForce(relay, longDocument(2, 100));
    putInForce(zonePeer, longDocument(1, 100));
    cr_assert_eq(refusalWithoutRoute(zonePeer).status, 404);
    PeerState &peer = addZonePeer(zonePeer, "relay", 1, 2);
    const LocalReply refusal = refusalWithoutRoute(zonePeer);
    cr_assert_eq(refusal.status, 503);
    cr_assert_gt(refusal.retryAfter, Duration::zero());
    applyConfigPart(zonePeer, peer, answerConfigRequest(relay, nextConfigRequest(zonePeer)));
    cr_assert_eq(refusalWithoutRoute(zonePeer).status, 404);
}

// Guards against downloads that restart or stall at a zone peer that is still downloading itself.
Test(config_reading, a_zone_peer_passes_on_parts_of_an_unfinished_download)
{
    GatewayNode relay(settingsOf("relay"));
    GatewayNode first(settingsOf("first"));
    GatewayNode second(settingsOf("second"));
    putInForce(relay, longDocument(1, 100000));
    PeerState &relayOfFirst = addZonePeer(first, "relay", 1, 1);
    PeerState &firstOfSecond = addZonePeer(second, "first", 1, 1);
    for (int turn = 0; versionOf(second) == 0 && turn < 40; ++turn) {
        applyConfigPart(second, firstOfSecond,
                        answerConfigRequest(first, nextConfigRequest(second)));
        if (versionOf(first) == 0)
            applyConfigPart(first, relayOfFirst,
                            answerConfigRequest(relay, nextConfigRequest(first)));
    }
    cr_assert_eq(versionOf(second), 1);
}

// Guards against a reader that is redirected endlessly, or stuck at a zone peer that sends nothing.
Test(config_reading, a_redirected_reader_that_receives_nothing_returns)
{
    GatewayNode relay(settingsOf("relay"));
    putInForce(relay, longDocument(1, 100000));
    GatewayNode restarted(settingsOf("vm-1"));
    for (const std::string vm : {"vm-1", "vm-2"}) {
        GatewayNode reader(settingsOf(vm));
        answerConfigRequest(relay, nextConfigRequest(reader));
    }
    GatewayNode third(settingsOf("vm-3"));
    PeerState &peer = addZonePeer(third, "relay", 1, 1);
    applyConfigPart(third, peer, answerConfigRequest(relay, nextConfigRequest(third)));
    const PeerState *source = chooseConfigSource(third, BootClock::now());
    cr_assert_str_eq(source->endpoint.address.c_str(), "vm-1");
    for (int turn = 0; versionOf(third) == 0 && turn < 40; ++turn) {
        third.configDownload.lastProgressAt = Instant{};
        source = chooseConfigSource(third, BootClock::now());
        cr_assert_not_null(source);
        GatewayNode &sender = source->endpoint.address == "relay" ? relay : restarted;
        applyConfigPart(third, third.peers.at(source->endpoint),
                        answerConfigRequest(sender, nextConfigRequest(third)));
    }
    cr_assert_eq(versionOf(third), 1);
}
