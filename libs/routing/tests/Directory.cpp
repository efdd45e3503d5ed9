#include <map>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "routing/ResidentDirectory.h"

using namespace monsoonbay;

namespace {

std::size_t leastRunning(std::span<const RouteCandidate> candidates, double, double)
{
    std::size_t best = candidates.size();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (best == candidates.size() || candidates[index].running < candidates[best].running)
            best = index;
    }
    return best;
}

const PlacementPolicy policy{"test", 1, leastRunning, nullptr, nullptr, nullptr};

TargetStatus statusOf(std::uint64_t target, std::uint64_t token, std::uint64_t change,
                      const std::vector<std::uint64_t> &adapters, int running)
{
    TargetStatus status;
    status.target = TargetId{target};
    status.owner = VmId{1};
    status.version = StatusVersion{token, 0, change};
    status.running = running;
    for (const std::uint64_t adapter : std::set<std::uint64_t>(adapters.begin(), adapters.end()))
        status.resident.push_back(AdapterId{adapter});
    return status;
}

} // namespace

// Guards against routes that differ from those of a plain map of all targets' newest reports.
Test(directory, agrees_with_a_plain_map_in_any_order_of_reports)
{
    cr_assert(rc::check("directory", [] {
        ResidentDirectory directory("zone");
        std::map<std::uint64_t, TargetStatus> reference;
        const auto reports = *rc::gen::container<
            std::vector<std::tuple<int, int, int, std::vector<std::uint64_t>, int>>>(rc::gen::tuple(
            rc::gen::inRange(1, 6), rc::gen::inRange(1, 4), rc::gen::inRange(1, 6),
            rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 10)),
            rc::gen::inRange(0, 9)));
        for (const auto &[target, token, change, adapters, running] : reports) {
            const auto id = static_cast<std::uint64_t>(target);
            const TargetStatus status =
                statusOf(id, static_cast<std::uint64_t>(token), static_cast<std::uint64_t>(change),
                         adapters, running);
            const auto known = reference.find(id);
            const bool newer = known == reference.end() || known->second.version < status.version;
            RC_ASSERT(directory.apply(status) == newer);
            if (newer)
                reference[id] = status;
        }
        for (std::uint64_t adapter = 1; adapter < 10; ++adapter) {
            int least = 1000;
            for (const auto &[id, status] : reference) {
                for (const AdapterId resident : status.resident) {
                    if (resident.value == adapter)
                        least = std::min(least, status.running);
                }
            }
            const std::optional<TargetRoute> route =
                directory.choose(AdapterId{adapter}, policy, 1, 0);
            RC_ASSERT(route.has_value() == (least != 1000));
            if (route)
                RC_ASSERT(reference.at(route->target.value).running == least);
        }
    }));
}

// Guards against routing to a leaving target: the VM list marks it, and a later report of its owner
// without the mark must not clear it.
Test(directory, a_leaving_target_gets_nothing_new_whatever_its_owner_reports)
{
    ResidentDirectory directory("zone");
    directory.apply(statusOf(1, 1, 1, {5}, 0));
    cr_assert(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
    directory.setLeaving(TargetId{1}, true);
    cr_assert_not(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
    directory.apply(statusOf(1, 1, 2, {5}, 0));
    cr_assert_not(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
    directory.setLeaving(TargetId{1}, false);
    cr_assert(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
}

// Guards against sending everything to the same engine between two reports, because only the
// reported requests are counted.
Test(directory, what_was_sent_since_the_report_counts)
{
    ResidentDirectory directory("zone");
    directory.apply(statusOf(1, 1, 1, {5}, 2));
    directory.apply(statusOf(2, 1, 1, {5}, 3));
    std::map<std::uint64_t, int> sent;
    for (int request = 0; request < 21; ++request) {
        const TargetRoute route = *directory.choose(AdapterId{5}, policy, 1, 0);
        directory.recordSent(route.target);
        ++sent[route.target.value];
    }
    cr_assert_eq(sent[1], 11);
    cr_assert_eq(sent[2], 10);
}

// Guards against sending further requests to a target that turned out not to hold the adapter, and
// against ignoring it after a newer report names the adapter again.
Test(directory, a_failed_attempt_removes_the_stale_entry_until_a_newer_report)
{
    ResidentDirectory directory("zone");
    directory.apply(statusOf(1, 1, 1, {5}, 0));
    directory.removeHolder(AdapterId{5}, TargetId{1});
    cr_assert_not(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
    directory.apply(statusOf(1, 1, 2, {5}, 0));
    cr_assert(directory.choose(AdapterId{5}, policy, 1, 0).has_value());
}
