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
const CallIdentity beside{8, 2};

CallEvidence ended(const std::string &target, Duration at, std::vector<CallIdentity> calls)
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
std::deque<CallEvidence> threeEnds()
{
    return {ended("a", 0s, {harmful}), ended("b", 1s, {harmful}), ended("c", 2s, {harmful})};
}

} // namespace

Test(harmful_calls, three_ends_condemn_a_call_and_two_do_not)
{
    std::deque<CallEvidence> evidence = threeEnds();
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert_eq(verdict.calls[0].crashes, 3);
    cr_assert(findHarmful(verdict, harmful) != nullptr);
    cr_assert(blockedUntil(verdict.calls[0]) == start + evidenceTtl);
    evidence.pop_back();
    cr_assert_null(findHarmful(judge(evidence), harmful));
    cr_assert(isSuspect(judge(evidence), harmful));
}

Test(harmful_calls, one_end_seen_by_several_vms_counts_once)
{
    const std::deque<CallEvidence> evidence{ended("a", 0ms, {harmful}), ended("a", 40ms, {harmful}),
                                            ended("a", 90ms, {harmful})};
    cr_assert(judge(evidence).calls.empty());
}

// Guards against counting one crash twice: two VMs sent the call while the target was down behind a
// proxy that accepts connections, and both learnt of the crash from the target's new start.
Test(harmful_calls, what_the_list_tells_of_one_new_start_is_one_end)
{
    std::deque<CallEvidence> evidence = threeEnds();
    evidence[1] = ended("a", 900ms, {harmful});
    evidence[0].nextStartTime = 5;
    evidence[1].nextStartTime = 5;
    cr_assert(judge(evidence).calls.empty());
    evidence[1].nextStartTime = 6;
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against counting two crashes of a target that restarts under the same id as one.
Test(harmful_calls, ends_of_one_target_after_another_count_each)
{
    const std::deque<CallEvidence> evidence{ended("a", 0s, {harmful}), ended("a", 3s, {harmful}),
                                            ended("a", 6s, {harmful})};
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against blocking a harmless call for an hour: it was sent again after each loss and ran
// next to a harmful one at three crashes of four, though the harmful call explains all of them.
Test(harmful_calls, a_call_beside_a_harmful_one_is_not_to_blame)
{
    const std::deque<CallEvidence> evidence{
        ended("a", 0s, {harmful}), ended("a", 20ms, {beside}), ended("b", 1s, {harmful, beside}),
        ended("c", 2s, {beside, harmful}), ended("d", 3s, {harmful})};
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert(findHarmful(verdict, harmful) != nullptr);
    cr_assert_null(findHarmful(verdict, beside));
}

Test(harmful_calls, two_calls_at_the_same_ends_wait_for_what_tells_them_apart)
{
    std::deque<CallEvidence> evidence{ended("a", 0s, {harmful, beside}),
                                      ended("b", 1s, {harmful, beside}),
                                      ended("c", 2s, {harmful, beside})};
    cr_assert(judge(evidence).calls.empty());
    evidence.push_back(answered(3s, beside));
    cr_assert_eq(judge(evidence).calls.size(), 1, "the other was answered");
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
    evidence.pop_back();
    evidence.push_back(ended("d", 3s, {harmful}));
    cr_assert_eq(judge(evidence).calls.size(), 1, "one more end without the other");
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
    evidence.back().calls.push_back(beside);
    cr_assert(judge(evidence).calls.empty());
    evidence.push_back(ended("e", 4s, {harmful, beside}));
    cr_assert_eq(judge(evidence).calls.size(), 2, "nothing tells them apart: targets come first");
}

Test(harmful_calls, another_callers_call_of_the_same_content_is_its_own)
{
    const CallIdentity sameContent{harmful.content, 99};
    cr_assert_null(findHarmful(judge(threeEnds()), sameContent));
}

// Guards against a harmful caller with several addresses: no address identifies its calls.
Test(harmful_calls, a_content_that_comes_from_many_callers_is_harmful_whoever_sends_it)
{
    std::deque<CallEvidence> evidence = threeEnds();
    evidence[1].calls = {{harmful.content, 50}};
    evidence[2].calls = {{harmful.content, 60}};
    const HarmfulCalls verdict = judge(evidence);
    cr_assert_eq(verdict.calls.size(), 1);
    cr_assert(findHarmful(verdict, {harmful.content, 1234}) != nullptr);
}

// Guards against blocking a popular call, which is running somewhere whenever a target crashes for
// other reasons. An answered call causes no crashes.
Test(harmful_calls, an_answer_voids_the_ends_before_it_and_shortly_after_it)
{
    std::deque<CallEvidence> evidence = threeEnds();
    evidence.push_back(answered(500ms, harmful));
    cr_assert(judge(evidence).calls.empty());
    cr_assert_not(isSuspect(judge(evidence), harmful));
    for (const Duration at : {answerClearsFor, answerClearsFor + 1s, answerClearsFor + 2s})
        evidence.push_back(ended("d", at, {harmful}));
    cr_assert(judge(evidence).calls.empty(), "two ends count");
    cr_assert(isSuspect(judge(evidence), harmful));
    evidence.push_back(ended("d", answerClearsFor + 3s, {harmful}));
    cr_assert(findHarmful(judge(evidence), harmful) != nullptr);
}

// Guards against state updates full of answers: a call that many callers send was running for one
// of them at a crash, its content stayed suspect, and each answer to any caller was sent to all
// VMs.
Test(harmful_calls, answers_that_change_nothing_are_not_worth_telling)
{
    const CallIdentity other{harmful.content, 2};
    std::deque<CallEvidence> evidence{ended("a", 0s, {harmful})};
    cr_assert(isSuspect(judge(evidence), other),
              "the first answer clears the content for all callers");
    evidence.push_back(answered(1s, other));
    cr_assert_not(isSuspect(judge(evidence), other));
    cr_assert(isSuspect(judge(evidence), harmful), "not yet answered itself");
    evidence.push_back(answered(2s, harmful));
    cr_assert_not(isSuspect(judge(evidence), harmful));
}

namespace {

/** Crashes under one planted call and others next to it, as several VMs report them. */
std::deque<CallEvidence> plantedEnds(std::mt19937_64 &random, int ends, int others)
{
    std::deque<CallEvidence> evidence;
    for (int end = 0; end < ends; ++end) {
        const std::string target = std::to_string(random() % 4);
        const Duration at = end * 2s;
        evidence.push_back(ended(target, at, {harmful}));
        for (int other = 0; other < others; ++other) {
            if (random() % 3 == 0)
                evidence.push_back(ended(target, at + std::chrono::milliseconds(random() % 100),
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

Test(harmful_calls, the_planted_call_is_found_and_no_other)
{
    const bool holds = rc::check("judgeCalls against plain counts", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const int ends = 1 + static_cast<int>(random() % 9);
        std::deque<CallEvidence> evidence =
            plantedEnds(random, ends, static_cast<int>(random() % 12));
        const std::map<std::uint64_t, int> counts = naiveCounts(evidence);
        const HarmfulCalls verdict = judge(evidence);
        int asOften = 0;
        for (const auto &[content, count] : counts)
            asOften += count == ends ? 1 : 0;
        const bool alone = asOften == 1;
        const bool mustBeFound = (ends >= crashesToBlock && alone) || ends >= crashesToBlockTied;
        RC_ASSERT((findHarmful(verdict, harmful) != nullptr) == mustBeFound);
        for (const HarmfulCall &call : verdict.calls)
            RC_ASSERT(counts.at(call.content) == ends);
        std::shuffle(evidence.begin(), evidence.end(), random);
        RC_ASSERT(judge(evidence) == verdict);
    });
    cr_assert(holds);
}
