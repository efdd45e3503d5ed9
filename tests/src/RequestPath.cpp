// End-to-end tests of requests under faults: what the caller receives, and what the targets ran.

#include "TestCluster.h"

#include <thread>

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace monsoonbay::e2e;

Test(request_path, buffered_and_streamed_answers_from_any_entry_vm)
{
    TestCluster cluster(
        {.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-b"}}, .engines = 2});
    cr_assert(cluster.waitUntilReady());
    for (std::size_t vm = 0; vm < 3; ++vm) {
        for (const bool stream : {false, true}) {
            for (const char *adapter : {"a0@1", "a1@1"}) {
                const HttpResult result =
                    cluster.sendRequest({.adapter = adapter, .tokens = 7, .stream = stream}, vm);
                cr_assert_eq(result.status, 200, "%s", result.body.c_str());
                const ReceivedAnswer answer = receivedAnswer(result);
                cr_assert(answer.complete);
                cr_assert_eq(answer.text, expectedText(adapter, 7));
            }
        }
    }
}

Test(request_path, refusals_name_their_type_and_say_not_run)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    struct Case
    {
        TestRequest request;
        int status;
        const char *kind;
    };
    const Case cases[]{
        {{.token = "wrong"}, 401, "unauthorized"},
        {{.adapter = "a77@1"}, 404, "unknown-adapter"},
        {{.adapter = "a0@2"}, 404, "unknown-adapter"},
        {{.adapter = "nonsense"}, 400, "bad-request"},
        {{.body = "{"}, 400, "bad-request"},
        {{.headers = {{"Monsoonbay-Deadline-Ms", "soon"}}}, 400, "bad-request"},
        {{.path = "/nowhere", .method = "GET"}, 404, "unknown-service"},
    };
    for (const Case &refused : cases) {
        const HttpResult result = cluster.sendRequest(refused.request);
        cr_assert_eq(result.status, refused.status, "%s: %s", refused.kind, result.body.c_str());
        cr_assert_eq(problemType(result), refused.kind);
        cr_assert(isMarkedNotRun(result));
    }
    cr_assert_eq(cluster.engineStatus().value("requests", 99), 0);
}

// Guards against a lost answer that the engine had completed: its connection breaks after the run
// and before the answer. The entry VM must fetch the answer from the engine by the request's id.
Test(request_path, a_lost_answer_is_fetched_from_the_engine_not_run_again)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    for (const bool stream : {false, true}) {
        cluster.injectFault(cluster.engines[0], "lostAnswer", 1);
        const HttpResult result = cluster.sendRequest(
            {.tokens = 9, .stream = stream, .headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
        cr_assert_eq(result.status, 200, "%s", result.body.c_str());
        cr_assert(receivedAnswer(result).complete);
        cr_assert_eq(receivedAnswer(result).text, expectedText("a0@1", 9));
    }
    cr_assert(
        TestCluster::eventually([&] { return cluster.engineStatus().value("requests", 0) == 3; }));
    cr_assert_eq(cluster.engineStatus().value("twiceRun", 99), 0);
}

// Guards against a non-idempotent call that runs twice: the target ran it, but its answer was lost.
// The call must not be retried at this or another target.
Test(request_path, a_lost_answer_of_a_non_idempotent_call_is_reported_as_may_have_run)
{
    TestCluster cluster({.plainServices = 2});
    cr_assert(cluster.waitUntilReady());
    for (const Endpoint &plain : cluster.plainServiceEndpoints)
        cluster.injectFault(plain, "lostAnswer", 1);
    const HttpResult result = cluster.sendRequest({.path = "/tiles/book", .body = "crew 7"});
    cr_assert_eq(result.status, 502);
    cr_assert_eq(problemType(result), "may-have-run");
    cr_assert_not(isMarkedNotRun(result));
    const int effects =
        cluster.plainStatus(0).value("effects", 0) + cluster.plainStatus(1).value("effects", 0);
    cr_assert_eq(effects, 1);
}

Test(request_path, an_idempotent_call_with_a_lost_answer_is_retried)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    cluster.injectFault(cluster.plainServiceEndpoints[0], "lostAnswer", 1);
    const HttpResult result = cluster.sendRequest({.path = "/tiles/sheet/4", .method = "GET"});
    cr_assert_eq(result.status, 200);
    cr_assert_eq(cluster.plainStatus().value("effects", 0), 2);
}

// Guards against a caller that gets the answer of another adapter or another request because an
// answer is forwarded without checking what it belongs to.
Test(request_path, wrong_and_crossed_answers_never_reach_the_caller)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    for (const char *fault : {"wrongAdapter", "crossed"}) {
        cluster.injectFault(cluster.engines[0], fault, 1);
        const HttpResult result =
            cluster.sendRequest({.headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
        cr_assert_eq(result.status, 502, "%s", fault);
        cr_assert_eq(problemType(result), "wrong-answer");
    }
    cluster.injectFault(cluster.engines[0], "wrongAdapter", 1);
    const HttpResult streamed =
        cluster.sendRequest({.stream = true, .headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
    cr_assert_eq(streamed.status, 502);
    cr_assert_eq(streamed.body.find("neighbour"), std::string::npos);
}

// Guards against tokens that appear twice in an answer, and a truncated stream taken for complete.
Test(request_path, duplicated_and_truncated_streams_arrive_complete_and_once)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    for (const char *fault : {"duplicate", "short"}) {
        cluster.injectFault(cluster.engines[0], fault, 1);
        const HttpResult result = cluster.sendRequest({.tokens = 12, .stream = true});
        cr_assert_eq(result.status, 200);
        cr_assert(receivedAnswer(result).complete, "%s", fault);
        cr_assert_eq(receivedAnswer(result).text, expectedText("a0@1", 12), "%s", fault);
    }
}

// Guards against an incomplete answer that looks complete: the engine restarts during a stream and
// loses it, and the end of the connection is taken for the end of the stream.
Test(request_path, an_engine_restart_during_a_stream_is_reported_as_broken)
{
    TestCluster cluster({.stepMs = 20});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    const std::size_t running = cluster.startRequest({.tokens = 200, .stream = true});
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(2); }));
    cluster.injectFault(cluster.engines[0], "restart", 1);
    const HttpResult result = cluster.awaitResult(running);
    cr_assert_not(receivedAnswer(result).complete);
    cr_assert_neq(result.body.find("event: error"), std::string::npos);
    cr_assert_neq(result.body.find("\"notRun\":false"), std::string::npos);
    cr_assert_eq(cluster.sendRequest({.tokens = 3}).status, 200,
                 "the restarted engine is used again");
}

// Guards against engines that go on with a request after its caller has disconnected.
Test(request_path, a_caller_that_disconnects_cancels_the_engines_work)
{
    TestCluster cluster({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}}, .stepMs = 20});
    cr_assert(cluster.waitUntilReady());
    cr_assert_eq(cluster.sendRequest({}).status, 200);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        cr_assert(cluster.disconnectMidStream({.tokens = 5000, .stream = true}, vm));
        cr_assert(TestCluster::eventually([&] {
            const Json status = cluster.engineStatus();
            return status.value("running", 1) == 0 && status.value("queued", 1) == 0;
        }));
    }
}

// Guards against an adapter that is evicted while a request uses it: all slots are running and a
// request needs another adapter, whose load must wait for a free slot.
Test(request_path, no_adapter_is_evicted_while_every_slot_is_running)
{
    TestCluster cluster({.slots = 2, .stepMs = 10});
    cr_assert(cluster.waitUntilReady());
    const std::size_t first =
        cluster.startRequest({.adapter = "a0@1", .tokens = 150, .stream = true});
    const std::size_t second =
        cluster.startRequest({.adapter = "a1@1", .tokens = 150, .stream = true});
    cr_assert(TestCluster::eventually([&] { return cluster.reportsRequests(2, 2); }));
    const std::size_t third = cluster.startRequest({.adapter = "a2@1", .tokens = 3});
    for (const std::size_t request : {first, second, third}) {
        const HttpResult result = cluster.awaitResult(request);
        cr_assert_eq(result.status, 200, "%s", result.body.c_str());
        cr_assert(receivedAnswer(result).complete);
    }
    cr_assert_eq(cluster.engineStatus().value("evictedUnderRun", 99), 0);
}

// Guards against retries with the same idempotency key that run again or get a different answer.
Test(request_path, retries_with_one_idempotency_key_run_once_through_any_entry_vm)
{
    TestCluster cluster({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-a"}}});
    cr_assert(cluster.waitUntilReady());
    const TestRequest booking{
        .path = "/tiles/book", .body = "crew 7", .headers = {{"Idempotency-Key", "k1"}}};
    HttpResult first;
    // The VMs that hold key records know all of them only after a record's lifetime; until then
    // they refuse keys, because a former run might be unknown to them.
    cr_assert(TestCluster::eventually([&] {
        first = cluster.sendRequest(booking, 0);
        return first.status == 200;
    }));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const HttpResult again = cluster.sendRequest(booking, vm);
        cr_assert_eq(again.status, 200);
        cr_assert_eq(again.body, first.body);
    }
    cr_assert_eq(cluster.plainStatus().value("effects", 0), 1);
    TestRequest other = booking;
    other.body = "crew 8";
    cr_assert_eq(problemType(cluster.sendRequest(other, 1)), "key-conflict");
}

// Guards against malformed input on the callers' port that crashes the daemon.
Test(request_path, malformed_input_does_not_stop_the_daemon)
{
    TestCluster cluster({});
    cr_assert(cluster.waitUntilReady());
    const std::string huge(5 * 1024 * 1024, 'x');
    const HttpResult tooLarge = cluster.sendRequest({.body = huge});
    cr_assert(tooLarge.status == 413 || tooLarge.error);
    for (const std::string &bytes :
         {std::string("\x16\x03\x01 not http\r\n\r\n"), std::string("GET"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nshort")}) {
        cluster.sendBytes(bytes, 0);
    }
    cr_assert_eq(cluster.sendRequest({}).status, 200);
}

// Guards against traces that cannot be followed across VMs: a hop without a span, or with a span
// whose parent is not that of the hop before it.
Test(request_path, every_hop_has_a_span_below_the_callers_span)
{
    TestCluster cluster({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}}});
    cr_assert(cluster.waitUntilReady());
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const std::string caller = "b7ad6b7169203331";
    const TestRequest traced{.headers = {{"traceparent", "00-" + trace + "-" + caller + "-01"}}};
    for (std::size_t vm = 0; vm < 2; ++vm)
        cr_assert_eq(cluster.sendRequest(traced, vm).status, 200);
    const auto spansOf = [&](const std::string &name) {
        const Json spans =
            Json::parse(cluster.get(cluster.collector, "/v1/spans").body, nullptr, false);
        std::vector<Json> found;
        for (const Json &span : spans) {
            if (span.value("traceId", "") == trace && span.value("name", "") == name)
                found.push_back(span);
        }
        return found;
    };
    cr_assert(TestCluster::eventually(
        [&] { return spansOf("ingress").size() == 2 && spansOf("owner run").size() == 2; }));
    for (const Json &ingress : spansOf("ingress")) {
        cr_assert_eq(ingress.value("parentSpanId", ""), caller);
        int childSpans = 0;
        for (const Json &owner : spansOf("owner run"))
            childSpans += owner.value("parentSpanId", "") == ingress.value("spanId", "") ? 1 : 0;
        cr_assert_eq(childSpans, 1);
    }
}
