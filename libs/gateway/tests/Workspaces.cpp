#include "CallerAuthentication.h"
#include "FleetCount.h"
#include "GatewayNode.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "WorkspaceQuota.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

GatewaySettings settingsOf(const std::string &vm, const std::string &address)
{
    GatewaySettings settings;
    settings.vm = vm;
    settings.zone = "zone-a";
    settings.peers = {address, 7380};
    settings.firstStart = true;
    return settings;
}

/** One workspace, "ferry", which holds "key-1". */
std::shared_ptr<const RouteTable> routesOf(std::int64_t version)
{
    ServingConfig config;
    config.version = version;
    Workspace ferry;
    ferry.name = "ferry";
    ferry.keys = {"key-1"};
    ferry.priority = 3;
    ferry.limit.unit = QuotaUnit::Tokens;
    ferry.limit.ratePerSecond = 1000;
    ferry.limit.burst = 1000;
    config.workspaces.push_back(ferry);
    return std::make_shared<RouteTable>(std::move(config));
}

/** A VM that knows of no others, and a call of "ferry" at it. */
struct ServedCall
{
    explicit ServedCall(std::int64_t tokens)
        : node(settingsOf("vm-1", "10.0.0.1"))
        , caller(this->node.context)
        , call(this->node, this->caller, HttpRequest())
    {
        this->node.routes = routesOf(7);
        this->node.vmListRead = true;
        this->node.earlierBoots = EarlierBoots::None;
        this->call.workspace = "ferry";
        this->call.key = digestOfKey("key-1");
        this->call.metadata.tokens = tokens;
        updateKeys(this->node.keys, {}, this->node.routes->config().workspaces);
    }

    std::int64_t used()
    {
        return ownWorkspaceUsage(this->node, BootClock::now())["ferry"].unitsInWindow;
    }

    GatewayNode node;
    boost::beast::tcp_stream caller;
    ActiveCall call;
};

gateway::v1::Report reportOf(GatewayNode &node, std::uint64_t sequence)
{
    gateway::v1::Report report;
    report.mutable_from()->set_name(node.settings.vm);
    report.mutable_from()->set_address(node.settings.peers.address);
    report.mutable_from()->set_port(node.settings.peers.port);
    report.mutable_from()->set_boot(node.boot);
    report.mutable_from()->set_zone(node.settings.zone);
    report.set_sequence(sequence);
    report.set_carries_use(true);
    report.set_vms(1);
    return report;
}

} // namespace

// Guards against calls that are charged although they have not run.
Test(workspaces, calls_that_have_not_run_use_nothing_up)
{
    ServedCall served(600);
    cr_assert(!chargeQuota(served.call));
    cr_assert_eq(served.used(), 600);
    refundQuota(served.call);
    cr_assert_eq(served.used(), 0);
}

// Guards against calls that run twice and are charged once.
Test(workspaces, a_retry_that_may_run_again_counts_again)
{
    ServedCall served(600);
    cr_assert(!chargeQuota(served.call));
    chargeQuotaAgain(served.call);
    cr_assert_eq(served.used(), 1200);
    refundQuota(served.call);
    cr_assert_eq(served.used(), 600, "the retry has not run; the first attempt may have");
}

// Guards against a VM that has just started and takes itself for the only one: each such VM would
// admit the whole limit.
Test(workspaces, a_vm_that_knows_of_no_others_yet_admits_nothing)
{
    ServedCall served(600);
    served.node.vmListRead = false;
    const std::optional<LocalReply> refused = chargeQuota(served.call);
    cr_assert(refused && refused->status == 503);
    cr_assert_eq(served.used(), 0);
}

// Guards against usage of many times the limit after a common restart: VMs that had found only each
// other so far, in twos and threes, took themselves for all VMs.
Test(workspaces, a_relay_that_has_just_started_does_not_know_how_many_vms_there_are)
{
    ServedCall served(600);
    served.node.vmListRead = false;
    served.node.relayState.at = BootClock::now();
    served.node.relayState.reachableVms = 2;
    const std::optional<LocalReply> refused = chargeQuota(served.call);
    cr_assert(refused && refused->status == 503);
    served.node.bootedAt = BootClock::now() - 10s;
    cr_assert(!chargeQuota(served.call), "without the store, the VMs that report count in the end");
}

// Guards against calls of all workspaces that are refused for seconds after a single VM restarted:
// it took itself for the only one and reported the whole limit as used before its start.
Test(workspaces, a_restarted_vm_reports_its_own_part_of_the_window_before_as_used)
{
    ServedCall served(600);
    served.node.settings.firstStart = false;
    served.node.vmListRead = false;
    cr_assert_eq(served.used(), 0, "unknown until it knows how many VMs there are");
    for (int vm = 2; vm <= 70; ++vm)
        addPeer(served.node, {"10.0.1." + std::to_string(vm), 7380},
                {"vm-" + std::to_string(vm), "zone-a", 1});
    served.node.vmListRead = true;
    cr_assert_gt(served.used(), 0);
    cr_assert_leq(served.used(), 10 * 1000 / 70);
}

// Guards against a limit that is exceeded after a restart of VMs that are told at each start that
// it is the system's first: they counted nothing as used before it.
Test(workspaces, a_vm_that_is_told_of_a_first_start_counts_what_was_used_if_it_is_not)
{
    ServedCall served(600);
    cr_assert_eq(served.used(), 0);
    served.node.earlierBoots = EarlierBoots::Seen;
    cr_assert_gt(served.used(), 0);
    served.node.earlierBoots = EarlierBoots::Unknown;
    cr_assert_gt(served.used(), 0, "not shown yet");
}

// Guards against a limit that is exceeded after a common restart: VMs that could not report their
// usage yet were counted as having used nothing, and the others admitted their parts as well.
Test(workspaces, a_vm_that_cannot_report_its_usage_yet_is_not_counted)
{
    ServedCall served(600);
    served.node.settings.firstStart = false;
    GatewayNode requestingVm(settingsOf("vm-2", "10.0.0.2"));
    served.node.vmListRead = false;
    cr_assert_eq(answerReport(served.node, reportOf(requestingVm, 1)).vms_in_touch(), 1,
                 "the requesting VM");
    served.node.vmListRead = true;
    cr_assert_eq(answerReport(served.node, reportOf(requestingVm, 2)).vms_in_touch(), 2);
    served.node.routes = std::make_shared<RouteTable>(ServingConfig());
    cr_assert_eq(answerReport(served.node, reportOf(requestingVm, 3)).vms_in_touch(), 1);
}

// Guards against workspaces that are refused for a minute after a common restart: VMs that took
// each other for the relay added each other's sums again and again, and counted 2,258 VMs of 70.
Test(workspaces, vms_that_report_to_each_other_count_each_other_once)
{
    GatewayNode one(settingsOf("vm-1", "10.0.0.1"));
    GatewayNode two(settingsOf("vm-2", "10.0.0.2"));
    one.earlierBoots = EarlierBoots::None;
    two.earlierBoots = EarlierBoots::None;
    addPeer(one, two.settings.peers, {"vm-2", "zone-a", 1});
    addPeer(two, one.settings.peers, {"vm-1", "zone-a", 1});
    for (int exchange = 0; exchange < 10; ++exchange) {
        answerReport(two, *buildReport(one, one.peers.at(two.settings.peers), true));
        answerReport(one, *buildReport(two, two.peers.at(one.settings.peers), true));
    }
    const Instant now = BootClock::now();
    cr_assert_eq(reachableVms(one, now), 2);
    cr_assert_eq(reachableVms(two, now), 2);
}

// Guards against a VM that admits calls as if no other VM used the workspace's limit.
Test(workspaces, usage_of_other_vms_leaves_less)
{
    ServedCall served(600);
    GatewayNode other(settingsOf("vm-2", "10.0.0.2"));
    gateway::v1::Report report = reportOf(other, 1);
    gateway::v1::WorkspaceUse &usage = *report.add_workspaces();
    usage.set_workspace("ferry");
    usage.set_units(9800);
    usage.set_asked_per_second(1000);
    const gateway::v1::Digest digest = answerReport(served.node, report);
    cr_assert_eq(digest.vms_in_touch(), 2);
    const std::optional<LocalReply> refused = chargeQuota(served.call);
    cr_assert(refused && refused->status == 429);
    cr_assert(refused->retryAfter > 0s);
}

// Guards against a VM that receives its own usage from its relay and counts it twice.
Test(workspaces, a_vm_receives_the_usage_of_all_others)
{
    ServedCall served(600);
    cr_assert(!chargeQuota(served.call));
    GatewayNode other(settingsOf("vm-2", "10.0.0.2"));
    gateway::v1::Report report = reportOf(other, 1);
    gateway::v1::WorkspaceUse &usage = *report.add_workspaces();
    usage.set_workspace("ferry");
    usage.set_units(50);
    const gateway::v1::Digest digest = answerReport(served.node, report);
    cr_assert_eq(digest.other_workspaces_size(), 1);
    cr_assert_eq(digest.other_workspaces(0).units(), 600);
}

namespace {

WorkspaceUse usageWithClasses()
{
    WorkspaceUse usage;
    usage.unitsInWindow = 7000;
    usage.requestedPerSecond = 1000;
    usage.requestedByClass = {10, 200, 0, 790};
    usage.callsInWindowByClass = {4, 3, 0, 1};
    usage.requestedInWindow = 8000;
    return usage;
}

gateway::v1::WorkspaceUse sentAndReceived(const WorkspaceUse &usage)
{
    gateway::v1::WorkspaceUse message;
    encodeWorkspaceUse("ferry", usage, message);
    gateway::v1::WorkspaceUse arrived;
    arrived.ParseFromString(message.SerializeAsString());
    return arrived;
}

/** `message` with one more number in a field. */
WorkspaceUse decodedWith(gateway::v1::WorkspaceUse message, int field, std::uint64_t number)
{
    google::protobuf::UnknownFieldSet added;
    added.AddVarint(field, number);
    std::string wire;
    added.SerializeToString(&wire);
    message.MergeFromString(wire);
    return decodeWorkspaceUse(message);
}

} // namespace

// Guards against numbers that are lost on the wire, and against demand that is not counted at all
// where it comes from VMs of an older version, which send none by class.
Test(workspaces, demand_arrives_as_it_was_sent)
{
    cr_assert(decodeWorkspaceUse(sentAndReceived(usageWithClasses())) == usageWithClasses());
    gateway::v1::WorkspaceUse older;
    older.set_units(7000);
    older.set_asked_per_second(1000);
    cr_assert(decodeWorkspaceUse(older) == WorkspaceUse({7000, 1000}));
    cr_assert_eq(sentAndReceived({7000, 1000}).ByteSizeLong(), older.ByteSizeLong() + 7);
}

// Guards against invalid numbers that reach the sums: the whole entry then counts for the last
// class.
Test(workspaces, invalid_demand_by_class_is_rejected)
{
    const WorkspaceUse plain{7000, 1000};
    const gateway::v1::WorkspaceUse message = sentAndReceived(usageWithClasses());
    for (const int field : {4, 5, 6})
        cr_expect(decodedWith(message, field, 1) == plain, "one number too many in field %d",
                  field);
    cr_expect(decodedWith(sentAndReceived(plain), 4, 1) == plain, "one number only");
    cr_expect(decodedWith(sentAndReceived(plain), 6, ~0ULL) == plain, "a number out of range");
    WorkspaceUse more = usageWithClasses();
    more.requestedByClass[3] = 791;
    cr_expect(decodeWorkspaceUse(sentAndReceived(more)) == plain, "the classes exceed the total");
    gateway::v1::WorkspaceUse huge;
    huge.set_units(~0ULL);
    cr_expect_gt(decodeWorkspaceUse(huge).unitsInWindow, 0, "huge usage does not become negative");
}

// Guards against small calls, such as a booking, that are refused while long prompts use up the
// limit.
Test(workspaces, small_calls_run_beside_long_prompts_that_are_refused)
{
    ServedCall served(900);
    served.node.random.seed(1);
    served.node.bootedAt = BootClock::now() - 10s;
    GatewayNode other(settingsOf("vm-2", "10.0.0.2"));
    gateway::v1::Report report = reportOf(other, 1);
    WorkspaceUse used;
    used.unitsInWindow = 8000;
    used.requestedPerSecond = 2000;
    used.requestedByClass = {0, 2000, 0, 0};
    used.callsInWindowByClass = {0, 40, 0, 0};
    used.requestedInWindow = 16000;
    encodeWorkspaceUse("ferry", used, *report.add_workspaces());
    answerReport(served.node, report);
    int refusedLong = 0;
    for (int round = 0; round < 6; ++round) {
        served.call.metadata.tokens = 400;
        refusedLong += chargeQuota(served.call) ? 1 : 0;
        served.call.metadata.tokens = 5;
        cr_assert(!chargeQuota(served.call));
    }
    cr_assert_geq(refusedLong, 4);
    cr_assert_eq(served.node.metrics.value(Counter::OverLimitRank0), refusedLong);
    cr_assert_eq(served.node.metrics.value(Counter::OverLimitSmall), 0);
}

// Guards against an attempt that waited, and is still sent after its key was revoked.
Test(workspaces, a_key_is_checked_again_before_each_attempt)
{
    ServedCall served(600);
    cr_assert(!recheckKey(served.call));
    cr_assert_eq(priorityOf(served.call), 3);
    updateKeys(served.node.keys, served.node.routes->config().workspaces, {});
    const std::optional<LocalReply> taken = recheckKey(served.call);
    cr_assert(taken && taken->status == 401);
}

// Guards against a VM that sends a call because it was suspended, or cut off, while a key was
// revoked.
Test(workspaces, an_old_confirmation_stops_an_attempt_where_key_checks_are_strict)
{
    ServedCall served(600);
    served.node.settings.access = {true, 5s};
    recordConfirmation(served.node.confirmations, {7, BootClock::now()});
    cr_assert(!recheckKey(served.call));
    served.node.confirmations = Confirmations();
    recordConfirmation(served.node.confirmations, {7, BootClock::now() - 5s});
    const std::optional<LocalReply> refused = recheckKey(served.call);
    cr_assert(refused && refused->status == 503);
}

// Guards against a VM that learns a configuration from another, but not when that was the newest.
Test(workspaces, an_answer_reports_when_the_configuration_was_confirmed)
{
    ServedCall served(600);
    GatewayNode other(settingsOf("vm-2", "10.0.0.2"));
    cr_assert_eq(answerReport(served.node, reportOf(other, 1)).config_confirmed_ago_ms(), 0);
    recordConfirmation(served.node.confirmations, {7, BootClock::now() - 400ms});
    const gateway::v1::Digest digest = answerReport(served.node, reportOf(other, 2));
    cr_assert_eq(digest.config_version(), 7);
    cr_assert_geq(digest.config_confirmed_ago_ms(), 400);
}
