#include "TargetRestarts.h"

#include "LostCalls.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

// The counts of calls under way stay: each call takes its own off when it ends.
void forgetTarget(TargetRuntime &runtime)
{
    runtime.health = TargetHealth();
    runtime.pausedUntil = Instant{};
    runtime.limit = AdvertisedLimit();
    runtime.leaves = false;
    for (const TargetConnectionPtr &connection : runtime.pool.idle)
        closeConnection(*connection);
    runtime.pool.idle.clear();
    runtime.resident.clear();
    runtime.copies = HostCopies();
    runtime.models.clear();
    runtime.incoming = PendingLoads();
    runtime.loadMark = LoadBackoff();
}

void forgetEngine(GatewayNode &node, const std::string &target, std::int64_t born)
{
    node.reportedRuns.erase(target);
    const auto held = node.desks.find(target);
    if (held != node.desks.end()) {
        resetScheduler(held->second->scheduler, born);
        held->second->retryAt = Instant{};
        held->second->refusals = 0;
        held->second->changed.notifyAll();
    }
    const EngineRecord *known = node.facts.engines.find(target);
    if (known == nullptr)
        return;
    EngineRecord record = *known;
    record.born = born;
    record.resident.clear();
    record.models.clear();
    record.loading = 0;
    node.facts.engines.set(target, std::move(record), node.facts.counter);
}

} // namespace

// Without this, a target that came back under its id would be taken to hold what its former start
// held: calls for those adapters bounce, its holder's orders are refused for the former count, and
// one that said it was leaving would get nothing for ever.
StartOrder recordStartTime(GatewayNode &node, const std::string &target, std::int64_t born)
{
    const auto found = node.book.records.find(target);
    if (found == node.book.records.end())
        return StartOrder::Same;
    TargetRecord &record = found->second;
    const StartOrder age = compareStarts(record.entry.born, born);
    if (age == StartOrder::Same && record.entry.born == 0)
        record.entry.born = born;
    if (age != StartOrder::Newer)
        return age;
    logEvent(EventId::TargetRestarted,
             {{"target", target},
              {"address", record.entry.endpoint.text()},
              {"bornBefore", std::to_string(record.entry.born)},
              {"born", std::to_string(born)}});
    recordEndByList(node, target, born);
    forgetEngine(node.prefixes.book, engineKey(target, record.entry.born));
    record.entry.born = born;
    record.entry.leaving = false;
    record.entry.software.clear(); // it may have come back as another version
    record.entry.models.clear();
    record.entry.adapters.clear();
    record.gone = false;
    record.expiredAt = Instant{};
    node.facts.targets.set(target, {record.entry, false}, node.facts.counter);
    forgetTarget(runtimeOf(node, target));
    forgetEngine(node, target, born);
    node.engineChanged.notifyAll();
    node.reportDue.notifyAll();
    return age;
}

} // namespace monsoonbay
