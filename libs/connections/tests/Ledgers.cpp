#include <algorithm>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "connections/ConnectionLedger.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kb = 1024;
constexpr ConnectionLimits limits{2048 * kb, 64};

ConnectionLedger emptyLedger()
{
    ConnectionLedger ledger;
    ledger.limits = limits;
    return ledger;
}

Instant at(std::chrono::milliseconds time)
{
    return Instant(time);
}

std::size_t sumOfBytes(const ConnectionLedger &ledger)
{
    std::size_t sum = 0;
    for (const auto &[id, held] : ledger.connections)
        sum += held.bytes;
    return sum;
}

ConnectionId openWith(ConnectionLedger &ledger, ConnectionUse use, std::size_t bytes, Instant now)
{
    const auto id = openConnection(ledger, 16 * kb, now);
    cr_assert(id.has_value());
    cr_assert(useConnection(ledger, *id, use, now));
    cr_assert(holdBytes(ledger, *id, bytes));
    return *id;
}

/** One step of a crowd, by chance. */
void step(ConnectionLedger &ledger, Instant now)
{
    const int what = *rc::gen::inRange(0, 6);
    const auto bytes = *rc::gen::inRange<std::size_t>(0, 600) * kb;
    if (ledger.connections.empty() || what == 0) {
        openConnection(ledger, bytes / 16, now);
        return;
    }
    const auto chosen = *rc::gen::inRange<std::size_t>(0, ledger.connections.size());
    const ConnectionId id =
        std::next(ledger.connections.begin(), static_cast<std::ptrdiff_t>(chosen))->first;
    const bool closing = ledger.connections.at(id).use == ConnectionUse::Closing;
    if (what == 1)
        endConnection(ledger, id);
    if (what == 2)
        holdBytes(ledger, id, bytes);
    if (what == 3 && !closing)
        useConnection(ledger, id, ConnectionUse::Reading, now);
    if (what == 4 && !closing)
        useConnection(ledger, id, ConnectionUse::Serving, now);
    if (what == 5) {
        const NeededRoom needed = roomLacking(ledger, id, bytes, 1);
        for (const ConnectionId other : connectionsToClose(ledger, id, needed, now))
            useConnection(ledger, other, ConnectionUse::Closing, now);
    }
}

} // namespace

// In any order of arrivals, growth and ends the sums pass no limit, and come back to nothing.
Test(ledgers, sums_stay_within_the_limits)
{
    const bool held = rc::check([] {
        ConnectionLedger ledger = emptyLedger();
        const int steps = *rc::gen::inRange(1, 120);
        for (int index = 0; index < steps; ++index) {
            step(ledger, at(std::chrono::milliseconds(index)));
            RC_ASSERT(ledger.bytes == sumOfBytes(ledger));
            RC_ASSERT(ledger.bytes <= ledger.limits.bytes);
            RC_ASSERT(ledger.descriptors <= ledger.limits.descriptors);
        }
        while (!ledger.connections.empty())
            endConnection(ledger, ledger.connections.begin()->first);
        RC_ASSERT(ledger.bytes == 0U);
        RC_ASSERT(ledger.descriptors == 0U);
    });
    cr_assert(held);
}

// A call that is being served may have been sent on: it is never closed for others.
Test(ledgers, no_call_that_is_served_is_closed)
{
    const bool held = rc::check([] {
        ConnectionLedger ledger = emptyLedger();
        for (int index = 0; index < 100; ++index)
            step(ledger, at(std::chrono::milliseconds(index)));
        const NeededRoom needed{*rc::gen::inRange<std::size_t>(1, limits.bytes), 1};
        for (const ConnectionId id : connectionsToClose(ledger, std::nullopt, needed, at(1s))) {
            const ConnectionUse use = ledger.connections.at(id).use;
            RC_ASSERT(use == ConnectionUse::Idle || use == ConnectionUse::Reading);
        }
    });
    cr_assert(held);
}

// Long bodies that stopped keep ordinary small calls out for as long as they like.
Test(ledgers, a_small_call_takes_the_room_of_the_longest_held)
{
    ConnectionLedger ledger = emptyLedger();
    const ConnectionId first = openWith(ledger, ConnectionUse::Reading, 500 * kb, at(0ms));
    for (int index = 0; index < 2; ++index)
        openWith(ledger, ConnectionUse::Reading, 500 * kb, at(100ms));
    while (openConnection(ledger, 16 * kb, at(200ms)))
        continue;
    const NeededRoom needed = roomLacking(ledger, std::nullopt, 16 * kb, 1);
    const auto chosen = connectionsToClose(ledger, std::nullopt, needed, at(300ms));
    cr_assert(!chosen.empty());
    cr_assert_eq(chosen.front(), first);
}

// Where each connection has begun a call, the one that asks for the most goes itself.
Test(ledgers, a_body_that_is_itself_the_longest_held_goes)
{
    ConnectionLedger ledger = emptyLedger();
    const ConnectionId large = openWith(ledger, ConnectionUse::Reading, 1400 * kb, at(0ms));
    const NeededRoom needed = roomLacking(ledger, large, 1900 * kb, 0);
    cr_assert_gt(needed.bytes, 0);
    const auto chosen = connectionsToClose(ledger, large, needed, at(100ms));
    cr_assert_eq(chosen.size(), 1);
    cr_assert_eq(chosen.front(), large);
}

// Large calls that are being served would leave no memory for small ones.
Test(ledgers, large_calls_leave_room_for_small_ones)
{
    ConnectionLedger ledger = emptyLedger();
    for (int index = 0; index < 3; ++index) {
        const ConnectionId id = openWith(ledger, ConnectionUse::Serving, 16 * kb, at(0ms));
        holdBytes(ledger, id, 600 * kb);
    }
    cr_assert_leq(ledger.bytes, limits.bytes - limits.bytes / 4);
    cr_assert(openConnection(ledger, 16 * kb, at(1ms)).has_value());
}

// Idle connections take all descriptors and keep callers out that would send a call.
Test(ledgers, idle_connections_go_before_begun_ones)
{
    ConnectionLedger ledger = emptyLedger();
    const ConnectionId begun = openWith(ledger, ConnectionUse::Reading, 16 * kb, at(0ms));
    std::optional<ConnectionId> idle;
    while (const auto id = openConnection(ledger, 16 * kb, at(10ms)))
        idle = idle ? idle : id;
    const NeededRoom needed = roomLacking(ledger, std::nullopt, 16 * kb, 1);
    const auto chosen = connectionsToClose(ledger, std::nullopt, needed, at(20ms));
    cr_assert(!chosen.empty());
    cr_assert_eq(chosen.front(), *idle);
    cr_assert_eq(std::count(chosen.begin(), chosen.end(), begun), 0);
}

// Callers that may hold all of a VM's memory or descriptors leave nothing for targets and store.
Test(ledgers, limits_follow_the_vm)
{
    const ConnectionLimits small = limitsFor({120 * kb * kb, 3075});
    cr_assert_eq(small.bytes, 60 * kb * kb);
    cr_assert_eq(small.descriptors, 2157);
    cr_assert_gt(limitsFor({32 * kb * kb, 100}).descriptors, 0);
}
