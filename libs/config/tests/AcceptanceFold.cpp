// Compares acceptance with a naive evaluation of the whole log, and tests its invariants.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "config/Acceptance.h"

using namespace monsoonbay;

namespace {

using Json = nlohmann::json;

/** State of the naive reference implementation: a set of names and the simplest rules. */
struct NaiveState
{
    std::set<std::string> adapters;
    std::uint64_t offset = 0;
    std::string lastBody;
};

/** A randomly generated publication of an operator. */
struct Draft
{
    bool delta = false;
    bool fromInForce = true; ///< based on the manifest in force, or on an older one
    bool acknowledge = false;
    bool again = false; ///< repeats the last body
    std::vector<int> names;
};

std::string nameOf(int index)
{
    return "a" + std::to_string(index) + "@1";
}

std::string contentOf(const Draft &draft, const std::set<std::string> &held)
{
    Json content;
    Json list = Json::array();
    for (const int index : draft.names) {
        const Json entry{
            {"name", "a" + std::to_string(index)}, {"version", "1"}, {"baseModel", "m"}};
        if (std::find(list.begin(), list.end(), entry) == list.end())
            list.push_back(entry);
    }
    if (!draft.delta)
        return Json{{"format", 1}, {"baseModels", {"m"}}, {"adapters", list}}.dump();
    content["putAdapters"] = list;
    content["removeAdapters"] = Json::array();
    // Removes every second adapter, unless the delta puts it.
    bool take = false;
    for (const std::string &name : held) {
        take = !take;
        const bool put = std::any_of(draft.names.begin(), draft.names.end(),
                                     [&](int index) { return nameOf(index) == name; });
        if (take && !put)
            content["removeAdapters"].push_back(name);
    }
    return content.dump();
}

RecordVerdict evaluateNaively(NaiveState &state, const ManifestRecord &record)
{
    const Json body = Json::parse(record.body);
    const std::uint64_t base = body["base"]["offset"];
    if (base != state.offset)
        return record.body == state.lastBody ? RecordVerdict::Duplicate : RecordVerdict::Conflict;
    std::set<std::string> next;
    std::size_t dropped = 0;
    if (body["kind"] == "manifest") {
        for (const Json &adapter : body["content"]["adapters"])
            next.insert(adapter["name"].get<std::string>() + "@1");
        for (const std::string &name : state.adapters)
            dropped += next.contains(name) ? 0 : 1;
    } else {
        if (state.offset == 0)
            return RecordVerdict::Invalid;
        next = state.adapters;
        for (const Json &name : body["content"]["removeAdapters"]) {
            if (next.erase(name) == 0)
                return RecordVerdict::Invalid;
        }
        dropped = body["content"]["removeAdapters"].size();
        for (const Json &adapter : body["content"]["putAdapters"])
            next.insert(adapter["name"].get<std::string>() + "@1");
    }
    const bool acknowledged = !body["acknowledge"].empty();
    if (dropped > 0.2 * static_cast<double>(state.adapters.size()) && !acknowledged)
        return RecordVerdict::Dangerous;
    state.adapters = next;
    state.offset = record.offset;
    state.lastBody = record.body;
    return RecordVerdict::Accepted;
}

std::vector<Draft> drawDrafts()
{
    const auto drawn =
        *rc::gen::container<std::vector<std::tuple<bool, int, bool, int, std::vector<int>>>>(
            rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 5),
                           rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 6),
                           rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30))));
    std::vector<Draft> drafts;
    for (const auto &[delta, base, acknowledge, again, names] : drawn)
        drafts.push_back(Draft{delta, base != 0, acknowledge, again == 0, names});
    return drafts;
}

/** The log of the drafts, each published against the state in force then. */
std::vector<ManifestRecord> makeLog(const std::vector<Draft> &drafts)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    NaiveState naive;
    std::vector<ManifestRecord> log;
    std::vector<ManifestMark> marks{ManifestMark{}};
    std::uint64_t offset = 0;
    for (const Draft &draft : drafts) {
        offset += 1 + draft.names.size() % 3;
        const ManifestMark base = draft.fromInForce ? state.mark : marks[offset % marks.size()];
        const std::vector<std::string> acknowledge = draft.acknowledge
            ? std::vector<std::string>{"drops-adapters"}
            : std::vector<std::string>{};
        std::string body = writePublication(draft.delta ? "delta" : "manifest", base, acknowledge,
                                            contentOf(draft, naive.adapters));
        if (draft.again && !log.empty())
            body = log.back().body;
        log.push_back(ManifestRecord{offset, body});
        judge(state, log.back());
        evaluateNaively(naive, log.back());
        marks.push_back(state.mark);
    }
    return log;
}

AcceptedManifest foldAll(const std::vector<ManifestRecord> &log)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    for (const ManifestRecord &record : log)
        judge(state, record);
    return state;
}

std::string firstManifest(int count)
{
    Draft draft;
    for (int index = 0; index < count; ++index)
        draft.names.push_back(index);
    return contentOf(draft, {});
}

} // namespace

Test(acceptance, agrees_with_the_naive_evaluation)
{
    cr_assert(rc::check("naive fold", [] {
        const std::vector<ManifestRecord> log = makeLog(drawDrafts());
        AcceptedManifest state;
        recordLogStart(state, 1);
        NaiveState naive;
        for (const ManifestRecord &record : log) {
            const std::uint64_t before = state.mark.offset;
            RC_ASSERT(judge(state, record).verdict == evaluateNaively(naive, record));
            RC_ASSERT(state.mark.offset == naive.offset);
            RC_ASSERT(state.mark.offset >= before);
            RC_ASSERT(state.manifest.adapters.size() == naive.adapters.size());
            for (const std::string &name : naive.adapters)
                RC_ASSERT(state.manifest.adapters.find(AdapterId::of(name)) != nullptr);
        }
    }));
}

// Guards against a new VM that serves an older configuration. Retention had removed the start of
// the log, so the VM began from a snapshot or a peer's state in the middle of it. It has to end in
// the same state as a VM that read the whole log.
Test(acceptance, a_vm_that_starts_from_any_snapshot_ends_like_all_others)
{
    cr_assert(rc::check("snapshot anywhere", [] {
        const std::vector<ManifestRecord> log = makeLog(drawDrafts());
        const std::size_t cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
        const AcceptedManifest whole = foldAll(log);
        const AcceptedManifest early(foldAll(std::vector<ManifestRecord>(
            log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut))));
        AcceptedManifest late;
        RC_ASSERT(adoptSnapshot(late, writeSnapshot(early)));
        for (const ManifestRecord &record : log)
            judge(late, record);
        RC_ASSERT(late.mark == whole.mark);
        RC_ASSERT(late.manifest.digest() == whole.manifest.digest());
        RC_ASSERT(late.readThrough == whole.readThrough);
    }));
}

Test(acceptance, old_records_never_move_it_back)
{
    cr_assert(rc::check("old snapshots and records", [] {
        const std::vector<ManifestRecord> log = makeLog(drawDrafts());
        AcceptedManifest state;
        recordLogStart(state, 1);
        std::vector<std::string> snapshots;
        for (const ManifestRecord &record : log) {
            judge(state, record);
            snapshots.push_back(writeSnapshot(state));
        }
        const ManifestMark mark = state.mark;
        for (const std::string &snapshot : snapshots)
            adoptSnapshot(state, snapshot);
        for (const ManifestRecord &record : log)
            RC_ASSERT(judge(state, record).verdict == RecordVerdict::Old);
        RC_ASSERT(state.mark == mark);
    }));
}

// Guards against a replaced configuration that comes back in force. B replaces A, and A' with the
// contents of A replaces B. Then the pipeline, which lost the answer to B, appends B again. If a
// base were identified by its contents alone, A' would match it as well as A.
Test(acceptance, a_lost_append_sent_again_after_a_return_to_the_old_contents_is_not_accepted)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    const std::string contentA = firstManifest(10);
    const std::string contentB = firstManifest(11);
    judge(state, {1, writePublication("manifest", {}, {}, contentA)});
    const ManifestMark markA = state.mark;
    const std::string bodyB = writePublication("manifest", markA, {}, contentB);
    judge(state, {2, bodyB});
    judge(state, {3, writePublication("manifest", state.mark, {}, contentA)});
    cr_assert_eq(state.mark.digest, markA.digest);
    cr_assert(judge(state, {4, bodyB}).verdict == RecordVerdict::Conflict);
    cr_assert_eq(state.mark.offset, 3);
}

Test(acceptance, a_blind_retry_is_accepted_once)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    const std::string body = writePublication("manifest", {}, {}, firstManifest(3));
    cr_assert(judge(state, {1, body}).verdict == RecordVerdict::Accepted);
    cr_assert(judge(state, {2, body}).verdict == RecordVerdict::Duplicate);
    cr_assert_eq(state.mark.offset, 1);
}

// Guards against merging the manifests of two operators who started from the same base, minutes
// apart: the base of the second one has to be checked.
Test(acceptance, the_second_of_two_racing_operators_gets_a_conflict)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    judge(state, {1, writePublication("manifest", {}, {}, firstManifest(5))});
    const ManifestMark base = state.mark;
    judge(state, {2, writePublication("manifest", base, {}, firstManifest(6))});
    const JudgedRecord second =
        judge(state, {3, writePublication("manifest", base, {}, firstManifest(7))});
    cr_assert(second.verdict == RecordVerdict::Conflict);
    cr_assert_eq(second.problems.size(), 1);
    cr_assert_eq(state.manifest.adapters.size(), 6);
}

// Guards against a VM that applies a delta to the wrong state, because retention has removed
// records that it had not read yet and it continues after the gap.
Test(acceptance, over_a_gap_nothing_is_evaluated_before_a_snapshot)
{
    AcceptedManifest whole;
    recordLogStart(whole, 1);
    judge(whole, {1, writePublication("manifest", {}, {}, firstManifest(5))});
    AcceptedManifest gapped;
    recordLogStart(gapped, 40);
    const std::string delta =
        R"({"putAdapters": [{"name": "x", "version": "1", "baseModel": "m"}]})";
    const ManifestRecord record{41, writePublication("delta", whole.mark, {}, delta)};
    cr_assert(judge(gapped, record).verdict == RecordVerdict::NoBase);
    cr_assert_eq(gapped.mark.offset, 0);
    cr_assert(adoptSnapshot(gapped, writeSnapshot(whole)));
    cr_assert(judge(gapped, record).verdict == RecordVerdict::Accepted);
    cr_assert_eq(gapped.manifest.adapters.size(), 6);
}

// Guards against a snapshot that no new VM can start from: an empty delta was the very first record
// of the log, and was accepted because an empty state counted as a base.
Test(acceptance, a_delta_before_any_manifest_is_invalid)
{
    AcceptedManifest state;
    recordLogStart(state, 1);
    const JudgedRecord judged = judge(state, {1, writePublication("delta", {}, {}, "{}")});
    cr_assert(judged.verdict == RecordVerdict::Invalid);
    cr_assert_eq(state.mark.offset, 0);
}

Test(acceptance, a_damaged_snapshot_is_not_adopted)
{
    AcceptedManifest whole;
    recordLogStart(whole, 1);
    judge(whole, {1, writePublication("manifest", {}, {}, firstManifest(5))});
    std::string snapshot = writeSnapshot(whole);
    const std::size_t at = snapshot.find("\"a3\"");
    snapshot.replace(at, 4, "\"a7\"");
    AcceptedManifest other;
    cr_assert_not(adoptSnapshot(other, snapshot));
    cr_assert_not(adoptSnapshot(other, "{}"));
    cr_assert_not(adoptSnapshot(other, "nonsense"));
    cr_assert_eq(other.mark.offset, 0);
}
