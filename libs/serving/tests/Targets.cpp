#include <algorithm>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/PlainTargetChoice.h"
#include "serving/TargetHealth.h"
#include "serving/TargetTable.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

TargetEntry entry(const std::string &id)
{
    TargetEntry result;
    result.id = id;
    result.service = "s";
    return result;
}

/** A table that follows a list with these targets at `start`. */
TargetTable following(const std::vector<std::string> &ids)
{
    TargetTable table;
    recordListRead(table, start);
    for (const std::string &id : ids)
        recordListed(table, entry(id));
    return table;
}

} // namespace

Test(targets, a_removed_target_gets_no_work_at_once)
{
    TargetTable table = following({"a", "b"});
    recordListRead(table, start + 700ms);
    recordRemoved(table, "a", start + 700ms);
    cr_assert(!mayTakeWork(table.records.at("a")));
    cr_assert_eq(removeGone(table, start + 700ms), std::vector<std::string>{"a"});
    cr_assert(mayTakeWork(table.records.at("b")));
}

// Guards against calls to a target that left well after an outage: its removal must not be delayed
// for another full grace time.
Test(targets, a_removal_is_delayed_only_until_the_grace_time_after_an_outage)
{
    TargetTable table = following({"left"});
    recordListFailure(table, start + 1s);
    recordListRead(table, start + 5s);
    recordRemoved(table, "left", start + 7s);
    cr_assert(removeGone(table, start + 7s).empty());
    cr_assert_eq(removeGone(table, start + 5s + relistGrace), std::vector<std::string>{"left"});
}

// Guards against calls to a target that has left, by a VM whose relay reads the list late.
Test(targets, a_list_that_was_not_read_lately_is_stale)
{
    const TargetTable never;
    cr_assert(!isListStale(never, start), "no list was read yet");
    TargetTable table = following({"a"});
    cr_assert(!isListStale(table, start + 1s));
    cr_assert(isListStale(table, start + 1200ms));
    recordPeerListRead(table, start + 700ms, Duration::zero(), start + 1200ms);
    cr_assert(!isListStale(table, start + 1200ms));
}

// Guards against a service without targets after an outage of the store (seen for two seconds):
// entries expire during 5 s without the store, and the removals are read before the targets can
// renew their entries.
Test(targets, entries_that_expired_in_an_outage_are_kept_for_the_grace_time)
{
    TargetTable table = following({"back", "dead"});
    const Instant returned = start + 5s;
    recordListFailure(table, start + 700ms);
    recordListFailure(table, start + 4s);
    recordListRead(table, returned);
    recordRemoved(table, "back", returned);
    recordRemoved(table, "dead", returned);
    cr_assert(removeGone(table, returned + 1s).empty());
    cr_assert(mayTakeWork(table.records.at("back")));
    recordListRead(table, returned + 1s);
    recordListed(table, entry("back"));
    recordListRead(table, returned + 2300ms);
    cr_assert_eq(removeGone(table, returned + 2300ms), std::vector<std::string>{"dead"});
    cr_assert_eq(table.records.count("back"), 1);
}

// Guards against new work for a leaving target: "leaving" is read, then an outdated entry from a
// slow read.
Test(targets, leaving_is_never_reverted)
{
    TargetTable table = following({"a"});
    TargetEntry leaving = entry("a");
    leaving.leaving = true;
    recordListed(table, leaving);
    recordListed(table, entry("a"));
    cr_assert(!mayTakeWork(table.records.at("a")));
}

Test(targets, leaving_targets_are_removed_at_once_after_an_outage)
{
    TargetTable table = following({"a"});
    TargetEntry leaving = entry("a");
    leaving.leaving = true;
    recordListed(table, leaving);
    recordListFailure(table, start + 700ms);
    recordListRead(table, start + 5s);
    recordRemoved(table, "a", start + 5s);
    cr_assert_eq(removeGone(table, start + 5s).size(), 1);
}

// Guards against work for a target that left seconds ago: the VM that reads the list is killed
// right after the target has gone, and another one, which received the list until then, reads it a
// while later. That pause without reads is not an outage of the store.
Test(targets, a_pause_between_two_readers_is_no_outage)
{
    TargetTable table = following({"a"});
    recordPeerListRead(table, start + 1s, 0ms, start + 1s);
    recordListRead(table, start + 4s);
    recordRemoved(table, "a", start + 4s);
    cr_assert_eq(removeGone(table, start + 4s).size(), 1);
}

// The counterpart: the former reader had failed reads and reported them.
Test(targets, an_outage_that_a_peer_saw_counts_for_the_next_reader)
{
    TargetTable table = following({"a"});
    recordPeerListRead(table, start, 3s, start + 3s);
    recordListRead(table, start + 4s);
    recordRemoved(table, "a", start + 4s);
    cr_assert(removeGone(table, start + 4s).empty());
}

// Guards against treating running engines as gone for seconds: entries expire while the store is
// unreachable; a VM of another zone, started meanwhile and so unaware of the outage, is the first
// to read the list again and reports them removed. Such a removal must be delayed like one that
// this VM reads after an outage.
Test(targets, a_removal_reported_by_a_peer_in_an_outage_is_delayed)
{
    TargetTable table = following({"a"});
    recordListFailure(table, start + 700ms);
    recordRemoved(table, "a", start + 8s);
    cr_assert(removeGone(table, start + 8s).empty());
    cr_assert(mayTakeWork(table.records.at("a")));
    recordListRead(table, start + 8100ms);
    cr_assert(removeGone(table, start + 9s).empty());
    cr_assert_eq(removeGone(table, start + 10400ms).size(), 1);
}

// As above, but a zone peer that does not read the list itself reports its state while the relay's
// reads fail. It knows of no failure, and its report must not end the outage.
Test(targets, a_report_of_a_peer_that_does_not_read_ends_no_outage)
{
    TargetTable table = following({"a"});
    recordListFailure(table, start + 700ms);
    recordPeerListRead(table, start, 0ms, start + 4s);
    recordListRead(table, start + 5s);
    recordRemoved(table, "a", start + 5s);
    cr_assert(removeGone(table, start + 5s).empty());
}

Test(targets, a_whole_list_removes_what_it_lacks)
{
    TargetTable table = following({"a", "b"});
    recordListRead(table, start + 100ms);
    recordFullList(table, {entry("b"), entry("c")}, {}, start + 100ms);
    cr_assert_eq(removeGone(table, start + 100ms), std::vector<std::string>{"a"});
    cr_assert_eq(table.records.size(), 2);
}

// Guards against dropping a healthy target when something else is stored below the key of its
// entry: an entry that cannot be parsed in a complete list is not a removal.
Test(targets, an_invalid_entry_removes_nothing)
{
    TargetTable table = following({"a", "b"});
    recordListRead(table, start + 100ms);
    recordFullList(table, {entry("b")}, {"a", "stranger"}, start + 100ms);
    cr_assert(removeGone(table, start + 100ms).empty());
    cr_assert(mayTakeWork(table.records.at("a")));
    cr_assert_eq(table.records.count("stranger"), 0);
}

// Guards against a restarted target that gets no calls: it announces that it is leaving, ends and
// restarts under the same id, then an entry of its former start arrives late. "Leaving" belongs to
// one start, not to the id.
Test(targets, a_new_start_under_the_same_id_is_not_leaving)
{
    TargetTable table = following({});
    TargetEntry former = entry("a");
    former.startTime = 1000;
    former.leaving = true;
    TargetEntry restarted = entry("a");
    restarted.startTime = 5000;
    recordListed(table, former);
    cr_assert(!mayTakeWork(table.records.at("a")));
    recordListed(table, restarted);
    cr_assert(mayTakeWork(table.records.at("a")));
    recordListed(table, former);
    cr_assert(mayTakeWork(table.records.at("a")));
    cr_assert_eq(table.records.at("a").entry.startTime, 5000);
}

Test(targets, information_without_a_start_time_belongs_to_the_known_start)
{
    cr_assert(compareStarts(0, 5) == StartOrder::Same);
    cr_assert(compareStarts(5, 0) == StartOrder::Same);
    cr_assert(compareStarts(5, 5) == StartOrder::Same);
    cr_assert(compareStarts(5, 6) == StartOrder::Newer);
    cr_assert(compareStarts(5, 4) == StartOrder::Older);
}

Test(targets, a_target_that_cannot_be_reached_is_ejected_and_tried_again)
{
    TargetHealth health;
    cr_assert(!recordOutcome(health, SendOutcome::Unreachable, start));
    cr_assert(recordOutcome(health, SendOutcome::Unreachable, start + 10ms));
    cr_assert(isEjected(health, start + 500ms));
    cr_assert(!isEjected(health, start + 1100ms));
    cr_assert(!recordOutcome(health, SendOutcome::Good, start + 1200ms));
    cr_assert(!isEjected(health, start + 1300ms));
}

// Healthy targets return errors too, up to 14 in 100 in the users' traces.
Test(targets, some_errors_do_not_eject)
{
    TargetHealth health;
    Instant now = start;
    for (int call = 0; call < 500; ++call) {
        now += 100ms;
        const SendOutcome outcome = call % 5 == 0 ? SendOutcome::Failed : SendOutcome::Good;
        recordOutcome(health, outcome, now);
        cr_assert(!isEjected(health, now));
    }
}

Test(targets, the_own_zone_is_preferred_until_it_is_busy)
{
    std::vector<PlainTargetView> views{{"near", "z1", 6, 0, true}, {"far", "z2", 6, 0, true}};
    cr_assert_eq(choosePlainTarget(views, "z1", {}, 1), 0);
    views[0].runs = 3;
    cr_assert_eq(choosePlainTarget(views, "z1", {}, 0), 1);
    views[1].usable = false;
    cr_assert_eq(choosePlainTarget(views, "z1", {}, 0), 0);
    cr_assert(!choosePlainTarget(views, "z1", {"near"}, 0));
}

namespace {

/** Combined usage record of a target over `vms` VMs that each saw these outcomes at `at`. */
TargetUsage seenByAll(int vms, const std::vector<SendOutcome> &outcomes, Instant at, Instant now)
{
    TargetUsage all;
    for (int vm = 0; vm < vms; ++vm) {
        TargetHealth health;
        for (const SendOutcome outcome : outcomes)
            recordOutcome(health, outcome, at);
        TargetUsage usage;
        addHealth(usage, health, now);
        addUsage(all, usage);
    }
    return all;
}

} // namespace

// Guards against each VM judging targets only by its own calls. With 70 VMs and a quarter of 60
// engines crashed, each VM sends one of these a call in four seconds and needed two failures; 700
// calls a second waited 250 ms in vain for a connection for as long as the list named the engines.
Test(targets, failures_of_many_vms_are_combined)
{
    const TargetUsage gone = seenByAll(3, {SendOutcome::Unreachable}, start, start + 100ms);
    cr_assert(isFailing(gone));
    const TargetUsage once = seenByAll(1, {SendOutcome::Unreachable}, start, start);
    cr_assert(!isFailing(once), "one VM may itself be partitioned");
    const TargetUsage later = seenByAll(8, {SendOutcome::Unreachable}, start, start + 2s);
    cr_assert(!isFailing(later), "the target is tried again");
}

Test(targets, a_target_that_returns_some_errors_is_not_failing)
{
    std::vector<SendOutcome> outcomes(6, SendOutcome::Good);
    outcomes.push_back(SendOutcome::Failed);
    cr_assert(!isFailing(seenByAll(70, outcomes, start, start)));
    const std::vector<SendOutcome> half{SendOutcome::Good, SendOutcome::Failed};
    cr_assert(!isFailing(seenByAll(70, half, start, start)),
              "failures do not outweigh the good answers");
}
