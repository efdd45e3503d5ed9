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
    TargetEntry made;
    made.id = id;
    made.service = "s";
    return made;
}

/** A book that follows a list with these targets at `start`. */
TargetTable following(const std::vector<std::string> &ids)
{
    TargetTable book;
    recordListRead(book, start);
    for (const std::string &id : ids)
        recordListed(book, entry(id));
    return book;
}

} // namespace

Test(targets, a_removed_target_gets_nothing_at_once)
{
    TargetTable book = following({"a", "b"});
    recordListRead(book, start + 700ms);
    recordRemoved(book, "a", start + 700ms);
    cr_assert(!mayTakeWork(book.records.at("a")));
    cr_assert_eq(dropGone(book, start + 700ms), std::vector<std::string>{"a"});
    cr_assert(mayTakeWork(book.records.at("b")));
}

// Guards against calls to a target that left well after an outage, for as long again as entries may
// be missing after one.
Test(targets, a_removal_is_waited_for_until_the_outage_is_over_for_long_enough)
{
    TargetTable book = following({"left"});
    recordListFailure(book, start + 1s);
    recordListRead(book, start + 5s);
    recordRemoved(book, "left", start + 7s);
    cr_assert(dropGone(book, start + 7s).empty());
    cr_assert_eq(dropGone(book, start + 5s + relistGrace), std::vector<std::string>{"left"});
}

// Guards against calls to a target that has left, by a VM whose relay reads the list late.
Test(targets, a_list_that_nobody_has_read_lately_is_old)
{
    const TargetTable never;
    cr_assert(!isListStale(never, start), "there is none yet");
    TargetTable book = following({"a"});
    cr_assert(!isListStale(book, start + 1s));
    cr_assert(isListStale(book, start + 1200ms));
    recordPeerListRead(book, start + 700ms, Duration::zero(), start + 1200ms);
    cr_assert(!isListStale(book, start + 1200ms));
}

// Symptom: after an outage of the store a service had no targets for two seconds. Sequence: the
// store is away for 5 s; the entries expire meanwhile; it returns and the removals are read before
// the targets could renew their entries. Cause: expiries taken for departures.
Test(targets, entries_that_expired_in_an_outage_are_waited_for)
{
    TargetTable book = following({"back", "dead"});
    const Instant returned = start + 5s;
    recordListFailure(book, start + 700ms);
    recordListFailure(book, start + 4s);
    recordListRead(book, returned);
    recordRemoved(book, "back", returned);
    recordRemoved(book, "dead", returned);
    cr_assert(dropGone(book, returned + 1s).empty());
    cr_assert(mayTakeWork(book.records.at("back")));
    recordListRead(book, returned + 1s);
    recordListed(book, entry("back"));
    recordListRead(book, returned + 2300ms);
    cr_assert_eq(dropGone(book, returned + 2300ms), std::vector<std::string>{"dead"});
    cr_assert_eq(book.records.count("back"), 1);
}

// Symptom: a target that was leaving got work again. Sequence: "leaving" is read, then an older
// entry by a read that lags. Cause: the last entry read was believed.
Test(targets, leaving_is_never_taken_back)
{
    TargetTable book = following({"a"});
    TargetEntry leaving = entry("a");
    leaving.leaving = true;
    recordListed(book, leaving);
    recordListed(book, entry("a"));
    cr_assert(!mayTakeWork(book.records.at("a")));
}

Test(targets, leaving_in_an_outage_is_not_waited_for)
{
    TargetTable book = following({"a"});
    TargetEntry leaving = entry("a");
    leaving.leaving = true;
    recordListed(book, leaving);
    recordListFailure(book, start + 700ms);
    recordListRead(book, start + 5s);
    recordRemoved(book, "a", start + 5s);
    cr_assert_eq(dropGone(book, start + 5s).size(), 1);
}

// Symptom would be a target that gets work for seconds after it left. Sequence: the VM that reads
// the list is killed right after a target has gone; another, which was told of the list so far,
// reads it a while later. Cause: a pause without reads taken for an outage of the store.
Test(targets, a_pause_between_two_readers_is_no_outage)
{
    TargetTable book = following({"a"});
    recordPeerListRead(book, start + 1s, 0ms, start + 1s);
    recordListRead(book, start + 4s);
    recordRemoved(book, "a", start + 4s);
    cr_assert_eq(dropGone(book, start + 4s).size(), 1);
}

// The counterpart: the former reader was failing, and told so.
Test(targets, an_outage_that_a_peer_saw_counts_for_the_next_reader)
{
    TargetTable book = following({"a"});
    recordPeerListRead(book, start, 3s, start + 3s);
    recordListRead(book, start + 4s);
    recordRemoved(book, "a", start + 4s);
    cr_assert(dropGone(book, start + 4s).empty());
}

// Symptom: a zone's engines were taken as gone for seconds, though they ran. Sequence: the store is
// away; its entries expire; a VM of another zone reads the list first when it returns, knows of no
// outage as it was started meanwhile, and tells that the entries are gone. Cause: its word was
// taken like a removal that this VM had read itself, outside of an outage.
Test(targets, a_peers_removal_in_an_outage_is_waited_for)
{
    TargetTable book = following({"a"});
    recordListFailure(book, start + 700ms);
    recordRemoved(book, "a", start + 8s);
    cr_assert(dropGone(book, start + 8s).empty());
    cr_assert(mayTakeWork(book.records.at("a")));
    recordListRead(book, start + 8100ms);
    cr_assert(dropGone(book, start + 9s).empty());
    cr_assert_eq(dropGone(book, start + 10400ms).size(), 1);
}

// Symptom: as above. Sequence: the relay of a zone fails to read; a mate that does not read itself
// tells what it knows. Cause: that mate knew of no failure, and its word ended the outage.
Test(targets, the_word_of_one_that_does_not_read_ends_no_outage)
{
    TargetTable book = following({"a"});
    recordListFailure(book, start + 700ms);
    recordPeerListRead(book, start, 0ms, start + 4s);
    recordListRead(book, start + 5s);
    recordRemoved(book, "a", start + 5s);
    cr_assert(dropGone(book, start + 5s).empty());
}

Test(targets, a_whole_list_removes_what_it_lacks)
{
    TargetTable book = following({"a", "b"});
    recordListRead(book, start + 100ms);
    recordFullList(book, {entry("b"), entry("c")}, {}, start + 100ms);
    cr_assert_eq(dropGone(book, start + 100ms), std::vector<std::string>{"a"});
    cr_assert_eq(book.records.size(), 2);
}

// Symptom would be a target in good health that gets nothing. Sequence: something else writes below
// the key of a target's entry; the whole list is read. Cause: an entry that tells nothing is taken
// for one that was removed.
Test(targets, an_entry_that_cannot_be_read_removes_nothing)
{
    TargetTable book = following({"a", "b"});
    recordListRead(book, start + 100ms);
    recordFullList(book, {entry("b")}, {"a", "stranger"}, start + 100ms);
    cr_assert(dropGone(book, start + 100ms).empty());
    cr_assert(mayTakeWork(book.records.at("a")));
    cr_assert_eq(book.records.count("stranger"), 0);
}

// Symptom: a target that came back got no calls. Sequence: it says it is leaving, ends, and is
// started anew under its id; then an entry of its former start arrives late. Cause: "leaving" held
// for the id, not for the start that said it.
Test(targets, a_new_start_under_the_same_id_is_not_leaving)
{
    TargetTable book = following({});
    TargetEntry former = entry("a");
    former.startTime = 1000;
    former.leaving = true;
    TargetEntry reborn = entry("a");
    reborn.startTime = 5000;
    recordListed(book, former);
    cr_assert(!mayTakeWork(book.records.at("a")));
    recordListed(book, reborn);
    cr_assert(mayTakeWork(book.records.at("a")));
    recordListed(book, former);
    cr_assert(mayTakeWork(book.records.at("a")));
    cr_assert_eq(book.records.at("a").entry.startTime, 5000);
}

Test(targets, words_without_a_start_are_of_the_one_that_is_known)
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

// Errors of its own come from a healthy target too; up to 14 in 100 on the users' sheets.
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

Test(targets, the_own_zone_goes_first_until_it_is_busy)
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

/** What `vms` VMs together tell of a target, each of which has seen these outcomes at `at`. */
TargetUsage seenByAll(int vms, const std::vector<SendOutcome> &outcomes, Instant at, Instant now)
{
    TargetUsage all;
    for (int vm = 0; vm < vms; ++vm) {
        TargetHealth health;
        for (const SendOutcome outcome : outcomes)
            recordOutcome(health, outcome, at);
        TargetUsage use;
        addHealth(use, health, now);
        addUsage(all, use);
    }
    return all;
}

} // namespace

// Symptom: with 70 VMs, 700 calls a second met engines that were gone, each after 250 ms of waiting
// for a connection, for as long as the list still named them. Sequence: a quarter of 60 engines
// crash; each VM sends one of them a call in four seconds. Cause: each VM judged targets by its own
// calls alone, of which it needed two.
Test(targets, what_many_vms_saw_once_each_is_known_to_all)
{
    const TargetUsage gone = seenByAll(3, {SendOutcome::Unreachable}, start, start + 100ms);
    cr_assert(isFailing(gone));
    const TargetUsage once = seenByAll(1, {SendOutcome::Unreachable}, start, start);
    cr_assert(!isFailing(once), "one VM may be cut off itself");
    const TargetUsage later = seenByAll(8, {SendOutcome::Unreachable}, start, start + 2s);
    cr_assert(!isFailing(later), "it is tried anew");
}

Test(targets, a_target_with_errors_of_its_own_is_not_failing)
{
    std::vector<SendOutcome> outcomes(6, SendOutcome::Good);
    outcomes.push_back(SendOutcome::Failed);
    cr_assert(!isFailing(seenByAll(70, outcomes, start, start)));
    const std::vector<SendOutcome> half{SendOutcome::Good, SendOutcome::Failed};
    cr_assert(!isFailing(seenByAll(70, half, start, start)),
              "with less than it does well it is worth more than none");
}
