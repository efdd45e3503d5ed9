// The whole path under faults: what a caller sees, and what ran.

#include "TestCluster.h"

#include <thread>

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace monsoonbay::e2e;

Test(path, answers_whole_and_streamed_from_any_entry_vm)
{
    World world(
        {.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-b"}}, .engines = 2});
    cr_assert(world.up());
    for (std::size_t vm = 0; vm < 3; ++vm) {
        for (const bool stream : {false, true}) {
            for (const char *adapter : {"a0@1", "a1@1"}) {
                const HttpResult result =
                    world.ask({.adapter = adapter, .tokens = 7, .stream = stream}, vm);
                cr_assert_eq(result.status, 200, "%s", result.body.c_str());
                const AnswerText answer = textOf(result);
                cr_assert(answer.complete);
                cr_assert_eq(answer.text, expectedText(adapter, 7));
            }
        }
    }
}

Test(path, refusals_name_their_kind_and_did_not_run)
{
    World world({});
    cr_assert(world.up());
    struct Case
    {
        Ask ask;
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
        const HttpResult result = world.ask(refused.ask);
        cr_assert_eq(result.status, refused.status, "%s: %s", refused.kind, result.body.c_str());
        cr_assert_eq(problemOf(result), refused.kind);
        cr_assert(saysNotRun(result));
    }
    cr_assert_eq(world.engineStatus().value("requests", 99), 0);
}

// Symptom: a summary was lost although the engine had finished it. Sequence: the connection breaks
// after the effect, before the answer. Cause to rule out: the answer is not fetched by its id.
Test(path, a_lost_answer_of_the_engine_is_fetched_not_run_again)
{
    World world({});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    for (const bool stream : {false, true}) {
        world.fault(world.engines[0], "lostAnswer", 1);
        const HttpResult result = world.ask(
            {.tokens = 9, .stream = stream, .headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
        cr_assert_eq(result.status, 200, "%s", result.body.c_str());
        cr_assert(textOf(result).complete);
        cr_assert_eq(textOf(result).text, expectedText("a0@1", 9));
    }
    cr_assert(World::eventually([&] { return world.engineStatus().value("requests", 0) == 3; }));
    cr_assert_eq(world.engineStatus().value("twiceRun", 99), 0);
}

// Symptom: a crew was booked twice. Sequence: the plain service booked, its answer was lost.
// Cause to rule out: the call is sent again, to this or another target.
Test(path, a_lost_answer_of_a_booking_is_told_as_may_have_run)
{
    World world({.plainServices = 2});
    cr_assert(world.up());
    for (const Endpoint &plain : world.plains)
        world.fault(plain, "lostAnswer", 1);
    const HttpResult result = world.ask({.path = "/tiles/book", .body = "crew 7"});
    cr_assert_eq(result.status, 502);
    cr_assert_eq(problemOf(result), "may-have-run");
    cr_assert_not(saysNotRun(result));
    const int effects =
        world.plainStatus(0).value("effects", 0) + world.plainStatus(1).value("effects", 0);
    cr_assert_eq(effects, 1);
}

Test(path, an_idempotent_call_with_a_lost_answer_is_tried_again)
{
    World world({});
    cr_assert(world.up());
    world.fault(world.plains[0], "lostAnswer", 1);
    const HttpResult result = world.ask({.path = "/tiles/sheet/4", .method = "GET"});
    cr_assert_eq(result.status, 200);
    cr_assert_eq(world.plainStatus().value("effects", 0), 2);
}

// Symptom: a clerk read a neighbour's answer. Sequence: the engine answers for another adapter, or
// another request's answer arrives. Cause to rule out: the answer is passed on unread.
Test(path, wrong_and_crossed_answers_are_never_passed_on)
{
    World world({});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    for (const char *fault : {"wrongAdapter", "crossed"}) {
        world.fault(world.engines[0], fault, 1);
        const HttpResult result = world.ask({.headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
        cr_assert_eq(result.status, 502, "%s", fault);
        cr_assert_eq(problemOf(result), "wrong-answer");
    }
    world.fault(world.engines[0], "wrongAdapter", 1);
    const HttpResult streamed =
        world.ask({.stream = true, .headers = {{"Monsoonbay-Non-Idempotent", "true"}}});
    cr_assert_eq(streamed.status, 502);
    cr_assert_eq(streamed.body.find("neighbour"), std::string::npos);
}

// Symptom: tokens stood twice in an answer; another ended early and was taken for whole.
Test(path, duplicated_and_short_streams_arrive_whole_and_once)
{
    World world({});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    for (const char *fault : {"duplicate", "short"}) {
        world.fault(world.engines[0], fault, 1);
        const HttpResult result = world.ask({.tokens = 12, .stream = true});
        cr_assert_eq(result.status, 200);
        cr_assert(textOf(result).complete, "%s", fault);
        cr_assert_eq(textOf(result).text, expectedText("a0@1", 12), "%s", fault);
    }
}

// Symptom: an answer stopped in the middle and looked whole. Sequence: the engine restarts under a
// stream and forgets it. Cause to rule out: the end of the connection is taken for the end.
Test(path, an_engine_restart_under_a_stream_is_told_as_broken)
{
    World world({.stepMs = 20});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    const std::size_t running = world.begin({.tokens = 200, .stream = true});
    cr_assert(World::eventually([&] { return world.runsNow(2); }));
    world.fault(world.engines[0], "restart", 1);
    const HttpResult result = world.join(running);
    cr_assert_not(textOf(result).complete);
    cr_assert_neq(result.body.find("event: error"), std::string::npos);
    cr_assert_neq(result.body.find("\"notRun\":false"), std::string::npos);
    cr_assert_eq(world.ask({.tokens = 3}).status, 200, "the engine is used again");
}

// Symptom: engines worked for callers who had hung up. Cause to rule out: nobody tells the engine.
Test(path, a_caller_who_goes_away_cancels_the_engines_work)
{
    World world({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}}, .stepMs = 20});
    cr_assert(world.up());
    cr_assert_eq(world.ask({}).status, 200);
    for (std::size_t vm = 0; vm < 2; ++vm) {
        cr_assert(world.leaveEarly({.tokens = 5000, .stream = true}, vm));
        cr_assert(World::eventually([&] {
            const Json status = world.engineStatus();
            return status.value("running", 1) == 0 && status.value("queued", 1) == 0;
        }));
    }
}

// Symptom: an adapter was evicted under a running request. Sequence: every slot runs, another
// adapter is asked for. Cause to rule out: the load does not wait for a slot.
Test(path, nothing_is_evicted_while_every_slot_runs)
{
    World world({.slots = 2, .stepMs = 10});
    cr_assert(world.up());
    const std::size_t first = world.begin({.adapter = "a0@1", .tokens = 150, .stream = true});
    const std::size_t second = world.begin({.adapter = "a1@1", .tokens = 150, .stream = true});
    cr_assert(World::eventually([&] { return world.runsNow(2, 2); }));
    const std::size_t third = world.begin({.adapter = "a2@1", .tokens = 3});
    for (const std::size_t request : {first, second, third}) {
        const HttpResult result = world.join(request);
        cr_assert_eq(result.status, 200, "%s", result.body.c_str());
        cr_assert(textOf(result).complete);
    }
    cr_assert_eq(world.engineStatus().value("evictedUnderRun", 99), 0);
}

// Symptom: repeats of a booking with the same key ran again, or got another answer.
Test(path, repeats_with_one_key_run_once_through_any_entry_vm)
{
    World world({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}, {"vm-3", "zone-a"}}});
    cr_assert(world.up());
    const Ask booking{
        .path = "/tiles/book", .body = "crew 7", .headers = {{"Idempotency-Key", "k1"}}};
    HttpResult first;
    // The holders know only after a lifetime of records; until then the key is refused, not risked.
    cr_assert(World::eventually([&] {
        first = world.ask(booking, 0);
        return first.status == 200;
    }));
    for (std::size_t vm = 0; vm < 3; ++vm) {
        const HttpResult again = world.ask(booking, vm);
        cr_assert_eq(again.status, 200);
        cr_assert_eq(again.body, first.body);
    }
    cr_assert_eq(world.plainStatus().value("effects", 0), 1);
    Ask other = booking;
    other.body = "crew 8";
    cr_assert_eq(problemOf(world.ask(other, 1)), "key-conflict");
}

// Symptom: garbage on the callers' port took the daemon down.
Test(path, garbage_is_refused_and_loses_nothing)
{
    World world({});
    cr_assert(world.up());
    const std::string huge(5 * 1024 * 1024, 'x');
    const HttpResult tooLarge = world.ask({.body = huge});
    cr_assert(tooLarge.status == 413 || tooLarge.error);
    for (const std::string &bytes :
         {std::string("\x16\x03\x01 not http\r\n\r\n"), std::string("GET"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nshort")}) {
        world.sendBytes(bytes, 0);
    }
    cr_assert_eq(world.ask({}).status, 200);
}

// Symptom: a slow answer could not be followed across VMs. Cause to rule out: a hop without a span,
// or one whose parent is not the hop before it.
Test(path, every_hop_has_a_span_below_the_callers)
{
    World world({.vms = {{"vm-1", "zone-a"}, {"vm-2", "zone-a"}}});
    cr_assert(world.up());
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const std::string caller = "b7ad6b7169203331";
    const Ask traced{.headers = {{"traceparent", "00-" + trace + "-" + caller + "-01"}}};
    for (std::size_t vm = 0; vm < 2; ++vm)
        cr_assert_eq(world.ask(traced, vm).status, 200);
    const auto spansOf = [&](const std::string &name) {
        const Json spans =
            Json::parse(world.get(world.collector, "/v1/spans").body, nullptr, false);
        std::vector<Json> found;
        for (const Json &span : spans) {
            if (span.value("traceId", "") == trace && span.value("name", "") == name)
                found.push_back(span);
        }
        return found;
    };
    cr_assert(World::eventually(
        [&] { return spansOf("ingress").size() == 2 && spansOf("owner run").size() == 2; }));
    for (const Json &ingress : spansOf("ingress")) {
        cr_assert_eq(ingress.value("parentSpanId", ""), caller);
        int below = 0;
        for (const Json &owner : spansOf("owner run"))
            below += owner.value("parentSpanId", "") == ingress.value("spanId", "") ? 1 : 0;
        cr_assert_eq(below, 1);
    }
}
