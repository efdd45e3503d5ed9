#include "UsageReports.h"

#include <vector>

#include "LeaseKeeping.h"
#include "PeerCodec.h"
#include "SharedEngines.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/** Changes within this time are reported together; a load takes forty times as long. */
constexpr Duration batchDelay = std::chrono::milliseconds(5);
constexpr Duration reportTimeout = std::chrono::milliseconds(400);
/** All calls are reported again this often, for new lease holders and after lost reports. */
constexpr Duration fullReportInterval = std::chrono::milliseconds(1000);
/** A VM that was silent for this long has ended, and its calls with it, or is cut off. */
constexpr Duration reportValidity = std::chrono::milliseconds(3500);

v1::EngineRuns runsAt(const GatewayNode &node, const std::string &target)
{
    v1::EngineRuns engine;
    engine.set_target(target);
    const auto runtime = node.targets.find(target);
    if (runtime == node.targets.end())
        return engine;
    for (const auto &[adapter, runs] : runtime->second->ownAdapterRuns) {
        v1::AdapterUse *use = engine.add_adapters();
        use->set_adapter(adapter);
        use->set_runs(runs);
    }
    return engine;
}

asio::awaitable<void> sendUsageReport(GatewayNode &node, Endpoint holder, v1::UseNote report)
{
    const auto reply =
        co_await node.peerLinks.reportUsage(holder, std::move(report), reportTimeout);
    static_cast<void>(reply); // the next report makes up for a lost one
}

void sendUsageReports(GatewayNode &node)
{
    std::map<Endpoint, v1::UseNote> reports;
    for (const std::string &target : node.runsChanged) {
        const auto engine = node.heldEngines.find(target);
        if (engine != node.heldEngines.end())
            engine->second->changed.notifyAll();
        // Includes a lease holder that did not answer recently: it may still reuse slots.
        const EngineRecord *record = node.shared.engines.find(target);
        if (record == nullptr || !record->holderLive || record->holder == node.settings.peers)
            continue;
        *reports[record->holder].add_engines() = runsAt(node, target);
    }
    node.runsChanged.clear();
    for (auto &[holder, report] : reports) {
        encodeSelf(node, *report.mutable_from());
        report.set_sequence(++node.usageSequence);
        spawn(node, "report usage to a lease holder",
              sendUsageReport(node, holder, std::move(report)));
    }
}

} // namespace

std::map<std::string, int> adapterRuns(const GatewayNode &node, const std::string &target)
{
    std::map<std::string, int> total;
    const auto runtime = node.targets.find(target);
    if (runtime != node.targets.end())
        total = runtime->second->ownAdapterRuns;
    const auto reported = node.reportedRuns.find(target);
    if (reported == node.reportedRuns.end())
        return total;
    const Instant now = BootClock::now();
    for (const auto &[vm, runs] : reported->second) {
        if (now - runs.at > reportValidity)
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

v1::UseNoted applyUsageReport(GatewayNode &node, const v1::UseNote &report)
{
    const Endpoint from = decodeEndpoint(report.from());
    const Instant now = BootClock::now();
    for (const v1::EngineRuns &engine : report.engines()) {
        ReportedRuns &runs = node.reportedRuns[engine.target()][from];
        // Reports may arrive out of order and cover different engines, so age is checked by engine.
        const bool older = runs.boot == report.from().boot() && report.sequence() <= runs.sequence;
        if (older)
            continue;
        runs.boot = report.from().boot();
        runs.sequence = report.sequence();
        runs.at = now;
        runs.byAdapter.clear();
        for (const v1::AdapterUse &use : engine.adapters())
            runs.byAdapter[use.adapter()] = use.runs();
        const auto held = node.heldEngines.find(engine.target());
        if (held != node.heldEngines.end())
            held->second->changed.notifyAll();
    }
    return {};
}

asio::awaitable<void> usageReportLoop(GatewayNode &node)
{
    Instant allReportedAt{};
    while (!node.stopped) {
        const Instant now = BootClock::now();
        if (now - allReportedAt >= fullReportInterval) {
            allReportedAt = now;
            for (const auto &[target, runtime] : node.targets) {
                if (!runtime->ownAdapterRuns.empty())
                    node.runsChanged.insert(target);
            }
        }
        if (!node.runsChanged.empty())
            sendUsageReports(node);
        co_await node.runsDue.wait(fullReportInterval);
        co_await pauseFor(node, batchDelay);
    }
}

} // namespace monsoonbay
