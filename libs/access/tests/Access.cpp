#include <map>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "AccessModel.h"
#include "access/Confirmation.h"
#include "access/KeyTable.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = Instant{} + 1000s;

Workspace workspace(const std::string &name, std::vector<std::string> keys)
{
    Workspace made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
}

const std::string *holderOf(const KeyTable &table, const std::string &key)
{
    return workspaceOf(table, digestOfKey(key));
}

/** Workspaces with a few names, among which a few keys are distributed. */
std::vector<Workspace> generateWorkspaces()
{
    std::map<std::string, std::vector<std::string>> byName;
    for (int key = 0; key < 12; ++key) {
        const int holder = *rc::gen::inRange(0, 5);
        if (holder < 4)
            byName["w" + std::to_string(holder)].push_back("key" + std::to_string(key));
    }
    std::vector<Workspace> workspaces;
    for (auto &[name, keys] : byName)
        workspaces.push_back(workspace(name, std::move(keys)));
    return workspaces;
}

} // namespace

Test(access, a_key_belongs_to_its_workspace)
{
    KeyTable table;
    const std::vector<Workspace> first{workspace("a", {"k1", "k2"}), workspace("b", {"k3", ""})};
    cr_assert(updateKeys(table, {}, first) == (KeyChanges{3, 0}));
    cr_assert_eq(*holderOf(table, "k1"), "a");
    cr_assert_eq(*holderOf(table, "k3"), "b");
    cr_assert_null(holderOf(table, "k4"));
    cr_assert_null(holderOf(table, ""), "an empty key belongs to no workspace");
}

// Guards against a key that is still accepted for the workspace from which it was moved.
Test(access, a_key_moved_to_another_workspace_belongs_to_that_one)
{
    KeyTable table;
    const std::vector<Workspace> first{workspace("a", {"k1", "k2"}), workspace("b", {})};
    const std::vector<Workspace> second{workspace("a", {"k2"}), workspace("b", {"k1"})};
    updateKeys(table, {}, first);
    updateKeys(table, first, second);
    cr_assert_eq(*holderOf(table, "k1"), "b");
    updateKeys(table, second, {workspace("b", {"k1"})});
    cr_assert_null(holderOf(table, "k2"), "its workspace was removed");
}

// After any sequence of changes, the table holds exactly what the last configuration says.
Test(access, updates_lead_to_the_same_table_as_a_rebuild)
{
    cr_assert(rc::check("changes", [] {
        KeyTable table;
        std::vector<Workspace> before;
        for (int change = 0; change < 6; ++change) {
            std::vector<Workspace> after = generateWorkspaces();
            updateKeys(table, before, after);
            before = std::move(after);
        }
        KeyTable rebuilt;
        updateKeys(rebuilt, {}, before);
        RC_ASSERT(table.workspaceByKey.size() == rebuilt.workspaceByKey.size());
        for (int key = 0; key < 12; ++key) {
            const std::string name = "key" + std::to_string(key);
            const std::string *holder = holderOf(table, name);
            const std::string *expected = holderOf(rebuilt, name);
            const std::string none;
            RC_ASSERT((holder != nullptr ? *holder : none)
                      == (expected != nullptr ? *expected : none));
        }
    }));
}

Test(access, a_logged_text_does_not_reveal_the_key)
{
    const std::string text = shortText(digestOfKey("asnmgkcuyj8pjbvk9m68"));
    cr_assert_eq(text.size(), 8);
    cr_assert_neq(text, shortText(digestOfKey("asnmgkcuyj8pjbvk9m69")));
}

Test(access, an_answer_confirms_no_later_than_it_was_asked_for)
{
    const Confirmation heard = confirmationFromAnswer(7, 300ms, start);
    cr_assert(heard.at == start - 300ms);
    cr_assert(confirmationFromAnswer(7, -5s, start).at == start, "an age is never negative");
}

// Guards against an outdated message that moves a confirmation back in time.
Test(access, the_latest_confirmation_of_a_version_counts)
{
    Confirmations confirmations;
    recordConfirmation(confirmations, {7, start});
    recordConfirmation(confirmations, {7, start - 1s});
    cr_assert(confirmedAt(confirmations, 7) == start);
    cr_assert(!confirmedAt(confirmations, 8));
    for (std::int64_t version = 8; version < 100; ++version)
        recordConfirmation(confirmations, {version, start});
    cr_assert(!confirmedAt(confirmations, 7), "old versions are dropped");
    cr_assert(confirmedAt(confirmations, 99) == start);
    cr_assert_leq(confirmations.latest.size(), 8);
}

// Guards against keys accepted by a VM that cannot know that they were revoked.
Test(access, keys_are_trusted_for_as_long_as_the_bound_allows)
{
    const AccessPolicy strict{true, 5s};
    cr_assert(mayAcceptKeys(strict, start, start + 3900ms));
    cr_assert(!mayAcceptKeys(strict, start, start + 4100ms));
    cr_assert(!mayAcceptKeys(strict, std::nullopt, start));
    cr_assert(mayAcceptKeys({false, 5s}, std::nullopt, start),
              "a partitioned zone continues to serve");
}

Test(access, no_schedule_honours_a_key_after_the_bound)
{
    const Exploration found = exploreAccess(8, AccessFault::None);
    cr_assert(!found.broken);
    cr_assert_gt(found.states, 3000000, "states: %lu", found.states);
}

Test(access, the_exploration_finds_each_injected_fault)
{
    for (const AccessFault fault : {AccessFault::CountsFromAnswer, AccessFault::ForgetsOwnWait,
                                    AccessFault::IgnoresVersion, AccessFault::ClockStops})
        cr_expect(exploreAccess(8, fault).broken, "fault %d", static_cast<int>(fault));
}
