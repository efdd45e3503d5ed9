#include <deque>

#include "CapacityWaiting.h"
#include "GatewayNode.h"
#include "PeerExchange.h"
#include "SharedEngines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

GatewaySettings settingsOfVm()
{
    GatewaySettings settings;
    settings.placement = {true, true, true, true, true};
    return settings;
}

const Endpoint holder{"10.0.0.2", 7380};

std::shared_ptr<const RouteTable> routesOfEngines()
{
    ServingConfig config;
    ServiceSpec service;
    service.name = "engines";
    service.engine = EngineSpec{8, 100000, 10000, 2, 0, {{"m", 1000, 100, 100, 1s}}};
    config.services.push_back(service);
    return std::make_shared<RouteTable>(std::move(config));
}

/** A VM that knows one engine, of another VM, and calls that wait for it. */
struct Crowd
{
    Crowd()
        : node(settingsOfVm())
    {
        this->node.routes = routesOfEngines();
        TargetRecord target;
        target.entry.id = "e";
        target.entry.service = "engines";
        this->node.targetTable.records["e"] = target;
        addPeer(this->node, holder, {"vm-2", "zone-a", 1});
        EngineRecord record;
        record.holder = holder;
        record.holderLive = true;
        record.revision = {1, 1, 1};
        applyEngineRecord(this->node, "e", record);
    }

    void wait(int rank)
    {
        this->routes.emplace_back().priority = rank;
        this->callers.emplace_back(this->node.context);
        ActiveCall &run = this->runs.emplace_back(this->node, this->callers.back(), HttpRequest());
        run.routes = this->node.routes;
        run.route = &this->routes.back();
        run.service = "engines";
        run.facts.adapter = "m/" + std::to_string(this->runs.size());
        run.deadline = BootClock::now() + 60s;
        startCapacityWait(run);
        // Long enough for a busy machine.
        run.capacityWait.softDeadline = run.capacityWait.deadline = BootClock::now() + 50s;
        asio::co_spawn(this->node.context, this->waitOne(run), asio::detached);
        this->node.context.poll();
    }

    asio::awaitable<void> waitOne(ActiveCall &run)
    {
        const ServiceSpec &spec = run.routes->config().services.front();
        const std::optional<LocalReply> refusal = co_await waitForCapacity(run, spec);
        if (refusal)
            this->refused.push_back(*refusal);
        else
            this->woken.push_back(run.route->priority);
    }

    void wake()
    {
        wakeWaitingCalls(this->node, "engines", BootClock::now());
        this->node.context.poll();
    }

    void useSlots(int busy)
    {
        this->node.relayState.others["e"].busySlots = busy;
    }

    std::deque<Route> routes;
    GatewayNode node;
    std::deque<boost::beast::tcp_stream> callers;
    std::deque<ActiveCall> runs;
    std::vector<int> woken;
    std::vector<LocalReply> refused;
};

} // namespace

// Symptom: each news of an engine woke all calls that waited, and all but one found its slot taken.
Test(waiting, one_free_slot_wakes_the_most_urgent_call_alone)
{
    Crowd crowd;
    crowd.useSlots(2);
    crowd.wait(1);
    crowd.wait(0);
    crowd.wait(2);
    cr_assert_eq(callsWaiting(crowd.node), 3);
    crowd.wake();
    cr_assert(crowd.woken.empty(), "no slot is idle");
    crowd.useSlots(1);
    crowd.wake();
    cr_assert_eq(crowd.woken, std::vector<int>{0});
    crowd.node.loadsInFlight[{"e", "m/2"}] = std::make_shared<LoadInFlight>(crowd.node.context);
    crowd.wake();
    cr_assert_eq(crowd.woken.size(), 1, "its load takes the slot");
    crowd.useSlots(0);
    crowd.wake();
    cr_assert_eq(callsWaiting(crowd.node), 1);
    cr_assert_eq(crowd.woken.back(), 1);
}

// Guards against a call that waits for a slot though its adapter has come by another's load.
Test(waiting, a_call_whose_adapter_is_there_is_woken_without_a_slot)
{
    Crowd crowd;
    crowd.useSlots(2);
    crowd.wait(0);
    crowd.wait(1);
    runtimeOf(crowd.node, "e").resident["m/2"] = 1;
    crowd.wake();
    cr_assert_eq(crowd.woken, std::vector<int>{1});
}

// Guards against calls that wait for an engine whose holder has told all to come later, and against
// callers that all come back at the same moment.
Test(waiting, no_place_in_time_is_refused_at_once_with_the_time)
{
    Crowd crowd;
    runtimeOf(crowd.node, "e").loadMark =
        backoffAfter({DeclineReason::EngineSilent, 900ms}, BootClock::now());
    crowd.wait(0);
    cr_assert(crowd.refused.empty(), "it has 50 s");
    ActiveCall &run = crowd.runs.front();
    run.capacityWait.deadline = BootClock::now() + 20ms;
    asio::co_spawn(crowd.node.context, crowd.waitOne(run), asio::detached);
    crowd.node.context.poll();
    cr_assert_eq(crowd.refused.size(), 1);
    const LocalReply &answer = crowd.refused.front();
    cr_assert_eq(answer.status, 503);
    cr_assert(answer.forecast > 20ms && answer.forecast <= 900ms);
    const Duration spread = answer.retryAfter - std::max<Duration>(answer.forecast, 300ms);
    cr_assert(spread >= 0ms && spread <= answer.retryAfter / 4);
}

// Guards against a call of a caller that has gone, or of a service that is no longer configured,
// which would wait for its whole patience.
Test(waiting, calls_that_can_no_longer_be_served_are_woken)
{
    Crowd crowd;
    crowd.useSlots(2);
    crowd.wait(0);
    crowd.wait(1);
    crowd.runs.front().callerDisconnected = true;
    crowd.wake();
    cr_assert_eq(callsWaiting(crowd.node), 1);
    crowd.node.routes = std::make_shared<RouteTable>(ServingConfig());
    crowd.wake();
    cr_assert_eq(callsWaiting(crowd.node), 0);
}
