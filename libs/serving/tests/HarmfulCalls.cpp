#include "serving/HarmfulCalls.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;
const CallIdentity harmful{7, 1};
const CallIdentity neighbor{8, 2};

CallEvidence crashed(const std::string &target, Duration at, std::vector<CallIdentity> calls)
{
    return {target, 0, std::move(calls), start + at};
}

CallEvidence answered(Duration at, const CallIdentity &call)
{
    return {std::string(), 0, {call}, start + at};
}

HarmfulCalls judge(const std::deque<CallEvidence> &evidence)
{
    std::vector<const CallEvidence *> items;
    for (const CallEvidence &item : evidence)
        items.push_back(&item);
    return findHarmfulCalls(items);
}

/** Three crashes under the harmful call, seen by different VMs. */
std::deque<CallEvidence> threeCrashes()
{
    return {crashed("a", 0s, {harmful}), crashed("b", 1s, {harmful}), crashed("c", 2s, {harmful})};
}

} // namespace

// Guards against a threshold other than three crashes, and against a block without an end.
Test(harmful_calls, three_crashes_block_a_call_and_two_do_not)
{
    std::deque<CallEvidence> evidence = threeCrashes();
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert_eq(verdict.calls[0].crashes, 3);
    cr_assert(findHarmful(verdict, harmful) != nullptr);
    cr_assert(nextTrialAt(verdict.calls[0]) == start + 2s + firstTrialDelay);
    evidence.pop_back();
    cr_assert_null(findHarmful(judge(evidence), harmful));
    cr_assert(clearedByAnswer(judge(evidence), harmful).has_value());
}

// Guards against a verdict that nothing can refute, as refused calls bring no answers, and against
// trials that crash a target every few seconds.
Test(harmful_calls, a_verdict_is_tried_after_five_seconds_and_then_ever_more_rarely)
{
    std::deque<CallEvidence> evidence = threeCrashes();
    int trials = 0;
    for (Instant trial = nextTrialAt(judge(evidence).calls.at(0)); trial < start + evidenceTtl;
         trial = nextTrialAt(judge(evidence).calls.at(0))) {
        evidence.push_back(crashed("a", trial - start, {harmful}));
        ++trials;
    }
    cr_assert_leq(trials, 11, "%d trials in an hour", trials);
    evidence = {crashed("a", 0ms, {harmful}), crashed("b", 1ms, {harmful}),
                crashed("c", 2ms, {harmful}), crashed("d", 3ms, {harmful}),
                crashed("e", 4ms, {harmful})};
    cr_assert(nextTrialAt(judge(evidence).calls.at(0)) == start + 4ms + firstTrialDelay,
              "many ends at once are tried no later");
}

// Guards against counting the observations of several VMs as several crashes.
Test(harmful_calls, one_crash_seen_by_several_vms_counts_once)
{
    const std::deque<CallEvidence> evidence{
        crashed("a", 0ms, {harmful}), crashed("a", 40ms, {harmful}), crashed("a", 90ms, {harmful})};
    cr_assert(judge(evidence).calls.empty());
}

// Guards against counting one crash twice: two VMs sent the call while the target was down behind a
// proxy that accepts connections, and both learnt of the crash from the target's new start.
Test(harmful_calls, one_new_start_in_the_list_is_one_crash)
{
    std::deque<CallEvidence> evidence = threeCrashes();
    evidence[1] = crashed("a", 900ms, {harmful});
    evidence[0].nextStartTime = 5;
    evidence[1].nextStartTime = 5;
    cr_assert(judge(evidence).calls.empty());
    evidence[1].nextStartTime = 6;
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against counting two crashes of a target that restarts under the same id as one.
Test(harmful_calls, successive_crashes_of_one_target_count_each)
{
    const std::deque<CallEvidence> evidence{
        crashed("a", 0s, {harmful}), crashed("a", 3s, {harmful}), crashed("a", 6s, {harmful})};
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against blocking a harmless call for an hour: it was sent again after each loss and ran
// next to a harmful one at three crashes of four, though the harmful call explains all of them.
Test(harmful_calls, a_call_next_to_a_harmful_one_is_not_blamed)
{
    const std::deque<CallEvidence> evidence{
        crashed("a", 0s, {harmful}), crashed("a", 20ms, {neighbor}),
        crashed("b", 1s, {harmful, neighbor}), crashed("c", 2s, {neighbor, harmful}),
        crashed("d", 3s, {harmful})};
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert(findHarmful(verdict, harmful) != nullptr);
    cr_assert_null(findHarmful(verdict, neighbor));
}

// Guards against blocking a harmless call that ran at the same crashes as a harmful one.
Test(harmful_calls, two_calls_at_the_same_crashes_wait_for_more_evidence)
{
    std::deque<CallEvidence> evidence{crashed("a", 0s, {harmful, neighbor}),
                                      crashed("b", 1s, {harmful, neighbor}),
                                      crashed("c", 2s, {harmful, neighbor})};
    cr_assert(judge(evidence).calls.empty());
    evidence.push_back(answered(3s, neighbor));
    cr_assert_eq(judge(evidence).calls.size(), 1, "the other was answered");
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
    evidence.pop_back();
    evidence.push_back(crashed("d", 3s, {harmful}));
    cr_assert_eq(judge(evidence).calls.size(), 1, "one more end without the other");
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
    evidence.back().calls.push_back(neighbor);
    cr_assert(judge(evidence).calls.empty());
    evidence.push_back(crashed("e", 4s, {harmful, neighbor}));
    cr_assert_eq(judge(evidence).calls.size(), 2, "nothing tells them apart: targets come first");
}

// Guards against refusing other callers because of one caller's harmful call.
Test(harmful_calls, the_same_content_of_another_caller_is_another_call)
{
    const CallIdentity sameContent{harmful.content, 99};
    cr_assert_null(findHarmful(judge(threeCrashes()), sameContent));
}

// Guards against a harmful caller with several addresses: no address identifies its calls.
Test(harmful_calls, a_harmful_content_of_many_callers_is_blocked_for_all)
{
    std::deque<CallEvidence> evidence = threeCrashes();
    evidence[1].calls = {{harmful.content, 50}};
    evidence[2].calls = {{harmful.content, 60}};
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert(findHarmful(verdict, {harmful.content, 1234}) != nullptr);
}

// Guards against blocking a popular call, which is running somewhere whenever a target crashes for
// other reasons. An answered call causes no crashes.
Test(harmful_calls, an_answer_clears_a_call_of_crashes_before_and_shortly_after)
{
    std::deque<CallEvidence> evidence = threeCrashes();
    evidence.push_back(answered(500ms, harmful));
    cr_assert(judge(evidence).calls.empty());
    cr_assert_not(clearedByAnswer(judge(evidence), harmful).has_value());
    for (const Duration at : {answerClearsFor, answerClearsFor + 1s, answerClearsFor + 2s})
        evidence.push_back(crashed("d", at, {harmful}));
    cr_assert(judge(evidence).calls.empty(), "two ends count");
    cr_assert(clearedByAnswer(judge(evidence), harmful).has_value());
    evidence.push_back(crashed("d", answerClearsFor + 3s, {harmful}));
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against state updates full of answers: a call that many callers send was running for one
// of them at a crash, its content stayed suspect, and each answer to any caller was sent to all
// VMs.
Test(harmful_calls, answers_that_change_nothing_need_no_report)
{
    const CallIdentity other{harmful.content, 2};
    std::deque<CallEvidence> evidence{crashed("a", 0s, {harmful})};
    cr_assert(clearedByAnswer(judge(evidence), other).has_value(),
              "the first answer clears the content for all callers");
    evidence.push_back(answered(1s, other));
    cr_assert_not(clearedByAnswer(judge(evidence), other).has_value());
    cr_assert(clearedByAnswer(judge(evidence), harmful).has_value(), "not yet answered itself");
    evidence.push_back(answered(2s, harmful));
    cr_assert_not(clearedByAnswer(judge(evidence), harmful).has_value());
}

namespace {

/** Crashes under one planted call and others next to it, as several VMs report them. */
std::deque<CallEvidence> plantedCrashes(std::mt19937_64 &random, int ends, int others)
{
    std::deque<CallEvidence> evidence;
    for (int end = 0; end < ends; ++end) {
        const std::string target = std::to_string(random() % 4);
        const Duration at = end * 2s;
        evidence.push_back(crashed(target, at, {harmful}));
        for (int other = 0; other < others; ++other) {
            if (random() % 3 == 0)
                evidence.push_back(crashed(target, at + std::chrono::milliseconds(random() % 100),
                                           {{100 + static_cast<std::uint64_t>(other), 5}}));
        }
    }
    std::shuffle(evidence.begin(), evidence.end(), random);
    return evidence;
}

/** Number of crashes at which each content was running, counted directly. */
std::map<std::uint64_t, int> naiveCounts(const std::deque<CallEvidence> &evidence)
{
    std::map<std::uint64_t, std::set<Instant>> ends;
    for (const CallEvidence &item : evidence) {
        const auto sinceStart = item.at - start;
        const Instant end = start + sinceStart / 2s * 2s;
        for (const CallIdentity &call : item.calls)
            ends[call.content].insert(end);
    }
    std::map<std::uint64_t, int> counts;
    for (const auto &[content, times] : ends)
        counts[content] = static_cast<int>(times.size());
    return counts;
}

} // namespace

// Compares the verdict with direct counts of crashes, for evidence in random order.
Test(harmful_calls, the_planted_call_is_found_and_no_other)
{
    const bool holds = rc::check("judgeCalls against plain counts", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const int ends = 1 + static_cast<int>(random() % 9);
        std::deque<CallEvidence> evidence =
            plantedCrashes(random, ends, static_cast<int>(random() % 12));
        const std::map<std::uint64_t, int> counts = naiveCounts(evidence);
        const HarmfulCalls verdict = judge(evidence);
        int asOften = 0;
        for (const auto &[content, count] : counts)
            asOften += count == ends ? 1 : 0;
        const bool alone = asOften == 1;
        const bool mustBeFound = (ends >= crashesToBlock && alone) || ends >= crashesToBlockTied;
        RC_ASSERT((findHarmful(verdict, harmful) != nullptr) == mustBeFound);
        for (const HarmfulCall &call : verdict.calls)
            RC_ASSERT(counts.at(call.attributes.at(0).value) == ends);
        std::shuffle(evidence.begin(), evidence.end(), random);
        RC_ASSERT(judge(evidence) == verdict);
    });
    cr_assert(holds);
}

namespace {

constexpr std::uint64_t commonPart = 1;
constexpr std::uint64_t harmfulPart = 2;

/** A call like no other, with these parts in its prompt. */
CallIdentity callWith(std::vector<std::uint64_t> parts)
{
    static std::uint64_t contents = 1000;
    std::sort(parts.begin(), parts.end());
    return {++contents, 5, std::move(parts)};
}

/** Crashes under calls with the harmful part, each beside a harmless call of its own. */
std::deque<CallEvidence> crashesUnderPart(int crashes)
{
    std::deque<CallEvidence> evidence;
    for (int crash = 0; crash < crashes; ++crash) {
        const std::uint64_t other = 100 + static_cast<std::uint64_t>(crash);
        evidence.push_back(crashed(
            std::to_string(crash), crash * 1s,
            {callWith({commonPart, harmfulPart, other}), callWith({commonPart, other + 50})}));
    }
    return evidence;
}

bool refuses(const std::deque<CallEvidence> &evidence, std::vector<std::uint64_t> parts)
{
    return findHarmful(judge(evidence), callWith(std::move(parts))) != nullptr;
}

} // namespace

// Guards against calls that crash target after target because no two of them are alike, and against
// refusing those that share other parts with them.
Test(harmful_calls, a_part_in_all_crashes_is_found_and_its_neighbors_are_not)
{
    std::deque<CallEvidence> evidence = crashesUnderPart(crashesToBlock - 1);
    cr_assert(!refuses(evidence, {commonPart, harmfulPart}));
    evidence = crashesUnderPart(crashesToBlock);
    cr_assert(refuses(evidence, {commonPart, harmfulPart, 77}));
    cr_assert(!refuses(evidence, {commonPart}), "not cleared yet, but not alone at any crash");
    cr_assert(!refuses(evidence, {commonPart, 100}));
    evidence.push_back(answered(4s, callWith({commonPart, 9})));
    cr_assert(refuses(evidence, {harmfulPart}), "the common part is cleared");
    cr_assert(!refuses(evidence, {commonPart, 9}));
}

// Guards against blaming a part of a call that crashes targets by itself, sent again and again.
Test(harmful_calls, the_parts_of_a_harmful_call_are_not_blamed)
{
    const CallIdentity call{7, 1, {commonPart, harmfulPart}};
    const std::deque<CallEvidence> evidence{crashed("a", 0s, {call}), crashed("b", 1s, {call}),
                                            crashed("c", 2s, {call})};
    cr_assert(findHarmful(judge(evidence), call) != nullptr);
    cr_assert(!refuses(evidence, {commonPart, harmfulPart}));
}

// Guards against an answer to one call with a popular part that is reported for each further one.
Test(harmful_calls, an_answer_names_only_what_it_clears)
{
    std::deque<CallEvidence> evidence = crashesUnderPart(1);
    const auto suspect = clearedByAnswer(judge(evidence), callWith({commonPart, 9}));
    cr_assert(suspect == CallIdentity({0, 0, {commonPart}}));
    evidence.push_back(answered(1s, *suspect));
    cr_assert(!clearedByAnswer(judge(evidence), callWith({commonPart, 9})).has_value());
    cr_assert(clearedByAnswer(judge(evidence), callWith({harmfulPart})).has_value());
}

// Compares verdicts with what was planted: two harmful parts, crashes for other reasons, answers to
// harmless calls with the common part now and then.
Test(harmful_calls, planted_parts_are_found_among_crashes_of_other_causes)
{
    const bool holds = rc::check("two planted parts", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::deque<CallEvidence> evidence;
        std::map<std::uint64_t, int> crashesBy;
        for (int step = 0; step < 24; ++step) {
            const Duration at = step * 1s;
            const std::uint64_t cause = random() % 4; // 2 and 3 are harmful; else another cause
            std::vector<CallIdentity> calls;
            for (std::uint64_t beside = random() % 5; beside > 0; --beside)
                calls.push_back(callWith({commonPart, 100 + random() % 400}));
            if (cause >= harmfulPart)
                calls.push_back(callWith({commonPart, cause, 100 + random() % 400}));
            evidence.push_back(crashed(std::to_string(step), at, calls));
            ++crashesBy[cause];
            evidence.push_back(answered(at + 500ms, callWith({commonPart, 600 + random() % 9})));
        }
        std::shuffle(evidence.begin(), evidence.end(), random);
        for (const std::uint64_t part : {harmfulPart, harmfulPart + 1}) {
            const bool mustBeFound = crashesBy[part] >= crashesToBlock;
            RC_ASSERT(refuses(evidence, {commonPart, part}) == mustBeFound);
        }
        RC_ASSERT(!refuses(evidence, {commonPart, 999}));
    });
    cr_assert(holds);
}
