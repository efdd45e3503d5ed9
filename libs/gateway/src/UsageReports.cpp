#include "UsageReports.h"

#include <vector>

#include "LeaseKeeping.h"
#include "PeerCodec.h"
#include "SharedEngines.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** Changes of this long go together; a load takes forty times as long. */
constexpr Duration noteGather = std::chrono::milliseconds(5);
constexpr Duration noteTimeout = std::chrono::milliseconds(400);
/** All own calls are told again this often, for holders that are new and notes that were lost. */
constexpr Duration tellAgain = std::chrono::milliseconds(1000);
/** A VM that has not told for this long has ended, and its calls with it, or is cut off. */
constexpr Duration toldHolds = std::chrono::milliseconds(3500);

v1::EngineRuns runsAt(const GatewayNode &node, const std::string &target)
{
    v1::EngineRuns told;
    told.set_target(target);
    const auto runtime = node.targets.find(target);
    if (runtime == node.targets.end())
        return told;
    for (const auto &[adapter, runs] : runtime->second->ownAdapterRuns) {
        v1::AdapterUse *use = told.add_adapters();
        use->set_adapter(adapter);
        use->set_runs(runs);
    }
    return told;
}

asio::awaitable<void> tellHolder(GatewayNode &node, Endpoint holder, v1::UseNote note)
{
    const auto noted = co_await node.peerLinks.reportUsage(holder, std::move(note), noteTimeout);
    static_cast<void>(noted); // a lost note is made good by the next one
}

void tellHolders(GatewayNode &node)
{
    std::map<Endpoint, v1::UseNote> notes;
    for (const std::string &target : node.runsChanged) {
        const auto scheduler = node.heldEngines.find(target);
        if (scheduler != node.heldEngines.end())
            scheduler->second->changed.notifyAll();
        // Also one that did not answer lately: it may still give slots away.
        const EngineRecord *record = node.shared.engines.find(target);
        if (record == nullptr || !record->holderLive || record->holder == node.settings.peers)
            continue;
        *notes[record->holder].add_engines() = runsAt(node, target);
    }
    node.runsChanged.clear();
    for (auto &[holder, note] : notes) {
        encodeSelf(node, *note.mutable_from());
        note.set_sequence(++node.usageSequence);
        spawn(node, "tell holder", tellHolder(node, holder, std::move(note)));
    }
}

} // namespace

std::map<std::string, int> adapterRuns(const GatewayNode &node, const std::string &target)
{
    std::map<std::string, int> total;
    const auto runtime = node.targets.find(target);
    if (runtime != node.targets.end())
        total = runtime->second->ownAdapterRuns;
    const auto told = node.reportedRuns.find(target);
    if (told == node.reportedRuns.end())
        return total;
    const Instant now = BootClock::now();
    for (const auto &[vm, runs] : told->second) {
        if (now - runs.at > toldHolds)
            continue;
        for (const auto &[adapter, count] : runs.byAdapter)
            total[adapter] += count;
    }
    return total;
}

int busySlots(GatewayNode &node, const std::string &target)
{
    const auto held = node.heldEngines.find(target);
    if (held == node.heldEngines.end() || held->second->scheduler.sequence < 0
        || !mayCommandNow(node, target))
        return 0;
    const Instant now = BootClock::now();
    AdapterScheduler &scheduler = held->second->scheduler;
    updateRuns(scheduler, adapterRuns(node, target), now);
    return scheduler.adapterSlots - idleSlots(scheduler, now);
}

void markRunsChanged(GatewayNode &node, const std::string &target)
{
    node.runsChanged.insert(target);
    node.runsDue.notifyAll();
}

v1::UseNoted applyUsageReport(GatewayNode &node, const v1::UseNote &note)
{
    const Endpoint from = decodeEndpoint(note.from());
    const Instant now = BootClock::now();
    for (const v1::EngineRuns &told : note.engines()) {
        ReportedRuns &runs = node.reportedRuns[told.target()][from];
        // Notes overtake one another; each tells of other engines, so each counts for its own.
        const bool older = runs.boot == note.from().boot() && note.sequence() <= runs.sequence;
        if (older)
            continue;
        runs.boot = note.from().boot();
        runs.sequence = note.sequence();
        runs.at = now;
        runs.byAdapter.clear();
        for (const v1::AdapterUse &use : told.adapters())
            runs.byAdapter[use.adapter()] = use.runs();
        const auto held = node.heldEngines.find(told.target());
        if (held != node.heldEngines.end())
            held->second->changed.notifyAll();
    }
    return {};
}

asio::awaitable<void> usageReportLoop(GatewayNode &node)
{
    Instant allTold{};
    while (!node.stopped) {
        const Instant now = BootClock::now();
        if (now - allTold >= tellAgain) {
            allTold = now;
            for (const auto &[target, runtime] : node.targets) {
                if (!runtime->ownAdapterRuns.empty())
                    node.runsChanged.insert(target);
            }
        }
        if (!node.runsChanged.empty())
            tellHolders(node);
        co_await node.runsDue.wait(tellAgain);
        co_await pauseFor(node, noteGather);
    }
}

} // namespace monsoonbay
