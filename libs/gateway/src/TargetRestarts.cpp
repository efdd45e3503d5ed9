#include "TargetRestarts.h"

#include "LostCalls.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

// Keeps the counts of calls in flight: each call subtracts itself when it ends.
void forgetTarget(TargetRuntime &runtime)
{
    runtime.health = TargetHealth();
    runtime.pausedUntil = Instant{};
    runtime.limit = AdvertisedLimit();
    runtime.leaving = false;
    runtime.lost.heardAt = Instant{};
    for (const TargetConnectionPtr &connection : runtime.pool.idle)
        closeConnection(*connection);
    runtime.pool.idle.clear();
    runtime.resident.clear();
    runtime.copies = HostCopies();
    runtime.models.clear();
    runtime.incoming = PendingLoads();
    runtime.loadBackoff = LoadBackoff();
}

void forgetEngine(GatewayNode &node, const std::string &target, std::int64_t startTime)
{
    node.reportedRuns.erase(target);
    const auto held = node.heldEngines.find(target);
    if (held != node.heldEngines.end()) {
        resetScheduler(held->second->scheduler, startTime);
        held->second->retryAt = Instant{};
        held->second->refusals = 0;
        held->second->changed.notifyAll();
    }
    const EngineRecord *known = node.shared.engines.find(target);
    if (known == nullptr)
        return;
    EngineRecord record = *known;
    record.startTime = startTime;
    record.resident.clear();
    record.models.clear();
    record.loading = 0;
    node.shared.engines.set(target, std::move(record), node.shared.counter);
}

} // namespace

// Without this, a target that restarted under the same id would be believed to hold what it held
// before: calls for those adapters would be refused there, commands of its lease holder would be
// refused because of the old sequence, and a target that had announced its shutdown would never get
// work again.
StartOrder recordStartTime(GatewayNode &node, const std::string &target, std::int64_t startTime)
{
    const auto found = node.targetTable.records.find(target);
    if (found == node.targetTable.records.end())
        return StartOrder::Same;
    TargetRecord &record = found->second;
    const StartOrder age = compareStarts(record.entry.startTime, startTime);
    if (age == StartOrder::Same && record.entry.startTime == 0)
        record.entry.startTime = startTime;
    if (age != StartOrder::Newer)
        return age;
    logEvent(EventId::TargetRestarted,
             {{"target", target},
              {"address", record.entry.endpoint.text()},
              {"bornBefore", std::to_string(record.entry.startTime)},
              {"born", std::to_string(startTime)}});
    recordEndByList(node, target, startTime);
    forgetEngine(node.prefixes.table, engineKey(target, record.entry.startTime));
    record.entry.startTime = startTime;
    record.entry.leaving = false;
    record.entry.software.clear(); // it may have restarted with another version
    record.entry.models.clear();
    record.entry.adapters.clear();
    record.removed = false;
    record.expiredAt = Instant{};
    node.shared.targets.set(target, {record.entry, false}, node.shared.counter);
    forgetTarget(runtimeOf(node, target));
    forgetEngine(node, target, startTime);
    node.engineChanged.notifyAll();
    node.reportDue.notifyAll();
    return age;
}

} // namespace monsoonbay
