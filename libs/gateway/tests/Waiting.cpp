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

/** A VM that knows one engine, whose lease another VM holds, and calls that wait for it. */
struct WaitingCalls
{
    WaitingCalls()
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
        ActiveCall &call =
            this->calls.emplace_back(this->node, this->callers.back(), HttpRequest());
        call.routes = this->node.routes;
        call.route = &this->routes.back();
        call.service = "engines";
        call.metadata.adapter = "m/" + std::to_string(this->calls.size());
        call.deadline = BootClock::now() + 60s;
        startCapacityWait(call);
        // Long enough for a busy machine.
        call.capacityWait.softDeadline = call.capacityWait.deadline = BootClock::now() + 50s;
        asio::co_spawn(this->node.context, this->waitOne(call), asio::detached);
        this->node.context.poll();
    }

    asio::awaitable<void> waitOne(ActiveCall &call)
    {
        const ServiceSpec &spec = call.routes->config().services.front();
        const std::optional<LocalReply> refusal = co_await waitForCapacity(call, spec);
        if (refusal)
            this->refused.push_back(*refusal);
        else
            this->woken.push_back(call.route->priority);
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
    std::deque<ActiveCall> calls;
    std::vector<int> woken;
    std::vector<LocalReply> refused;
};

} // namespace

// Guards against an update on an engine that wakes all waiting calls: all but one find its slot
// taken.
Test(waiting, one_free_slot_wakes_the_most_urgent_call_alone)
{
    WaitingCalls waitingCalls;
    waitingCalls.useSlots(2);
    waitingCalls.wait(1);
    waitingCalls.wait(0);
    waitingCalls.wait(2);
    cr_assert_eq(callsWaiting(waitingCalls.node), 3);
    waitingCalls.wake();
    cr_assert(waitingCalls.woken.empty(), "no slot is idle");
    waitingCalls.useSlots(1);
    waitingCalls.wake();
    cr_assert_eq(waitingCalls.woken, std::vector<int>{0});
    waitingCalls.node.loadsInFlight[{"e", "m/2"}] =
        std::make_shared<LoadInFlight>(waitingCalls.node.context);
    waitingCalls.wake();
    cr_assert_eq(waitingCalls.woken.size(), 1, "its load takes the slot");
    waitingCalls.useSlots(0);
    waitingCalls.wake();
    cr_assert_eq(callsWaiting(waitingCalls.node), 1);
    cr_assert_eq(waitingCalls.woken.back(), 1);
}

// Guards against a call that waits for a slot although another call's load brought its adapter.
Test(waiting, a_call_whose_adapter_is_resident_is_woken_without_a_slot)
{
    WaitingCalls waitingCalls;
    waitingCalls.useSlots(2);
    waitingCalls.wait(0);
    waitingCalls.wait(1);
    runtimeOf(waitingCalls.node, "e").resident["m/2"] = 1;
    waitingCalls.wake();
    cr_assert_eq(waitingCalls.woken, std::vector<int>{1});
}

// Guards against calls that wait for an engine whose lease holder made all back off, and against
// callers that all come back at the same moment.
Test(waiting, no_capacity_in_time_is_refused_at_once_with_the_time)
{
    WaitingCalls waitingCalls;
    runtimeOf(waitingCalls.node, "e").loadBackoff =
        backoffAfter({DeclineReason::EngineSilent, 900ms}, BootClock::now());
    waitingCalls.wait(0);
    cr_assert(waitingCalls.refused.empty(), "it has 50 s");
    ActiveCall &call = waitingCalls.calls.front();
    call.capacityWait.deadline = BootClock::now() + 20ms;
    asio::co_spawn(waitingCalls.node.context, waitingCalls.waitOne(call), asio::detached);
    waitingCalls.node.context.poll();
    cr_assert_eq(waitingCalls.refused.size(), 1);
    const LocalReply &answer = waitingCalls.refused.front();
    cr_assert_eq(answer.status, 503);
    cr_assert(answer.forecast > 20ms && answer.forecast <= 900ms);
    const Duration spread = answer.retryAfter - std::max<Duration>(answer.forecast, 300ms);
    cr_assert(spread >= 0ms && spread <= answer.retryAfter / 4);
}

// Guards against a call that waits until its wait limit though its caller has gone, or its service
// is no longer configured.
Test(waiting, calls_that_can_no_longer_be_served_are_woken)
{
    WaitingCalls waitingCalls;
    waitingCalls.useSlots(2);
    waitingCalls.wait(0);
    waitingCalls.wait(1);
    waitingCalls.calls.front().callerDisconnected = true;
    waitingCalls.wake();
    cr_assert_eq(callsWaiting(waitingCalls.node), 1);
    waitingCalls.node.routes = std::make_shared<RouteTable>(ServingConfig());
    waitingCalls.wake();
    cr_assert_eq(callsWaiting(waitingCalls.node), 0);
}
