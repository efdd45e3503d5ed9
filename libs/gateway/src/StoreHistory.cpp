#include "StoreHistory.h"

#include <utility>

#include "observe/Events.h"

namespace monsoonbay {

namespace {

std::size_t countCommanded(const PartitionLease &lease, Instant now)
{
    std::size_t commanded = 0;
    for (const auto &[partition, from] : lease.activeFrom)
        commanded += mayCommand(lease, partition, now) ? 1 : 0;
    return commanded;
}

} // namespace

std::string describeEra(StoreEra era)
{
    return era ? std::to_string(*era) : "no answer";
}

// Calls to the store overlap, so an answer of the era before may arrive after one of the new era.
bool acceptStoreEra(GatewayNode &node, StoreEra era)
{
    if (!era)
        return true;
    const StoreEra before = node.storeEra;
    const bool wasInvalid = std::exchange(node.storeEraInvalid, era < before);
    if (node.storeEraInvalid) {
        if (!wasInvalid)
            logEvent(EventId::StoreEraInvalid,
                     {{"era", describeEra(era)}, {"known", describeEra(before)}});
        return false;
    }
    node.storeEra = era;
    if (before && era > before)
        logEvent(EventId::StoreRestored,
                 {{"era", describeEra(era)},
                  {"before", describeEra(before)},
                  {"partitions", std::to_string(node.lease.activeFrom.size())},
                  {"commanded", std::to_string(countCommanded(node.lease, BootClock::now()))}});
    return true;
}

} // namespace monsoonbay
