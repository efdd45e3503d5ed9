#include <deque>
#include <random>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/EngineChoice.h"
#include "serving/PrefillQueue.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 40; ///< tokens per ms
const Instant start = Instant{} + 1h;

} // namespace

// Guards against calls that join a queue they should avoid, and against lost tokens.
Test(prefill_queue, a_call_is_counted_only_if_few_enough_tokens_wait)
{
    PrefillQueue queue;
    cr_assert(reservePrefill(queue, {8000, 0}, rate, start).reserved);
    const PrefillReply behind = reservePrefill(queue, {8000, 7999}, rate, start);
    cr_assert_not(behind.reserved);
    cr_assert_eq(behind.ahead, 8000);
    cr_assert_eq(waitingTokens(queue, rate, start), 8000);
    cr_assert(reservePrefill(queue, {8000, 8000}, rate, start).reserved);
    cr_assert_eq(waitingTokens(queue, rate, start + 100ms), 12000);
    cr_assert_eq(waitingTokens(queue, rate, start + 1s), 0);
}

// Guards against counts that grow or become negative through invalid values from another VM.
Test(prefill_queue, invalid_values_change_nothing)
{
    PrefillQueue queue;
    cr_assert(reservePrefill(queue, {-5000, 0}, rate, start).reserved);
    cr_assert_eq(waitingTokens(queue, rate, start), 0);
    cr_assert(reservePrefill(queue, {4000, 0}, rate, start).reserved);
    cr_assert_eq(waitingTokens(queue, rate, start - 1s), 4000);
    cr_assert_eq(maxTokensAhead({100, 10000, 0, rate}), 0);
    cr_assert_eq(maxTokensAhead({1000, 8000, 100, rate}), 28000);
}

// Guards against a count that differs from that of an engine that prefills prompts in turn.
Test(prefill_queue, it_matches_an_engine_that_prefills_in_turn)
{
    cr_assert(rc::check("waiting tokens", [] {
        PrefillQueue queue;
        std::deque<double> prompts;
        Instant now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 10000)));
        for (const auto &[gapMs, tokens] : steps) {
            now += std::chrono::milliseconds(gapMs);
            double read = rate * gapMs;
            while (!prompts.empty() && read > 0) {
                const double part = std::min(read, prompts.front());
                prompts.front() -= part;
                read -= part;
                if (prompts.front() <= 0)
                    prompts.pop_front();
            }
            double waiting = 0;
            for (const double prompt : prompts)
                waiting += prompt;
            const double limit = 20000;
            const PrefillReply reply =
                reservePrefill(queue, {static_cast<double>(tokens), limit}, rate, now);
            RC_ASSERT(std::abs(reply.ahead - waiting) < 1);
            RC_ASSERT(reply.reserved == (reply.ahead <= limit));
            if (reply.reserved)
                prompts.push_back(tokens);
        }
    }));
}

namespace {

struct QueueSimulation
{
    double onTime = 0; ///< share of calls
    double worstMs = 0;
};

/**
 * Long prompts for one adapter that is resident at six engines, sent by many VMs whose view of the
 * load is 300 ms old. With `asking`, each call tries reservations at up to three engines first.
 */
QueueSimulation simulate(bool reserves)
{
    constexpr int calls = 4000;
    constexpr double callEveryMs = 62; // three fifths of the capacity of the six engines
    constexpr double updateEveryMs = 300;
    constexpr double objectiveMs = 1000;
    EngineWeights weights;
    weights.promptTokensPerMs = rate;
    const ResidentVersions holds{{"m/a", 1}};
    std::mt19937 random(11);
    std::exponential_distribution<double> gapMs(1 / callEveryMs);
    std::uniform_real_distribution<double> doubt(0, updateEveryMs);
    EngineNeed need;
    need.adapter = "m/a";
    need.promptTokens = 9000;
    std::vector<EngineView> views(6);
    std::vector<PrefillQueue> queues(views.size());
    for (std::size_t index = 0; index < views.size(); ++index) {
        views[index].id = "e" + std::to_string(index);
        views[index].slots = 64;
        views[index].kvTokens = 230000;
        views[index].resident = &holds;
    }
    QueueSimulation played;
    double atMs = 0;
    double toldMs = -updateEveryMs;
    for (int call = 0; call < calls; ++call) {
        atMs += gapMs(random);
        const Instant now = start + fromSeconds(atMs / 1000);
        if (atMs - toldMs >= updateEveryMs) {
            toldMs = atMs;
            for (std::size_t index = 0; index < views.size(); ++index)
                views[index].waitingTokens = waitingTokens(queues[index], rate, now);
        }
        std::vector<EngineView> known = views;
        std::size_t chosen = 0;
        for (int asked = 0; asked < 4; ++asked) {
            for (EngineView &view : known)
                view.jitterMs = doubt(random);
            chosen = chooseEngine(known, need, {}, weights).engine;
            const double limit =
                0.5 * maxTokensAhead({0.85 * objectiveMs, need.promptTokens, 0, rate});
            const double maxAhead = std::max(limit, known[chosen].waitingTokens);
            if (!reserves || asked == 3)
                break;
            const PrefillReply reply = reservePrefill(queues[chosen], {0, maxAhead}, rate, now);
            if (reply.reserved)
                break;
            known[chosen].waitingTokens = reply.ahead;
        }
        const double waitMs = waitingTokens(queues[chosen], rate, now) / rate;
        const double firstMs = waitMs + need.promptTokens / rate;
        played.onTime += firstMs <= objectiveMs ? 1.0 / calls : 0;
        played.worstMs = std::max(played.worstMs, firstMs);
        reservePrefill(queues[chosen], {need.promptTokens, 1e9}, rate, now);
    }
    return played;
}

} // namespace

// Guards against calls that queue for seconds at one engine while others with the same adapter are
// idle, because many VMs choose by the same outdated view.
Test(prefill_queue, calls_that_reserve_are_on_time_although_updates_are_old)
{
    const QueueSimulation byUpdates = simulate(false);
    const QueueSimulation byReserving = simulate(true);
    cr_assert_gt(byReserving.onTime, 0.99, "%f on time", byReserving.onTime);
    cr_assert_gt(byReserving.onTime, byUpdates.onTime);
    cr_assert_lt(byReserving.worstMs, byUpdates.worstMs, "%f ms, by updates %f ms (%f on time)",
                 byReserving.worstMs, byUpdates.worstMs, byUpdates.onTime);
}
