// End-to-end tests of VMs that crash, shut down and join, of concurrent manifest publications, and
// of platform outages.

#include "TestCluster.h"

#include <thread>

#include <criterion/criterion.h>

#include "config/Acceptance.h"

using namespace monsoonbay;
using namespace monsoonbay::e2e;

namespace {

const std::vector<VmSpec> threeVms{{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-a"}};

std::size_t ownerOf(TestCluster &cluster, const std::string &target, std::size_t askedVm)
{
    const Json status = cluster.status(askedVm);
    for (const Json &row : status["targets"]) {
        if (row.value("name", "") != target)
            continue;
        for (std::size_t index = 0; index < cluster.spec.vms.size(); ++index) {
            if (cluster.spec.vms[index].name == row.value("owner", ""))
                return index;
        }
    }
    return cluster.spec.vms.size();
}

} // namespace

// Guards against an answer that ends early when an entry VM crashes: the owner of the engine
// crashes during a stream that another VM serves. That VM must resume the stream at the engine,
// where the request is still running.
Test(failures, a_stream_survives_the_death_of_the_engines_owner)
{
    TestCluster cluster({.vms = threeVms, .stepMs = 20});
    cr_assert(cluster.waitUntilReady());
    const std::size_t owner = ownerOf(cluster, "engine-0", 0);
    cr_assert_lt(owner, 3);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(cluster.sendRequest({}, other).status, 200);
    const std::size_t running = cluster.startRequest({.tokens = 300, .stream = true}, other);
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(2); }));
    cluster.killVm(owner);
    const HttpResult result = cluster.awaitResult(running);
    cr_assert_eq(result.status, 200);
    cr_assert(
        receivedAnswer(result).complete, "%s",
        result.body.substr(result.body.size() - std::min<std::size_t>(300, result.body.size()))
            .c_str());
    cr_assert_eq(receivedAnswer(result).text, expectedText("a0@1", 300));
    cr_assert_eq(cluster.engineStatus().value("twiceRun", 99), 0);
    cr_assert_eq(cluster.engineStatus().value("evictedUnderRun", 99), 0);
}

Test(failures, an_engine_is_served_again_after_its_owner_dies)
{
    TestCluster cluster({.vms = threeVms});
    cr_assert(cluster.waitUntilReady());
    const std::size_t owner = ownerOf(cluster, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    cluster.killVm(owner);
    cr_assert(TestCluster::eventually([&] {
        return cluster.sendRequest({.headers = {{"Monsoonbay-Deadline-Ms", "3000"}}}, other).status
            == 200;
    }));
}

// Guards against answers that a rolling restart aborts: the daemon ends before its requests do.
Test(failures, a_graceful_shutdown_aborts_nothing)
{
    TestCluster cluster({.vms = threeVms, .stepMs = 20});
    cr_assert(cluster.waitUntilReady());
    const std::size_t owner = ownerOf(cluster, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(cluster.sendRequest({}, other).status, 200);
    const std::size_t own = cluster.startRequest({.tokens = 150, .stream = true}, owner);
    const std::size_t throughPeer = cluster.startRequest({.tokens = 150, .stream = true}, other);
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(3, 2); }));
    cluster.shutDownVm(owner);
    cr_assert_eq(cluster.get(cluster.operatorsEndpoint(owner), "/readyz").status, 503);
    const HttpResult late = cluster.sendRequest({}, owner);
    cr_assert(late.error || (problemType(late) == "shutting-down" && isMarkedNotRun(late)));
    cr_assert_eq(cluster.daemons[owner]->wait().abortedRequests, 0);
    for (const std::size_t request : {own, throughPeer}) {
        const HttpResult result = cluster.awaitResult(request);
        cr_assert(receivedAnswer(result).complete);
        cr_assert_eq(receivedAnswer(result).text, expectedText("a0@1", 150));
    }
    cluster.daemons[owner].reset();
    cr_assert(
        TestCluster::eventually([&] { return cluster.sendRequest({}, other).status == 200; }));
}

Test(failures, a_second_shutdown_request_aborts_requests_and_counts_them)
{
    TestCluster cluster({.stepMs = 50});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    const std::size_t running = cluster.startRequest({.tokens = 500, .stream = true});
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(2); }));
    cluster.shutDownVm(0);
    cluster.shutDownVm(0);
    cr_assert_geq(cluster.daemons[0]->wait().abortedRequests, 1);
    cluster.daemons[0].reset();
    cr_assert_not(receivedAnswer(cluster.awaitResult(running)).complete);
}

Test(failures, a_leaving_target_gets_no_new_requests)
{
    TestCluster cluster({.engines = 2});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({.adapter = "a0@1"}).status, 200);
    cluster.setVmList({{"engine-0", "leaving"}});
    cr_assert(TestCluster::eventually([&] {
        const Json status = cluster.status();
        for (const Json &row : status["targets"]) {
            if (row.value("name", "") == "engine-0")
                return row.value("leaving", false);
        }
        return false;
    }));
    cr_assert(TestCluster::eventually([&] { return cluster.engineStatus(0).is_object(); }));
    const int before = cluster.engineStatus(0).value("requests", 0);
    for (int request = 0; request < 10; ++request) {
        const std::string adapter = "a" + std::to_string(request % 3) + "@1";
        cr_assert_eq(cluster.sendRequest({.adapter = adapter}).status, 200);
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(700)); // the engine's status is up to 500 ms old
    cr_assert_eq(cluster.engineStatus(0).value("requests", -1), before);
}

// Guards against requests that wait until their deadline while the store fails every load.
Test(failures, requests_waiting_for_a_failing_load_are_refused)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    cluster.injectFault(cluster.store, "fail", -1);
    const HttpResult result =
        cluster.sendRequest({.headers = {{"Monsoonbay-Deadline-Ms", "4000"}}});
    cr_assert_eq(result.status, 503, "%s", result.body.c_str());
    cr_assert(isMarkedNotRun(result));
    cluster.injectFault(cluster.store, "fail", 0);
    cr_assert(TestCluster::eventually([&] { return cluster.sendRequest({}).status == 200; }));
}

// Guards against a log outage that stops a zone, or makes a restarted VM use an old manifest.
Test(failures, a_log_outage_neither_stops_requests_nor_reverts_the_manifest)
{
    TestCluster cluster({.vms = threeVms});
    cr_assert(cluster.waitUntilReady());
    const std::uint64_t second = cluster.publish(
        "delta", R"({"putAdapters":[{"name":"a9","version":"1","baseModel":"base"}]})");
    const auto inForce = [&](std::size_t vm) {
        const Json status = cluster.status(vm);
        return status.is_object() ? status["manifest"].value("offset", std::uint64_t{0}) : 0;
    };
    for (std::size_t vm = 0; vm < 3; ++vm)
        cr_assert(TestCluster::eventually([&] { return inForce(vm) == second; }));
    cluster.injectFault(cluster.log, "down", -1);
    cr_assert(
        TestCluster::eventually([&] { return !cluster.status(0).value("logReachable", true); }));
    cr_assert_eq(cluster.sendRequest({.adapter = "a9@1"}, 0).status, 200);
    // A VM that starts without the log gets the newest manifest from a peer.
    cluster.killVm(2);
    cluster.startVm(2);
    cluster.setVmList({});
    cr_assert(TestCluster::eventually([&] { return inForce(2) == second; }));
    cr_assert(TestCluster::eventually(
        [&] { return cluster.sendRequest({.adapter = "a9@1"}, 2).status == 200; }));
    // The owner crashes too: without the log, the engine is claimed among the VMs of the zone.
    const std::size_t owner = ownerOf(cluster, "engine-0", 0);
    const std::size_t other = owner == 0 ? 1 : 0;
    if (owner < 3) {
        cluster.killVm(owner);
        cr_assert(TestCluster::eventually([&] {
            return cluster.sendRequest({.headers = {{"Monsoonbay-Deadline-Ms", "3000"}}}, other)
                       .status
                == 200;
        }));
    }
    cluster.injectFault(cluster.log, "down", 0);
    cr_assert(TestCluster::eventually(
        [&] { return cluster.status(other).value("logReachable", false); }));
    cr_assert_eq(inForce(other), second);
}

// Guards against a manifest that mixes two publications made from the same base. Both are appended
// here: every VM must accept the first and report a conflict for the second.
Test(failures, of_two_conflicting_publications_the_first_wins_on_every_vm)
{
    TestCluster cluster({.vms = threeVms});
    cr_assert(cluster.waitUntilReady());
    const Json status = cluster.status(0);
    const ManifestMark base{status["manifest"].value("offset", std::uint64_t{0}),
                            status["manifest"].value("digest", "")};
    const std::string add = R"({"putAdapters":[{"name":"a8","version":"1","baseModel":"base"}]})";
    const std::string remove = R"({"removeAdapters":["a5@1"]})";
    const std::uint64_t first = cluster.appendPublication(writePublication("delta", base, {}, add));
    const std::uint64_t second =
        cluster.appendPublication(writePublication("delta", base, {}, remove));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cr_assert(TestCluster::eventually([&] {
            const Json verdicts = Json::parse(
                cluster.get(cluster.operatorsEndpoint(vm), "/v1/verdicts").body, nullptr, false);
            for (const Json &verdict : verdicts) {
                if (verdict.value("offset", std::uint64_t{0}) == second)
                    return verdict.value("verdict", "") == "conflict";
            }
            return false;
        }));
        cr_assert_eq(cluster.status(vm)["manifest"].value("offset", std::uint64_t{0}), first);
    }
    cr_assert_eq(cluster.sendRequest({.adapter = "a8@1"}, 1).status, 200);
    cr_assert_eq(cluster.sendRequest({.adapter = "a5@1"}, 1).status, 200);
}

// Guards against a running request that is aborted when its adapter's version is replaced.
Test(failures, a_removed_adapter_is_refused_but_running_requests_finish)
{
    TestCluster cluster({.stepMs = 20});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({.adapter = "a3@1"}).status, 200);
    const std::size_t running =
        cluster.startRequest({.adapter = "a3@1", .tokens = 120, .stream = true});
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(2); }));
    cluster.publish("delta", R"({"removeAdapters":["a3@1"],
        "putAdapters":[{"name":"a3","version":"2","baseModel":"base"}]})");
    cr_assert(TestCluster::eventually(
        [&] { return cluster.sendRequest({.adapter = "a3@2", .tokens = 2}).status == 200; }));
    cr_assert_eq(problemType(cluster.sendRequest({.adapter = "a3@1"})), "unknown-adapter");
    const HttpResult result = cluster.awaitResult(running);
    cr_assert(receivedAnswer(result).complete);
    cr_assert_eq(receivedAnswer(result).text, expectedText("a3@1", 120));
}

// Guards against a new VM that cannot start after log retention has deleted the manifest's records.
Test(failures, a_new_vm_starts_from_the_snapshot_or_a_peer_after_truncation)
{
    TestCluster cluster({.vms = threeVms});
    cr_assert(cluster.waitUntilReady());
    for (int round = 0; round < 5; ++round) {
        const std::string name = "n" + std::to_string(round);
        const std::uint64_t offset = cluster.publish(
            "delta",
            R"({"putAdapters":[{"name":")" + name + R"(","version":"1","baseModel":"base"}]})");
        cr_assert(TestCluster::eventually([&] {
            return cluster.status(0)["manifest"].value("offset", std::uint64_t{0}) == offset;
        }));
    }
    const std::uint64_t newest = cluster.status(0)["manifest"].value("offset", std::uint64_t{0});
    cluster.injectFault(cluster.log, "truncate", 1, 0);
    cluster.killVm(1);
    cluster.startVm(1);
    cluster.setVmList({});
    cr_assert(TestCluster::eventually([&] {
        const Json status = cluster.status(1);
        return status.is_object() && status.value("ready", false)
            && status["manifest"].value("offset", std::uint64_t{0}) == newest;
    }));
}

Test(failures, an_engine_that_ignores_fencing_tokens_is_served_after_its_owners_death)
{
    TestCluster cluster({.vms = threeVms, .checksTokens = false});
    cr_assert(cluster.waitUntilReady());
    const std::size_t owner = ownerOf(cluster, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(cluster.sendRequest({}, other).status, 200);
    cluster.killVm(owner);
    cr_assert(TestCluster::eventually([&] {
        return cluster
                   .sendRequest(
                       {.adapter = "a1@1", .headers = {{"Monsoonbay-Deadline-Ms", "4000"}}}, other)
                   .status
            == 200;
    }));
    cr_assert_eq(cluster.engineStatus().value("evictedUnderRun", 99), 0);
}
