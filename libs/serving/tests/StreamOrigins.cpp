#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/SoftwareVersions.h"
#include "serving/StreamOrigins.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1h;

std::vector<std::string> vmNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("vm-" + std::to_string(index));
    return names;
}

std::set<std::string> replicaNames(StreamId id, const std::vector<std::string> &names)
{
    std::set<std::string> chosen;
    for (const std::size_t index : chooseReplicas(id, names, 2))
        chosen.insert(names[index]);
    return chosen;
}

} // namespace

// Guards against a stream that is resumed at another software version, or after its deadline.
Test(stream_origins, the_origin_of_a_stream_is_known_until_its_deadline)
{
    StreamOrigins origins;
    const StreamId id = streamIdOf("attempt-1");
    cr_assert(!originOf(origins, id, start));
    recordOrigin(origins, id, {"v1", start + 8s}, start);
    recordOrigin(origins, id, {"v2", start + 20s}, start + 1s);
    cr_assert_eq(originOf(origins, id, start + 7s).value(), "v1",
                 "the first recorded origin is kept");
    cr_assert(!originOf(origins, id, start + 8s));
    forgetOrigins(origins, start + 8s);
    cr_assert(origins.byId.empty());
    cr_assert(origins.order.empty());
}

// Guards against memory that grows with the number of streams.
Test(stream_origins, their_number_is_bounded_and_the_oldest_go_first)
{
    StreamOrigins origins;
    for (StreamId id = 0; id <= maxStreamOrigins; ++id)
        recordOrigin(origins, id, {"v1", start + 1h}, start);
    cr_assert_eq(origins.byId.size(), maxStreamOrigins);
    cr_assert(!originOf(origins, 0, start));
    cr_assert(originOf(origins, maxStreamOrigins, start).has_value());
}

// Guards against VMs that store origins at some VMs and ask others, because their lists are ordered
// differently or one VM has ended.
Test(stream_origins, vms_agree_on_the_replicas_of_a_stream)
{
    cr_assert(rc::check("keepers", [] {
        const auto id = *rc::gen::arbitrary<StreamId>();
        std::vector<std::string> names = vmNames(*rc::gen::inRange<std::size_t>(3, 60));
        const std::set<std::string> chosen = replicaNames(id, names);
        RC_ASSERT(chosen.size() == 2u);
        std::reverse(names.begin(), names.end());
        RC_ASSERT(replicaNames(id, names) == chosen);
        const std::string gone = *rc::gen::elementOf(names);
        std::erase(names, gone);
        std::set<std::string> after = replicaNames(id, names);
        for (const std::string &replica : chosen)
            RC_ASSERT(replica == gone || after.count(replica) == 1);
    }));
}

Test(stream_origins, streams_are_spread_evenly)
{
    constexpr int streams = 4000;
    const std::vector<std::string> names = vmNames(20);
    std::map<std::string, int> kept;
    for (int stream = 0; stream < streams; ++stream) {
        for (const std::string &replica :
             replicaNames(streamIdOf("attempt-" + std::to_string(stream)), names))
            ++kept[replica];
    }
    for (const std::string &name : names) {
        cr_assert_gt(kept[name], 300);
        cr_assert_lt(kept[name], 500);
    }
}

// Guards against taking one version for the only one while streams of another may be resumed.
Test(software_versions, one_version_is_the_only_one_once_the_others_streams_are_over)
{
    SoftwareVersions versions;
    cr_assert(!onlySoftware(versions, start));
    recordSoftware(versions, "v1", start);
    cr_assert_eq(onlySoftware(versions, start - 8s).value(), "v1");
    recordSoftware(versions, "v2", start + 5s);
    cr_assert(!onlySoftware(versions, start + 5s - 8s));
    recordSoftware(versions, "v2", start + 9s);
    cr_assert_eq(onlySoftware(versions, start + 9s - 8s).value(), "v2",
                 "v1 could take no work for 9 s");
    forgetSoftware(versions, start + 1s);
    cr_assert_eq(versions.seen.size(), 1);
}

// Guards against taking an engine that has just restarted, whose version is not known yet, for one
// of a version without a name.
Test(software_versions, an_unnamed_version_next_to_named_ones_is_ignored)
{
    SoftwareVersions versions;
    recordSoftware(versions, "", start);
    cr_assert_eq(onlySoftware(versions, start).value(), "", "no target states a version");
    cr_assert(!namesVersions(versions));
    SoftwareVersions named;
    recordSoftware(named, "v1", start);
    recordSoftware(named, "", start);
    cr_assert(namesVersions(named));
    cr_assert_eq(onlySoftware(named, start).value(), "v1");
    cr_assert(!isSettled(named, "", start + 1h));
}

// Guards against streams at a version that other VMs do not know of yet, as they would take the old
// one for the only one.
Test(software_versions, a_new_version_settles_before_it_starts_streams)
{
    SoftwareVersions versions;
    cr_assert(isSettled(versions, "v1", start), "nothing is known yet");
    recordSoftware(versions, "v1", start);
    cr_assert(isSettled(versions, "v1", start), "there is no other version");
    cr_assert(!isSettled(versions, "v2", start + 5s), "the version has not been recorded");
    recordSoftware(versions, "v2", start + 5s);
    cr_assert(!isSettled(versions, "v2", start + 5s + softwareSettleTime - 1ms));
    cr_assert(isSettled(versions, "v2", start + 5s + softwareSettleTime));
    cr_assert(isSettled(versions, "v1", start + 6s));
}
