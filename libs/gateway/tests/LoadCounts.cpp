#include "GatewayNode.h"
#include "SharedEngines.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

void listEngine(GatewayNode &node, const std::string &id, int loading, bool holderLive)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = "engines";
    recordListed(node.targetTable, entry);
    EngineRecord record;
    record.holderLive = holderLive;
    record.loading = loading;
    node.shared.engines.set(id, record, node.shared.counter);
}

} // namespace

// Guards against counting loads that are long over because the VM that reported them is cut off or
// gone. The weight store would look busy, every load would be expected to take several times as
// long as it does, and as calls wait for that time, still more loads would be counted.
Test(load_counts, loads_of_engines_without_a_lease_holder_do_not_count)
{
    GatewayNode node{GatewaySettings()};
    listEngine(node, "e1", 3, true);
    listEngine(node, "e2", 4, false);
    cr_assert_eq(loadsUnderWay(node), 3);
}

// Guards against the same for an engine that ended during a load.
Test(load_counts, loads_of_engines_that_are_gone_do_not_count)
{
    GatewayNode node{GatewaySettings()};
    listEngine(node, "e1", 3, true);
    listEngine(node, "e2", 4, true);
    recordRemoved(node.targetTable, "e2", BootClock::now());
    cr_assert_eq(loadsUnderWay(node), 3);
    removeGone(node.targetTable, BootClock::now());
    cr_assert_eq(loadsUnderWay(node), 3);
}
