#include <criterion/criterion.h>

#include "serving/TargetLinks.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

LinkCounts counts(int listed, int failed, int reached)
{
    LinkCounts result;
    result.listed = listed;
    result.failed = failed;
    result.reached = reached;
    return result;
}

} // namespace

Test(links, the_newest_attempt_determines_the_link_state)
{
    LinkObservation observation;
    cr_assert_eq(linkState(observation, start), LinkState::Unknown);
    observation.failedAt = start;
    cr_assert_eq(linkState(observation, start + 1s), LinkState::Failed);
    cr_assert_eq(linkState(observation, start + 4s), LinkState::Unknown, "the result has expired");
    observation.reachedAt = start + 1s;
    cr_assert_eq(linkState(observation, start + 1s), LinkState::Reached);
    cr_assert_eq(linkState(observation, start + 2s), LinkState::Unknown,
                 "the link may have been lost since");
    observation.failedAt = start + 2s;
    cr_assert_eq(linkState(observation, start + 2s), LinkState::Failed);
}

// Guards against rerouted calls when one target has ended, or a part of many.
Test(links, ended_targets_do_not_count_as_lost_links)
{
    cr_assert(!linksSeemLost(counts(12, 1, 0)));
    cr_assert(!linksSeemLost(counts(12, 6, 3)));
    cr_assert(!linksSeemLost(counts(90, 30, 8)));
    cr_assert(!confirmsLoss({6, 2}, Silence::IsLoss));
    cr_assert(!confirmsLoss({3, 1}, Silence::IsLoss));
    cr_assert(!confirmsLoss({0, 0}, Silence::IsLoss), "no VM reaches them");
}

Test(links, losing_all_or_nearly_all_targets_is_detected)
{
    cr_assert(linksSeemLost(counts(12, 2, 0)));
    cr_assert(linksSeemLost(counts(12, 8, 2)));
    cr_assert(linksSeemLost(counts(3, 2, 0)));
    cr_assert(linksSeemLost(counts(1, 1, 0)));
    cr_assert(!linksSeemLost(counts(0, 0, 0)));
    cr_assert(confirmsLoss({6, 1}, Silence::IsLoss));
    cr_assert(confirmsLoss({3, 0}, Silence::IsLoss));
    cr_assert(confirmsLoss({1, 0}, Silence::IsLoss));
    LinkCounts otherService = counts(3, 1, 0);
    cr_assert(!linksSeemLost(otherService));
    otherService.otherServiceLost = true;
    cr_assert(linksSeemLost(otherService), "one failure suffices for a service with few calls");
}

// Guards against calls that change their path back and forth with an intermittent link.
Test(links, links_recover_after_two_good_rounds)
{
    ServiceLinks links;
    recordLoss(links, start);
    cr_assert(!recordProbes(links, {3, 3}, start));
    cr_assert(!recordProbes(links, {3, 1}, start));
    cr_assert(!recordProbes(links, {0, 0}, start));
    cr_assert(!recordProbes(links, {3, 2}, start));
    cr_assert(links.lost);
    cr_assert(recordProbes(links, {3, 3}, start));
    cr_assert(!links.lost);
}

// Guards against calls that are lost at each turn of a cut that comes and goes.
Test(links, links_that_are_soon_lost_again_recover_later)
{
    ServiceLinks links;
    const auto roundsToRecover = [&links](Instant lostAt) {
        recordLoss(links, lostAt);
        int rounds = 1;
        while (!recordProbes(links, {3, 3}, lostAt + 1s))
            ++rounds;
        return rounds;
    };
    cr_assert_eq(roundsToRecover(start), 2);
    cr_assert_eq(roundsToRecover(start + 3s), 4);
    cr_assert_eq(roundsToRecover(start + 6s), 8);
    cr_assert_eq(roundsToRecover(start + 60s), 2, "a cut of its own");
}

// Guards against probes of hundreds of VMs that occupy a service with few targets.
Test(links, probes_of_all_vms_together_do_not_occupy_targets)
{
    cr_assert_eq(planProbes(7, 9), (ProbePlan{6, 300ms}));
    cr_assert_eq(planProbes(7, 3), (ProbePlan{3, 300ms}));
    cr_assert_eq(planProbes(840, 12000), (ProbePlan{6, 300ms}));
    cr_assert_eq(planProbes(840, 12), (ProbePlan{2, 2800ms}));
    cr_assert_eq(planProbes(7, 0).targets, 0);
}

// Guards against VMs that forward all calls while targets are busy for all of them.
Test(links, silent_probes_prove_nothing_while_some_calls_are_answered)
{
    cr_assert(confirmsLoss({3, 0, 3}, Silence::IsLoss));
    cr_assert(!confirmsLoss({3, 0, 3}, Silence::ProvesNothing));
    cr_assert(!confirmsLoss({6, 1, 4}, Silence::ProvesNothing));
    cr_assert(confirmsLoss({6, 0, 1}, Silence::ProvesNothing), "five ended without an answer");
}
