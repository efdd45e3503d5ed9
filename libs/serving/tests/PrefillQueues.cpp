#include <deque>
#include <random>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/EngineChoice.h"
#include "serving/PrefillQueue.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr double pace = 40; ///< tokens per ms
const Instant start = Instant{} + 1h;

} // namespace

// Guards against calls that join a queue they should avoid, and against lost tokens.
Test(prefill_queue, a_call_is_counted_only_if_few_enough_tokens_wait)
{
    PrefillQueue queue;
    cr_assert(reservePrefill(queue, {8000, 0}, pace, start).reserved);
    const PrefillReply behind = reservePrefill(queue, {8000, 7999}, pace, start);
    cr_assert_not(behind.reserved);
    cr_assert_eq(behind.ahead, 8000);
    cr_assert_eq(waitingTokens(queue, pace, start), 8000);
    cr_assert(reservePrefill(queue, {8000, 8000}, pace, start).reserved);
    cr_assert_eq(waitingTokens(queue, pace, start + 100ms), 12000);
    cr_assert_eq(waitingTokens(queue, pace, start + 1s), 0);
}

// Guards against counts that grow or become negative through invalid values from another VM.
Test(prefill_queue, odd_values_change_nothing)
{
    PrefillQueue queue;
    cr_assert(reservePrefill(queue, {-5000, 0}, pace, start).reserved);
    cr_assert_eq(waitingTokens(queue, pace, start), 0);
    cr_assert(reservePrefill(queue, {4000, 0}, pace, start).reserved);
    cr_assert_eq(waitingTokens(queue, pace, start - 1s), 4000);
    cr_assert_eq(maxTokensAhead({100, 10000, 0, pace}), 0);
    cr_assert_eq(maxTokensAhead({1000, 8000, 100, pace}), 28000);
}

// Guards against a count that differs from that of an engine that prefills prompts in turn.
Test(prefill_queue, it_counts_as_an_engine_that_reads_in_turn)
{
    cr_assert(rc::check("waiting tokens", [] {
        PrefillQueue queue;
        std::deque<double> prompts;
        Instant now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 10000)));
        for (const auto &[pauseMs, tokens] : steps) {
            now += std::chrono::milliseconds(pauseMs);
            double read = pace * pauseMs;
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
            const double most = 20000;
            const PrefillReply reply =
                reservePrefill(queue, {static_cast<double>(tokens), most}, pace, now);
            RC_ASSERT(std::abs(reply.ahead - waiting) < 1);
            RC_ASSERT(reply.reserved == (reply.ahead <= most));
            if (reply.reserved)
                prompts.push_back(tokens);
        }
    }));
}

namespace {

struct Played
{
    double onTime = 0; ///< share of calls
    double worstMs = 0;
};

/**
 * Long prompts for one adapter that is resident at six engines, sent by many VMs whose view of the
 * load is 300 ms old. With `asking`, each call tries reservations at up to three engines first.
 */
Played play(bool asking)
{
    constexpr int calls = 4000;
    constexpr double callEveryMs = 62; // three fifths of the capacity of the six engines
    constexpr double newsEveryMs = 300;
    constexpr double objectiveMs = 1000;
    EngineWeights weights;
    weights.promptTokensPerMs = pace;
    const ResidentVersions holds{{"m/a", 1}};
    std::mt19937 random(11);
    std::exponential_distribution<double> pauseMs(1 / callEveryMs);
    std::uniform_real_distribution<double> doubt(0, newsEveryMs);
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
    Played played;
    double atMs = 0;
    double toldMs = -newsEveryMs;
    for (int call = 0; call < calls; ++call) {
        atMs += pauseMs(random);
        const Instant now = start + fromSeconds(atMs / 1000);
        if (atMs - toldMs >= newsEveryMs) {
            toldMs = atMs;
            for (std::size_t index = 0; index < views.size(); ++index)
                views[index].waitingTokens = waitingTokens(queues[index], pace, now);
        }
        std::vector<EngineView> known = views;
        std::size_t chosen = 0;
        for (int asked = 0; asked < 4; ++asked) {
            for (EngineView &view : known)
                view.jitterMs = doubt(random);
            chosen = chooseEngine(known, need, {}, weights).engine;
            const double most =
                0.5 * maxTokensAhead({0.85 * objectiveMs, need.promptTokens, 0, pace});
            const double bound = std::max(most, known[chosen].waitingTokens);
            if (!asking || asked == 3)
                break;
            const PrefillReply reply = reservePrefill(queues[chosen], {0, bound}, pace, now);
            if (reply.reserved)
                break;
            known[chosen].waitingTokens = reply.ahead;
        }
        const double waitMs = waitingTokens(queues[chosen], pace, now) / pace;
        const double firstMs = waitMs + need.promptTokens / pace;
        played.onTime += firstMs <= objectiveMs ? 1.0 / calls : 0;
        played.worstMs = std::max(played.worstMs, firstMs);
        reservePrefill(queues[chosen], {need.promptTokens, 1e9}, pace, now);
    }
    return played;
}

} // namespace

// Guards against calls that queue for seconds at one engine while others with the same adapter are
// idle, because many VMs choose by the same outdated view.
Test(prefill_queue, calls_that_ask_are_on_time_where_news_are_old)
{
    const Played byNews = play(false);
    const Played byAsking = play(true);
    cr_assert_gt(byAsking.onTime, 0.99, "%f on time", byAsking.onTime);
    cr_assert_gt(byAsking.onTime, byNews.onTime);
    cr_assert_lt(byAsking.worstMs, byNews.worstMs, "%f ms, by updates %f ms (%f on time)",
                 byAsking.worstMs, byNews.worstMs, byNews.onTime);
}
