#include "GatewayNode.h"
#include "PrefillReservation.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

GatewaySettings settingsOfVm()
{
    GatewaySettings settings;
    settings.vm = "vm-1";
    settings.zone = "zone-a";
    settings.peers = {"10.0.0.1", 7380};
    settings.placement.reservePrefill = true;
    return settings;
}

void listEngine(GatewayNode &node, const std::string &id)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.zone = "zone-a";
    recordListed(node.targetTable, entry);
}

void holdAllLeases(GatewayNode &node)
{
    const Instant now = BootClock::now();
    node.lease.until = now + std::chrono::hours(1);
    for (int partition = 0; partition < node.settings.partitions; ++partition) {
        node.lease.activeFrom[partition] = now - std::chrono::seconds(1);
        node.lease.recorded.insert(partition);
    }
}

gateway::v1::PrefillRequest requestFor(const std::string &target, std::uint32_t tokens,
                                       std::uint32_t maxAhead)
{
    gateway::v1::PrefillRequest request;
    request.set_target(target);
    request.set_tokens(tokens);
    request.set_most_ahead(maxAhead);
    return request;
}

} // namespace

// Guards against a count by a VM without the engine's lease: two VMs would each count a part.
Test(prefill_reservations, only_the_lease_holder_of_an_engine_counts)
{
    GatewayNode node(settingsOfVm());
    listEngine(node, "e1");
    cr_assert_not(handlePrefillRequest(node, requestFor("e1", 9000, 0)).holder());
    cr_assert(node.prefill.held.empty());
    holdAllLeases(node);
    cr_assert_not(handlePrefillRequest(node, requestFor("unknown", 9000, 0)).holder());
    cr_assert(node.prefill.held.empty());
}

// Guards against two calls of different VMs that both consider an engine idle.
Test(prefill_reservations, the_second_call_learns_of_the_first)
{
    GatewayNode node(settingsOfVm());
    listEngine(node, "e1");
    holdAllLeases(node);
    const auto first = handlePrefillRequest(node, requestFor("e1", 900000, 0));
    cr_assert(first.holder());
    cr_assert(first.reserved());
    const auto second = handlePrefillRequest(node, requestFor("e1", 9000, 1000));
    cr_assert(second.holder());
    cr_assert_not(second.reserved());
    cr_assert_gt(second.ahead(), 1000);
    const auto counted = reservedPrefillTokens(node, "e1", BootClock::now());
    cr_assert(counted.has_value());
    cr_assert_gt(*counted, 1000);
}

// Guards against calls that ask although updates are fresh: a round trip that tells them nothing.
Test(prefill_reservations, nobody_is_asked_where_updates_are_recent_enough)
{
    GatewayNode node(settingsOfVm());
    Route route;
    route.latencyObjective = std::chrono::seconds(1);
    cr_assert_not(shouldAskLeaseHolders(node, route));
    route.latencyObjective = std::chrono::milliseconds(200);
    cr_assert(shouldAskLeaseHolders(node, route));
}
