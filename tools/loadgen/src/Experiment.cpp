#include "loadgen/Experiment.h"

#include <algorithm>
#include <future>
#include <iomanip>
#include <sstream>

namespace monsoonbay::loadgen {

namespace {

VirtualOptions baseOptions(const std::string &deployment)
{
    VirtualOptions options;
    if (deployment == "finland") {
        options.engines = 12;
        options.zones = 3;
        options.loadsPerSecond = 3;
        options.requestsPerSecond = 5;
        options.stallWeight = 0.2;
        options.batchWeight = 0.8;
    }
    return options;
}

VirtualOptions steady(const std::string &deployment)
{
    return baseOptions(deployment);
}

VirtualOptions shift(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.events = {{5400, VirtualEventKind::Shift, 0}};
    return options;
}

VirtualOptions flash(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.events = {{5400, VirtualEventKind::Flash, 3}, {5700, VirtualEventKind::FlashEnds, 0}};
    return options;
}

VirtualOptions restart(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.events = {{5400, VirtualEventKind::RestartZone, 0}};
    return options;
}

VirtualOptions storeDown(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.deadlineSeconds = 30;
    options.events = {{5400, VirtualEventKind::StoreDown, 60}};
    return options;
}

VirtualOptions failing(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.loadFailureShare = 0.1;
    return options;
}

VirtualOptions overload(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.requestsPerSecond = 3 * options.loadsPerSecond;
    options.deadlineSeconds = 20;
    return options;
}

VirtualOptions halfLoad(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.requestsPerSecond = 1.5 * options.loadsPerSecond;
    options.deadlineSeconds = 20;
    return options;
}

VirtualOptions idleStore(const std::string &deployment)
{
    VirtualOptions options = baseOptions(deployment);
    options.requestsPerSecond /= 3;
    return options;
}

struct PolicyResult
{
    std::string policy;
    VirtualSummary summary; ///< means over the seeds
    double batchEfficiency = 0;
    double loads = 0;
    double prefetches = 0;
    double storeBusyShare = 0;
    double shiftsSeen = 0;
    int mostLoadsAtOnce = 0;
    std::uint64_t violations = 0;
};

void add(PolicyResult &sum, const VirtualReport &report, const VirtualSummary &summary,
         double share)
{
    sum.summary.requests += summary.requests;
    sum.summary.totalStall += summary.totalStall;
    sum.summary.meanStall += summary.meanStall * share;
    sum.summary.p50 += summary.p50 * share;
    sum.summary.p95 += summary.p95 * share;
    sum.summary.p99 += summary.p99 * share;
    sum.summary.stalledShare += summary.stalledShare * share;
    sum.summary.refused += summary.refused;
    sum.summary.late += summary.late;
    sum.summary.refusedSoonShare = std::min(sum.summary.refusedSoonShare, summary.refusedSoonShare);
    sum.batchEfficiency += report.batchEfficiency * share;
    sum.loads += static_cast<double>(report.loads) * share;
    sum.prefetches += static_cast<double>(report.prefetches) * share;
    sum.storeBusyShare += report.storeBusyShare * share;
    sum.shiftsSeen += static_cast<double>(report.shiftsSeen) * share;
    sum.mostLoadsAtOnce = std::max(sum.mostLoadsAtOnce, report.mostLoadsAtOnce);
    sum.violations += report.evictionsUnderRun + report.wrongAdapter;
}

PolicyResult runPolicy(const Experiment &experiment, const std::string &deployment,
                       const std::string &policy, int seeds)
{
    std::vector<std::future<VirtualReport>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
        VirtualOptions options = experiment.options(deployment);
        options.policy = policy;
        options.seed = static_cast<std::uint64_t>(seed);
        runs.push_back(std::async(std::launch::async, [options] { return runVirtually(options); }));
    }
    PolicyResult result;
    result.policy = policy;
    for (std::future<VirtualReport> &run : runs) {
        const VirtualReport report = run.get();
        const VirtualSummary summary =
            summarize(report, experiment.from, experiment.until, experiment.hotRanks);
        add(result, report, summary, 1.0 / seeds);
    }
    return result;
}

void writeRow(std::ostringstream &text, const PolicyResult &result, const PolicyResult *baseline)
{
    const VirtualSummary &summary = result.summary;
    const double ratio = baseline != nullptr && baseline->summary.totalStall > 0
        ? summary.totalStall / baseline->summary.totalStall
        : 1;
    const double batchRatio = baseline != nullptr && baseline->batchEfficiency > 0
        ? result.batchEfficiency / baseline->batchEfficiency
        : 1;
    text << "| " << result.policy << " | " << std::fixed << std::setprecision(3)
         << summary.meanStall << " | " << summary.p50 << " | " << summary.p95 << " | "
         << summary.p99 << " | " << summary.stalledShare << " | " << ratio << " | "
         << result.batchEfficiency << " | " << batchRatio << " | " << summary.refused << " | "
         << summary.refusedSoonShare << " | " << summary.late << " | " << std::setprecision(0)
         << result.loads << " | " << result.prefetches << " | " << std::setprecision(2)
         << result.storeBusyShare << " | " << result.mostLoadsAtOnce << " | " << result.shiftsSeen
         << " | " << result.violations << " |\n";
}

} // namespace

const std::vector<Experiment> &experiments()
{
    static const std::vector<Experiment> all{
        {"steady", "steady Zipf, misses near the store's rate", steady, 3600, 7200, 0},
        {"idle-store", "steady Zipf at a third of that demand", idleStore, 3600, 7200, 0},
        {"shift", "the five minutes after the ranking is turned round", shift, 5400, 5700, 0},
        {"shift-later", "minutes 10 to 25 after the shift", shift, 6000, 6900, 0},
        {"flash", "five minutes of 3 requests/s for one cold adapter", flash, 5400, 5700, 0},
        {"restart", "the minute after all engines of a zone restart cold", restart, 5400, 5460, 0},
        {"store-down", "store down for 60 s, deadline 30 s", storeDown, 5400, 5520, 0},
        {"load-failures", "one load in ten fails", failing, 3600, 7200, 0},
        {"overload", "demand at three times the store's rate, deadline 20 s", overload, 3600, 7200,
         0},
        {"overload-hot", "the same, only the 40 hottest adapters", overload, 3600, 7200, 40},
        {"half-load-hot", "half that demand, only the 40 hottest adapters", halfLoad, 3600, 7200,
         40},
    };
    return all;
}

std::string runExperiment(const Experiment &experiment, const std::string &deployment,
                          const std::vector<std::string> &policies, int seeds)
{
    std::vector<PolicyResult> results;
    for (const std::string &policy : policies)
        results.push_back(runPolicy(experiment, deployment, policy, seeds));
    const auto baseline =
        std::find_if(results.begin(), results.end(),
                     [](const PolicyResult &result) { return result.policy == "plain-good"; });
    std::ostringstream text;
    text << "### " << experiment.name << ", " << deployment << ": " << experiment.what << "\n\n"
         << "| policy | mean stall s | p50 | p95 | p99 | stalled | total to plain-good | batch "
            "efficiency | to plain-good | refused | refused in 100 ms | late | loads | prefetches "
            "| store busy | most loads at once | shifts seen | violations |\n"
         << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const PolicyResult &result : results)
        writeRow(text, result, baseline == results.end() ? nullptr : &*baseline);
    text << "\n";
    return text.str();
}

} // namespace monsoonbay::loadgen
