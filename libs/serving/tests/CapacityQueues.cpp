#include <algorithm>
#include <array>
#include <random>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/CapacityQueue.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

WaitingCall callOf(std::uint64_t id, int rank, Instant since, Duration waitLimit)
{
    WaitingCall call;
    call.id = id;
    call.rank = rank;
    call.since = since;
    call.softDeadline = since + waitLimit;
    call.deadline = call.softDeadline;
    return call;
}

WaitLimits limitsOf(Duration usual, Duration extended)
{
    return {usual, extended};
}

CapacityQueue generateQueue()
{
    CapacityQueue queue;
    const int calls = *rc::gen::inRange(0, 12);
    for (int index = 0; index < calls; ++index) {
        const Duration waited = std::chrono::milliseconds(*rc::gen::inRange(0, 600));
        const Duration waitLimit = std::chrono::milliseconds(*rc::gen::inRange(0, 800));
        WaitingCall call = callOf(static_cast<std::uint64_t>(index), *rc::gen::inRange(0, 3),
                                  start - waited, waitLimit);
        call.deadline += std::chrono::milliseconds(*rc::gen::inRange(0, 2) * 3000);
        call.adapterReady = *rc::gen::inRange(0, 4) == 0;
        call.notBefore = start + std::chrono::milliseconds(*rc::gen::inRange(-30, 10));
        queue.calls.push_back(call);
    }
    return queue;
}

/** The specified order (rank, deadline, arrival) as numbers that are compared in turn. */
std::array<std::int64_t, 4> referenceOrder(const WaitingCall &call)
{
    const Duration waitLimit = call.softDeadline - call.since;
    std::int64_t rank = call.rank;
    for (const int half : {1, 2}) {
        if (waitLimit > Duration::zero() && 2 * (start - call.since) >= half * waitLimit)
            --rank;
    }
    return {start >= call.softDeadline ? 1 : 0, rank, call.deadline.time_since_epoch().count(),
            static_cast<std::int64_t>(call.id)};
}

} // namespace

// Guards against an order that depends on the positions in the queue, and against waking more calls
// than there is capacity for.
Test(capacity_queue, as_many_calls_are_woken_in_order_as_there_is_capacity)
{
    cr_assert(rc::check("woken", [] {
        const CapacityQueue queue = generateQueue();
        const int loads = *rc::gen::inRange(0, 6);
        std::vector<WaitingCall> left;
        for (const WaitingCall &call : queue.calls) {
            if (start >= call.notBefore)
                left.push_back(call);
        }
        std::vector<std::uint64_t> expected;
        int capacity = loads;
        while (!left.empty()) {
            const auto first =
                std::min_element(left.begin(), left.end(), [](const auto &one, const auto &other) {
                    return referenceOrder(one) < referenceOrder(other);
                });
            if (first->adapterReady || capacity-- > 0)
                expected.push_back(first->id);
            left.erase(first);
        }
        RC_ASSERT(callsToWake(queue, loads, start) == expected);
    }));
}

// Guards against unbounded growth of the queue on an overloaded VM.
Test(capacity_queue, the_queue_is_bounded)
{
    CapacityQueue queue;
    for (std::uint64_t id = 0; id < maxWaitingCalls; ++id)
        cr_assert(enqueueCall(queue, callOf(id, 0, start, 300ms), start));
    cr_assert(!enqueueCall(queue, callOf(9999, 0, start, 300ms), start));
    dequeueCall(queue, 7, start);
    cr_assert(enqueueCall(queue, callOf(9999, 0, start, 300ms), start));
}

Test(capacity_queue, wait_limits_are_shares_of_the_objective_and_of_the_time_left)
{
    WaitLimitInputs inputs{1s, 5s, 240, 500ms};
    cr_assert(waitLimits(inputs) == limitsOf(700ms, 700ms));
    inputs.timeLeft = 1s;
    cr_assert(waitLimits(inputs) == limitsOf(350ms, 350ms));
    inputs.objective = 0s;
    inputs.timeLeft = 5s;
    cr_assert(waitLimits(inputs).usual == Duration(300ms));
    inputs = {2s, 12s, 240, 500ms};
    cr_assert(waitLimits(inputs) == limitsOf(1400ms, 6s), "a long prompt, 12 s");
    inputs.promptMs = 20;
    cr_assert(waitLimits(inputs) == limitsOf(1400ms, 1400ms), "a short prompt");
}

// Guards against refusing a call while some engine may have capacity, and against keeping one that
// according to all lease holders gets capacity only after its wait limit.
Test(capacity_queue, waits_are_forecast_only_if_all_engines_gave_a_time)
{
    const CapacityQueue none;
    const WaitingCall call = callOf(1, 0, start, 300ms);
    ServiceCapacity capacity;
    cr_assert(expectedCapacityWait(none, call, capacity, 100ms, start) == Duration::zero());
    capacity.expectedAt = {start + 500ms, start + 400ms};
    cr_assert(expectedCapacityWait(none, call, capacity, 100ms, start) == Duration(400ms));
    capacity.mayFreeAnytime = true;
    cr_assert(expectedCapacityWait(none, call, capacity, 100ms, start) == Duration::zero());
    capacity.mayFreeAnytime = false;
    CapacityQueue queue;
    for (std::uint64_t id = 2; id < 5; ++id)
        enqueueCall(queue, callOf(id, 0, start - 1ms, 300ms), start);
    // Loads at 400, 500 and 500 ms go first.
    cr_assert(expectedCapacityWait(queue, call, capacity, 100ms, start) == Duration(600ms));
    capacity.loads = 3;
    cr_assert(expectedCapacityWait(queue, call, capacity, 100ms, start) == Duration(400ms));
    cr_assert(expectedCapacityWait(queue, callOf(1, -1, start, 300ms), capacity, 100ms, start)
              == Duration::zero());
}

namespace {

/** Outcomes of the calls of one rank. */
struct Outcomes
{
    int arrived = 0;
    int placed = 0;
    int refusedAtOnce = 0;
    int timedOut = 0;
};

/** One VM whose slots are held by each call for a fixed time, in steps of 10 ms. */
struct Simulation
{
    CapacityQueue queue;
    std::vector<Instant> freeAt = std::vector<Instant>(24, start);
    std::array<Outcomes, 3> outcomes{};
    std::vector<std::pair<std::uint64_t, int>> ranks;
    std::mt19937_64 random{20261203};
    Instant now = start;
    std::uint64_t lastId = 0;

    int idle() const
    {
        return static_cast<int>(std::count_if(this->freeAt.begin(), this->freeAt.end(),
                                              [this](Instant at) { return at <= this->now; }));
    }

    void place(int rank)
    {
        *std::find_if(this->freeAt.begin(), this->freeAt.end(),
                      [this](Instant at) { return at <= this->now; }) = this->now + 700ms;
        ++this->outcomes[static_cast<std::size_t>(rank)].placed;
    }

    void arrive(int rank)
    {
        Outcomes &mine = this->outcomes[static_cast<std::size_t>(rank)];
        ++mine.arrived;
        const WaitingCall call = callOf(++this->lastId, rank, this->now, 350ms);
        if (this->queue.calls.empty() && this->idle() > 0) {
            this->place(rank);
            return;
        }
        ServiceCapacity capacity;
        capacity.mayFreeAnytime = true;
        const bool late =
            expectedCapacityWait(this->queue, call, capacity, 300ms, this->now) > 350ms;
        mine.refusedAtOnce += late ? 1 : 0;
        if (!late)
            enqueueCall(this->queue, call, this->now);
    }

    void wakeAndExpire()
    {
        const CapacityQueue before = this->queue;
        for (const WaitingCall &call : before.calls) {
            if (this->now < call.deadline)
                continue;
            ++this->outcomes[static_cast<std::size_t>(call.rank)].timedOut;
            dequeueCall(this->queue, call.id, this->now);
        }
        for (const std::uint64_t id : callsToWake(this->queue, this->idle(), this->now)) {
            const auto call = std::find_if(before.calls.begin(), before.calls.end(),
                                           [id](const auto &other) { return other.id == id; });
            this->place(call->rank);
            dequeueCall(this->queue, id, this->now);
            recordCapacityFound(this->queue, this->now);
        }
    }

    /** Calls of each rank arrive at this mean rate a second. */
    void run(Duration length, std::array<double, 3> perSecond)
    {
        const Instant until = this->now + length;
        for (; this->now < until; this->now += 10ms) {
            for (int rank = 0; rank < 3; ++rank) {
                std::poisson_distribution<int> calls(perSecond[static_cast<std::size_t>(rank)]
                                                     / 100);
                for (int left = calls(this->random); left > 0; --left)
                    this->arrive(rank);
            }
            this->wakeAndExpire();
        }
    }
};

} // namespace

// Guards against the behaviour of a plain retry loop under overload: the most urgent calls were
// served worst, refused calls were only refused after 550 to 700 ms, and waiting calls polled every
// 40 ms. Simulates three times the load that the slots can take, which is 34 calls a second.
Test(capacity_queue, under_overload_urgent_calls_are_served_and_others_are_refused_early)
{
    Simulation simulation;
    simulation.run(20s, {15, 40, 45});
    int arrived = 0;
    int placed = 0;
    int early = 0;
    int late = 0;
    for (const Outcomes &outcomes : simulation.outcomes) {
        arrived += outcomes.arrived;
        placed += outcomes.placed;
        early += outcomes.refusedAtOnce;
        late += outcomes.timedOut;
    }
    const auto share = [](const Outcomes &outcomes) {
        return static_cast<double>(outcomes.placed) / outcomes.arrived;
    };
    const double shareOfAll = static_cast<double>(placed) / arrived;
    cr_assert_gt(placed, 20 * 34 * 9 / 10, "slots stay in use: %d", placed);
    cr_assert_gt(share(simulation.outcomes[0]), 2 * shareOfAll, "the most urgent calls go first");
    cr_assert_gt(share(simulation.outcomes[1]), share(simulation.outcomes[2]));
    cr_assert_gt(share(simulation.outcomes[2]), shareOfAll / 4, "no rank is starved");
    cr_assert_gt(early, late, "%d at once, %d after their wait limit", early, late);
}

// Guards against a VM that refuses all calls for ever: an overload shows a low rate, all calls are
// refused at once, and with no calls waiting nothing shows that the overload has ended.
Test(capacity_queue, after_an_overload_calls_are_placed_again)
{
    Simulation simulation;
    simulation.run(10s, {40, 60, 60});
    simulation.run(2s, {0, 0, 0});
    simulation.outcomes = {};
    simulation.run(20s, {8, 8, 8});
    for (const Outcomes &outcomes : simulation.outcomes)
        cr_assert_gt(outcomes.placed, outcomes.arrived * 95 / 100, "%d of %d", outcomes.placed,
                     outcomes.arrived);
}
