#include "ActiveCall.h"
#include "Feeds.h"
#include "GatewayNode.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "PrefixCodec.h"
#include "PrefixSharing.h"
#include "TargetRestarts.h"

#include <random>

#include <criterion/criterion.h>
#include <google/protobuf/unknown_field_set.h>

using namespace monsoonbay;

namespace {

namespace v1 = gateway::v1;

GatewaySettings settingsOf(const std::string &zone, std::uint16_t port)
{
    GatewaySettings settings;
    settings.vm = "vm-" + std::to_string(port);
    settings.zone = zone;
    settings.peers = {"10.0.0.1", port};
    return settings;
}

/** Time to a first event when most of the prompt is cached, and when none of it is. */
constexpr Duration cachedPrefillTime = std::chrono::milliseconds(80);
constexpr Duration fullPrefillTime = std::chrono::milliseconds(300);

/** A VM that knows one engine. */
struct Vm
{
    Vm(const std::string &zone, std::uint16_t port)
        : node(settingsOf(zone, port))
        , caller(this->node.context)
    {
        TargetEntry engine;
        engine.id = "engine-1";
        engine.startTime = 1;
        applyPeerTargets(this->node, {engine});
    }

    /** A call with a shared prefix; returns the tokens believed to be cached when it is sent. */
    double call(std::optional<Duration> untilFirst)
    {
        ActiveCall activeCall(this->node, this->caller, HttpRequest());
        activeCall.metadata.promptTokens = 9190;
        activeCall.metadata.prompt = {{"shared", 6300}, {"own", 2890}};
        activeCall.prefixes =
            promptPrefixes("m/a", activeCall.metadata.prompt, activeCall.metadata.promptTokens);
        const TargetEntry &engine = *entryOf(this->node, "engine-1");
        const double atPlacement = cachedInEngine(activeCall, engine, TargetUsage(), 232'000);
        const Instant now = BootClock::now();
        PrefillObservation observation(activeCall, "engine-1", now);
        if (untilFirst)
            observation.recordFirstEvent(now + *untilFirst);
        cr_assert_eq(activeCall.cachedTokens, atPlacement,
                     "the same for placement and for waiting tokens");
        return activeCall.cachedTokens;
    }

    double believed()
    {
        return this->call(std::nullopt);
    }

    GatewayNode node;
    boost::beast::tcp_stream caller;
    std::uint64_t sequence = 0;
};

/** The report that `from` sends in a regular exchange with `to`. */
v1::Report reportOf(Vm &from, Vm &to)
{
    v1::Report report;
    encodeSelf(from.node, *report.mutable_from());
    report.set_sequence(++from.sequence);
    report.set_carries_use(true);
    const PeerState &peer = from.node.peers[to.node.settings.peers];
    report.set_known_boot(peer.seenBoot);
    report.set_known_change(peer.seenChange);
    const bool zonePeer = from.node.settings.zone == to.node.settings.zone;
    addPrefixesToReport(from.node, peer, zonePeer, BootClock::now(), report);
    return report;
}

v1::Digest exchange(Vm &from, Vm &to)
{
    const bool zonePeer = from.node.settings.zone == to.node.settings.zone;
    const v1::Digest digest = answerReport(to.node, reportOf(from, to));
    applyDigest(from.node, to.node.settings.peers, digest, zonePeer);
    return digest;
}

} // namespace

// Guards against prompts that are read again at an engine that has cached them for another VM's
// call: each VM saw only its own calls, one in 83.
Test(prefixes, prefixes_seen_by_one_vm_are_used_in_all_zones)
{
    Vm first("zone-a", 1);
    Vm relay("zone-a", 2);
    Vm zonePeer("zone-a", 3);
    Vm otherZoneRelay("zone-b", 4);
    Vm otherZoneVm("zone-b", 5);
    cr_assert_eq(first.believed(), 0);
    cr_assert_eq(first.believed(), 0, "that a call was sent is no evidence");
    exchange(first, relay);
    cr_assert_eq(relay.believed(), 0);
    first.call(cachedPrefillTime);
    const v1::Digest digest = exchange(first, relay);
    cr_assert(decodePrefixUpdates(digest.prefixes()).reads.empty(), "not sent back");
    cr_assert_eq(relay.believed(), 6300);
    exchange(zonePeer, relay);
    cr_assert_eq(zonePeer.believed(), 6300);
    exchange(otherZoneRelay, relay);
    exchange(otherZoneVm, otherZoneRelay);
    cr_assert_eq(otherZoneVm.believed(), 6300);
    cr_assert(decodePrefixUpdates(exchange(zonePeer, relay).prefixes()).reads.empty(), "sent once");
    cr_assert(decodePrefixUpdates(exchange(relay, otherZoneRelay).prefixes()).reads.empty(),
              "not returned by another zone");
}

// Guards against estimates from before a restart of the engine, also by messages that arrive late,
// and from before its adapter was unloaded or replaced.
Test(prefixes, a_restart_or_an_unloaded_adapter_drops_its_prefixes)
{
    Vm vm("zone-a", 1);
    Vm late("zone-a", 2);
    setResident(vm.node, "engine-1", {{"m/a", 1}, {"m/b", 1}});
    vm.call(cachedPrefillTime);
    setResident(vm.node, "engine-1", {{"m/a", 1}});
    cr_assert_eq(vm.believed(), 6300, "another adapter was unloaded");
    setResident(vm.node, "engine-1", {{"m/a", 2}});
    cr_assert_eq(vm.believed(), 0, "it was replaced");
    vm.call(cachedPrefillTime);
    setResident(vm.node, "engine-1", {});
    cr_assert_eq(vm.believed(), 0, "it was unloaded");
    late.call(cachedPrefillTime);
    recordStartTime(vm.node, "engine-1", 2);
    exchange(late, vm);
    cr_assert_eq(vm.believed(), 0, "a late report of the previous run");
}

// Guards against a belief that confirms itself: calls are placed by it, and each one would renew
// it. If it were passed on at once, it would come back from the other VMs.
Test(prefixes, a_missing_prefix_is_neither_believed_nor_reported)
{
    Vm first("zone-a", 1);
    Vm relay("zone-a", 2);
    first.call(cachedPrefillTime);
    exchange(first, relay);
    const std::uint64_t logged = first.node.prefixes.log.last;
    cr_assert_eq(first.call(fullPrefillTime), 6300);
    cr_assert_eq(first.node.metrics.value(Counter::PrefixesMissing), 1);
    cr_assert_eq(first.believed(), 0);
    first.call(cachedPrefillTime);
    cr_assert_eq(first.believed(), 0, "not for a while");
    cr_assert_eq(first.node.prefixes.log.last, logged);
    logPrefix(relay.node.prefixes.log, relay.node.prefixes.log.entries.back().read,
              PrefixSource::Zone, 9, BootClock::now());
    exchange(first, relay);
    cr_assert_eq(first.believed(), 0, "nor when another VM reports it");
}

// Guards against a VM that receives no more prefixes after messages were lost, arrived out of
// order, or came from a relay that has restarted.
Test(prefixes, lost_and_late_messages_cost_only_their_content)
{
    Vm first("zone-a", 1);
    Vm relay("zone-a", 2);
    Vm zonePeer("zone-a", 3);
    first.call(cachedPrefillTime);
    reportOf(first, relay); // lost
    answerReport(relay.node, reportOf(first, relay)); // its answer is lost
    const v1::Report early = reportOf(zonePeer, relay);
    exchange(zonePeer, relay);
    cr_assert_eq(zonePeer.believed(), 6300);
    answerReport(relay.node, early); // an older report arrives late
    PeerState &known = zonePeer.node.peers[relay.node.settings.peers];
    known.seenPrefix = 1'000'000; // of a log that the relay never had
    recordRead(relay.node.prefixes.table, 7, {{42, 5000}}, BootClock::now());
    logPrefix(relay.node.prefixes.log, {7, {42, 5000}}, PrefixSource::Own, 0, BootClock::now());
    exchange(zonePeer, relay);
    cr_assert_eq(cachedPrefixTokens(zonePeer.node.prefixes.table, 7, {{42, 5000}}), 5000);
    Vm restarted("zone-a", 2);
    exchange(zonePeer, restarted);
    cr_assert_eq(known.seenPrefix, 0, "numbers of the previous boot are not valid");
    restarted.call(cachedPrefillTime);
    exchange(zonePeer, restarted);
    cr_assert_eq(known.seenPrefix, restarted.node.prefixes.log.last);
}

// Guards against invalid values on the wire that are accepted, or that crash the VM.
Test(prefixes, invalid_values_are_rejected)
{
    PrefixUpdates update;
    update.reads = {{1, {10, 999}}, {1, {11, 1000}}, {1, {12, 2'000'000'000}}, {2, {13, 5000}}};
    const v1::PrefixNews message = encodePrefixUpdates(update);
    const PrefixUpdates decoded = decodePrefixUpdates(message);
    cr_assert_eq(decoded.reads.size(), 2);
    cr_assert_eq(decoded.reads[0].prefix.hash, 11);
    cr_assert_eq(decoded.reads[1].engine, 2);
    update.reads.assign(1000, {3, {14, 5000}});
    cr_assert_eq(decodePrefixUpdates(encodePrefixUpdates(update)).reads.size(),
                 maxPrefixesPerMessage);
    // Truncated and corrupted messages must be handled without a crash.
    const std::string valid = message.SerializeAsString();
    std::mt19937 random(7);
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = valid.substr(0, random() % (valid.size() + 1));
        if (!bytes.empty())
            bytes[random() % bytes.size()] = static_cast<char>(random());
        v1::PrefixNews corrupted;
        // Entries parsed before the corrupted byte are kept.
        static_cast<void>(corrupted.ParseFromString(bytes));
        for (const PrefixRead &read : decodePrefixUpdates(corrupted).reads)
            cr_assert(read.prefix.tokens >= minReportedTokens);
    }
}

namespace {

/** Bytes per second of answers to one VM; each answer has what was logged since the last one. */
double bytesPerSecond(double readsPerSecond, int engines, Duration spacing)
{
    std::mt19937_64 random(11);
    PrefixLog log;
    PrefixReader reader;
    reader.zonePeer = true;
    constexpr int messages = 50;
    Instant now = Instant{} + std::chrono::seconds(1000);
    std::size_t bytes = 0;
    for (int message = 0; message < messages; ++message) {
        now += spacing;
        const int reads = static_cast<int>(readsPerSecond * toSeconds(spacing));
        for (int read = 0; read < reads; ++read) {
            const auto engine = stableHash(std::to_string(random() % engines));
            logPrefix(log, {engine, {random(), 6300}}, PrefixSource::Elsewhere, 9, now);
        }
        v1::Digest digest;
        PrefixUpdates update;
        update.reads = prefixesFor(log, reader, now);
        update.change = log.last;
        *digest.mutable_prefixes() = encodePrefixUpdates(update);
        bytes += digest.ByteSizeLong();
        reader.seen = log.last;
    }
    return static_cast<double>(bytes) / (messages * toSeconds(spacing));
}

} // namespace

// Guards against prefixes that take up a slow link. The intervals are those of RelayLoops.cpp for
// the VMs of one of four zones; each prefix is sent once, as if no two calls shared any.
Test(prefixes, the_bytes_to_each_vm_are_bounded)
{
    using namespace std::chrono_literals;
    for (const int prefixes : {1, 2}) {
        const double today = bytesPerSecond(143 * prefixes, 90, 168ms);
        const double large = bytesPerSecond(500 * prefixes, 90, 600ms);
        cr_log_info("%d prefixes per call: %.0f and %.0f bytes/s", prefixes, today, large);
        cr_assert(today < 10'000 && large < 10'000);
    }
}

// Guards against traffic and work while no call names shared parts.
Test(prefixes, without_shared_parts_nothing_is_sent)
{
    Vm first("zone-a", 1);
    Vm relay("zone-a", 2);
    ActiveCall call(first.node, first.caller, HttpRequest());
    call.metadata.promptTokens = 9190;
    PrefillObservation observation(call, "engine-1", BootClock::now());
    observation.recordFirstEvent(BootClock::now());
    const v1::Report report = reportOf(first, relay);
    const v1::Digest digest = answerReport(relay.node, report);
    cr_assert_not(report.has_prefixes());
    cr_assert_not(digest.has_prefixes());
    cr_assert(first.node.prefixes.table.engines.empty());
}
