// VMs that die, leave and join; manifests that race; platform outages.

#include "TestCluster.h"

#include <thread>

#include <criterion/criterion.h>

#include "config/Acceptance.h"

using namespace monsoonbay;
using namespace monsoonbay::e2e;

namespace {

const std::vector<VmSpec> threeVms{{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-a"}};

std::size_t ownerOf(World &world, const std::string &target, std::size_t askedVm)
{
    const Json status = world.status(askedVm);
    for (const Json &row : status["targets"]) {
        if (row.value("name", "") != target)
            continue;
        for (std::size_t index = 0; index < world.spec.vms.size(); ++index) {
            if (world.spec.vms[index].name == row.value("owner", ""))
                return index;
        }
    }
    return world.spec.vms.size();
}

} // namespace

// Symptom: an answer broke off when an entry VM died. Sequence: the owner of the engine dies in the
// middle of a stream that another VM serves. Cause to rule out: nobody takes the stream up at the
// engine, where it goes on.
Test(failures, the_owner_dies_under_a_stream_and_the_answer_arrives_whole)
{
    World world({.vms = threeVms, .stepMs = 20});
    cr_assert(world.up());
    const std::size_t owner = ownerOf(world, "engine-0", 0);
    cr_assert_lt(owner, 3);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(world.ask({}, other).status, 200);
    const std::size_t running = world.begin({.tokens = 300, .stream = true}, other);
    cr_assert(World::eventually([&] { return world.runsNow(2); }));
    world.kill(owner);
    const HttpResult result = world.join(running);
    cr_assert_eq(result.status, 200);
    cr_assert(
        textOf(result).complete, "%s",
        result.body.substr(result.body.size() - std::min<std::size_t>(300, result.body.size()))
            .c_str());
    cr_assert_eq(textOf(result).text, expectedText("a0@1", 300));
    cr_assert_eq(world.engineStatus().value("twiceRun", 99), 0);
    cr_assert_eq(world.engineStatus().value("evictedUnderRun", 99), 0);
}

Test(failures, a_dead_owners_engine_is_served_again)
{
    World world({.vms = threeVms});
    cr_assert(world.up());
    const std::size_t owner = ownerOf(world, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    world.kill(owner);
    cr_assert(World::eventually([&] {
        return world.ask({.headers = {{"Monsoonbay-Deadline-Ms", "3000"}}}, other).status == 200;
    }));
}

// Symptom: a rolling restart cut answers. Cause to rule out: the daemon ends before what it serves.
Test(failures, a_graceful_shutdown_cuts_nothing)
{
    World world({.vms = threeVms, .stepMs = 20});
    cr_assert(world.up());
    const std::size_t owner = ownerOf(world, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(world.ask({}, other).status, 200);
    const std::size_t own = world.begin({.tokens = 150, .stream = true}, owner);
    const std::size_t throughPeer = world.begin({.tokens = 150, .stream = true}, other);
    cr_assert(World::eventually([&] { return world.runsNow(3, 2); }));
    world.shutdown(owner);
    cr_assert_eq(world.get(world.operators(owner), "/readyz").status, 503);
    const HttpResult late = world.ask({}, owner);
    cr_assert(late.error || (problemOf(late) == "shutting-down" && saysNotRun(late)));
    cr_assert_eq(world.daemons[owner]->wait().abortedRequests, 0);
    for (const std::size_t request : {own, throughPeer}) {
        const HttpResult result = world.join(request);
        cr_assert(textOf(result).complete);
        cr_assert_eq(textOf(result).text, expectedText("a0@1", 150));
    }
    world.daemons[owner].reset();
    cr_assert(World::eventually([&] { return world.ask({}, other).status == 200; }));
}

Test(failures, a_second_request_to_shut_down_cuts_and_says_so)
{
    World world({.stepMs = 50});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    const std::size_t running = world.begin({.tokens = 500, .stream = true});
    cr_assert(World::eventually([&] { return world.runsNow(2); }));
    world.shutdown(0);
    world.shutdown(0);
    cr_assert_geq(world.daemons[0]->wait().abortedRequests, 1);
    world.daemons[0].reset();
    cr_assert_not(textOf(world.join(running)).complete);
}

Test(failures, a_leaving_target_gets_nothing_new)
{
    World world({.engines = 2});
    cr_assert(world.up());
    cr_assert_eq(world.ask({.adapter = "a0@1"}).status, 200);
    world.setVmList({{"engine-0", "leaving"}});
    cr_assert(World::eventually([&] {
        const Json status = world.status();
        for (const Json &row : status["targets"]) {
            if (row.value("name", "") == "engine-0")
                return row.value("leaving", false);
        }
        return false;
    }));
    cr_assert(World::eventually([&] { return world.engineStatus(0).is_object(); }));
    const int before = world.engineStatus(0).value("requests", 0);
    for (int request = 0; request < 10; ++request) {
        const std::string adapter = "a" + std::to_string(request % 3) + "@1";
        cr_assert_eq(world.ask({.adapter = adapter}).status, 200);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(700)); // the status page lags 500 ms
    cr_assert_eq(world.engineStatus(0).value("requests", -1), before);
}

// Symptom: load failures made callers wait to their deadlines. Sequence: the store fails every
// load.
Test(failures, waiters_of_a_failing_load_are_told_in_time)
{
    World world({});
    cr_assert(world.up());
    world.fault(world.store, "fail", -1);
    const HttpResult result = world.ask({.headers = {{"Monsoonbay-Deadline-Ms", "4000"}}});
    cr_assert_eq(result.status, 503, "%s", result.body.c_str());
    cr_assert(saysNotRun(result));
    world.fault(world.store, "fail", 0);
    cr_assert(World::eventually([&] { return world.ask({}).status == 200; }));
}

// Symptom: during a log outage the zone stopped, or a restarted VM served an old configuration.
Test(failures, a_log_outage_stops_nothing_and_reverts_nothing)
{
    World world({.vms = threeVms});
    cr_assert(world.up());
    const std::uint64_t second = world.publish(
        "delta", R"({"putAdapters":[{"name":"a9","version":"1","baseModel":"base"}]})");
    const auto inForce = [&](std::size_t vm) {
        const Json status = world.status(vm);
        return status.is_object() ? status["manifest"].value("offset", std::uint64_t{0}) : 0;
    };
    for (std::size_t vm = 0; vm < 3; ++vm)
        cr_assert(World::eventually([&] { return inForce(vm) == second; }));
    world.fault(world.log, "down", -1);
    cr_assert(World::eventually([&] { return !world.status(0).value("logReachable", true); }));
    cr_assert_eq(world.ask({.adapter = "a9@1"}, 0).status, 200);
    // A VM that starts without the log takes the newest from a peer.
    world.kill(2);
    world.start(2);
    world.setVmList({});
    cr_assert(World::eventually([&] { return inForce(2) == second; }));
    cr_assert(World::eventually([&] { return world.ask({.adapter = "a9@1"}, 2).status == 200; }));
    // The owner dies too: the claim is zone-local now.
    const std::size_t owner = ownerOf(world, "engine-0", 0);
    const std::size_t other = owner == 0 ? 1 : 0;
    if (owner < 3) {
        world.kill(owner);
        cr_assert(World::eventually([&] {
            return world.ask({.headers = {{"Monsoonbay-Deadline-Ms", "3000"}}}, other).status
                == 200;
        }));
    }
    world.fault(world.log, "down", 0);
    cr_assert(World::eventually([&] { return world.status(other).value("logReachable", false); }));
    cr_assert_eq(inForce(other), second);
}

// Symptom: two operators' manifests made minutes apart were mixed. Both are appended here; the
// first wins everywhere, the second is told conflict by every VM.
Test(failures, of_two_racing_operators_the_first_wins_on_every_vm)
{
    World world({.vms = threeVms});
    cr_assert(world.up());
    const Json status = world.status(0);
    const ManifestMark base{status["manifest"].value("offset", std::uint64_t{0}),
                            status["manifest"].value("digest", "")};
    const std::string add = R"({"putAdapters":[{"name":"a8","version":"1","baseModel":"base"}]})";
    const std::string remove = R"({"removeAdapters":["a5@1"]})";
    const std::uint64_t first = world.publishRaw(writePublication("delta", base, {}, add));
    const std::uint64_t second = world.publishRaw(writePublication("delta", base, {}, remove));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cr_assert(World::eventually([&] {
            const Json verdicts =
                Json::parse(world.get(world.operators(vm), "/v1/verdicts").body, nullptr, false);
            for (const Json &verdict : verdicts) {
                if (verdict.value("offset", std::uint64_t{0}) == second)
                    return verdict.value("verdict", "") == "conflict";
            }
            return false;
        }));
        cr_assert_eq(world.status(vm)["manifest"].value("offset", std::uint64_t{0}), first);
    }
    cr_assert_eq(world.ask({.adapter = "a8@1"}, 1).status, 200);
    cr_assert_eq(world.ask({.adapter = "a5@1"}, 1).status, 200);
}

// Symptom: a running answer was cut when its adapter's version was replaced.
Test(failures, a_removed_adapter_is_not_admitted_but_what_runs_finishes)
{
    World world({.stepMs = 20});
    cr_assert(world.up());
    cr_assert_eq(world.ask({.adapter = "a3@1"}).status, 200);
    const std::size_t running = world.begin({.adapter = "a3@1", .tokens = 120, .stream = true});
    cr_assert(World::eventually([&] { return world.runsNow(2); }));
    world.publish("delta", R"({"removeAdapters":["a3@1"],
        "putAdapters":[{"name":"a3","version":"2","baseModel":"base"}]})");
    cr_assert(World::eventually(
        [&] { return world.ask({.adapter = "a3@2", .tokens = 2}).status == 200; }));
    cr_assert_eq(problemOf(world.ask({.adapter = "a3@1"})), "unknown-adapter");
    const HttpResult result = world.join(running);
    cr_assert(textOf(result).complete);
    cr_assert_eq(textOf(result).text, expectedText("a3@1", 120));
}

// Symptom: a new VM could not start after retention had taken the manifest's records.
Test(failures, a_new_vm_starts_from_the_snapshot_or_a_peer_after_truncation)
{
    World world({.vms = threeVms});
    cr_assert(world.up());
    for (int round = 0; round < 5; ++round) {
        const std::string name = "n" + std::to_string(round);
        const std::uint64_t offset = world.publish(
            "delta",
            R"({"putAdapters":[{"name":")" + name + R"(","version":"1","baseModel":"base"}]})");
        cr_assert(World::eventually([&] {
            return world.status(0)["manifest"].value("offset", std::uint64_t{0}) == offset;
        }));
    }
    const std::uint64_t newest = world.status(0)["manifest"].value("offset", std::uint64_t{0});
    world.fault(world.log, "truncate", 1, 0);
    world.kill(1);
    world.start(1);
    world.setVmList({});
    cr_assert(World::eventually([&] {
        const Json status = world.status(1);
        return status.is_object() && status.value("ready", false)
            && status["manifest"].value("offset", std::uint64_t{0}) == newest;
    }));
}

Test(failures, an_engine_that_ignores_tokens_is_served_after_its_owners_death)
{
    World world({.vms = threeVms, .checksTokens = false});
    cr_assert(world.up());
    const std::size_t owner = ownerOf(world, "engine-0", 0);
    const std::size_t other = (owner + 1) % 3;
    cr_assert_eq(world.ask({}, other).status, 200);
    world.kill(owner);
    cr_assert(World::eventually([&] {
        return world
                   .ask({.adapter = "a1@1", .headers = {{"Monsoonbay-Deadline-Ms", "4000"}}}, other)
                   .status
            == 200;
    }));
    cr_assert_eq(world.engineStatus().value("evictedUnderRun", 99), 0);
}
