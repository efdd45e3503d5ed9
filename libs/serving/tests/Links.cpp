#include <criterion/criterion.h>

#include "serving/TargetLinks.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

LinkCounts counts(int listed, int failed, int reached)
{
    LinkCounts made;
    made.listed = listed;
    made.failed = failed;
    made.reached = reached;
    return made;
}

} // namespace

Test(links, the_newest_attempt_tells_how_a_link_stands)
{
    LinkObservation sight;
    cr_assert_eq(linkState(sight, start), LinkState::Unknown);
    sight.failedAt = start;
    cr_assert_eq(linkState(sight, start + 1s), LinkState::Failed);
    cr_assert_eq(linkState(sight, start + 4s), LinkState::Unknown, "the result has expired");
    sight.reachedAt = start + 1s;
    cr_assert_eq(linkState(sight, start + 1s), LinkState::Reached);
    cr_assert_eq(linkState(sight, start + 2s), LinkState::Unknown,
                 "the link may have been lost since");
    sight.failedAt = start + 2s;
    cr_assert_eq(linkState(sight, start + 2s), LinkState::Failed);
}

// Guards against rerouted calls when one target has ended, or a part of many.
Test(links, targets_that_end_are_not_taken_for_a_cut)
{
    cr_assert(!linksSeemLost(counts(12, 1, 0)));
    cr_assert(!linksSeemLost(counts(12, 6, 3)));
    cr_assert(!linksSeemLost(counts(90, 30, 8)));
    cr_assert(!confirmsLoss({6, 2}));
    cr_assert(!confirmsLoss({3, 1}));
    cr_assert(!confirmsLoss({0, 0}), "no VM reaches them");
}

Test(links, a_cut_from_all_or_nearly_all_targets_is_seen)
{
    cr_assert(linksSeemLost(counts(12, 2, 0)));
    cr_assert(linksSeemLost(counts(12, 8, 2)));
    cr_assert(linksSeemLost(counts(3, 2, 0)));
    cr_assert(linksSeemLost(counts(1, 1, 0)));
    cr_assert(!linksSeemLost(counts(0, 0, 0)));
    cr_assert(confirmsLoss({6, 1}));
    cr_assert(confirmsLoss({3, 0}));
    cr_assert(confirmsLoss({1, 0}));
    LinkCounts beside = counts(3, 1, 0);
    cr_assert(!linksSeemLost(beside));
    beside.otherServiceLost = true;
    cr_assert(linksSeemLost(beside), "one failure suffices for a service with few calls");
}

// Guards against calls that change their path back and forth with an intermittent link.
Test(links, links_are_back_after_two_good_rounds)
{
    ServiceLinks links;
    links.lost = true;
    cr_assert(!recordProbes(links, {3, 3}));
    cr_assert(!recordProbes(links, {3, 1}));
    cr_assert(!recordProbes(links, {0, 0}));
    cr_assert(!recordProbes(links, {3, 2}));
    cr_assert(links.lost);
    cr_assert(recordProbes(links, {3, 3}));
    cr_assert(!links.lost);
}
