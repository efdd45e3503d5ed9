#include "loadgen/Experiment.h"

#include <algorithm>
#include <future>
#include <iomanip>
#include <sstream>

namespace monsoonbay::loadgen {

namespace {

/** The default options have the sizes of the deployment "bavaria". */
SimulationOptions baseOptions(const std::string &deployment)
{
    SimulationOptions options;
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

SimulationOptions steadyOptions(const std::string &deployment)
{
    return baseOptions(deployment);
}

SimulationOptions reversalOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.events = {{5400, SimulationEventKind::ReversePopularity, 0}};
    return options;
}

SimulationOptions flashCrowdOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.events = {{5400, SimulationEventKind::FlashCrowd, 3},
                      {5700, SimulationEventKind::FlashCrowdEnds, 0}};
    return options;
}

SimulationOptions zoneRestartOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.events = {{5400, SimulationEventKind::RestartZone, 0}};
    return options;
}

SimulationOptions storeDownOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.deadlineSeconds = 30;
    options.events = {{5400, SimulationEventKind::StoreDown, 60}};
    return options;
}

SimulationOptions loadFailureOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.loadFailureShare = 0.1;
    return options;
}

SimulationOptions overloadOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.requestsPerSecond = 3 * options.loadsPerSecond;
    options.deadlineSeconds = 20;
    return options;
}

SimulationOptions halfLoadOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.requestsPerSecond = 1.5 * options.loadsPerSecond;
    options.deadlineSeconds = 20;
    return options;
}

SimulationOptions idleStoreOptions(const std::string &deployment)
{
    SimulationOptions options = baseOptions(deployment);
    options.requestsPerSecond /= 3;
    return options;
}

/** Results of one policy over all seeds. */
struct PolicyResult
{
    std::string policy;
    SimulationSummary summary; ///< means; sums of counts and of totalStall; the lowest
                               ///< promptRefusalShare
    double batchEfficiency = 0;
    double loads = 0;
    double prefetches = 0;
    double storeBusyShare = 0;
    double shiftsSeen = 0;
    int maxConcurrentLoads = 0;
    std::uint64_t violations = 0; ///< evictions of an adapter in use, dispatches without adapter
};

/** Adds the result of one seed; `weight` is one over the number of seeds. */
void accumulate(PolicyResult &sum, const SimulationReport &report, const SimulationSummary &summary,
                double weight)
{
    sum.summary.requests += summary.requests;
    sum.summary.totalStall += summary.totalStall;
    sum.summary.meanStall += summary.meanStall * weight;
    sum.summary.p50 += summary.p50 * weight;
    sum.summary.p95 += summary.p95 * weight;
    sum.summary.p99 += summary.p99 * weight;
    sum.summary.stalledShare += summary.stalledShare * weight;
    sum.summary.refused += summary.refused;
    sum.summary.expired += summary.expired;
    sum.summary.promptRefusalShare =
        std::min(sum.summary.promptRefusalShare, summary.promptRefusalShare);
    sum.batchEfficiency += report.batchEfficiency * weight;
    sum.loads += static_cast<double>(report.loads) * weight;
    sum.prefetches += static_cast<double>(report.prefetches) * weight;
    sum.storeBusyShare += report.storeBusyShare * weight;
    sum.shiftsSeen += static_cast<double>(report.shiftsSeen) * weight;
    sum.maxConcurrentLoads = std::max(sum.maxConcurrentLoads, report.maxConcurrentLoads);
    sum.violations += report.evictionsInUse + report.dispatchesWithoutAdapter;
}

PolicyResult runPolicy(const Experiment &experiment, const std::string &deployment,
                       const std::string &policy, int seeds)
{
    std::vector<std::future<SimulationReport>> runs;
    for (int seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options = experiment.options(deployment);
        options.policy = policy;
        options.seed = static_cast<std::uint64_t>(seed);
        runs.push_back(
            std::async(std::launch::async, [options] { return runSimulation(options); }));
    }
    PolicyResult result;
    result.policy = policy;
    for (std::future<SimulationReport> &run : runs) {
        const SimulationReport report = run.get();
        const SimulationSummary summary =
            summarize(report, experiment.windowStart, experiment.windowEnd, experiment.hotRanks);
        accumulate(result, report, summary, 1.0 / seeds);
    }
    return result;
}

void writeRow(std::ostringstream &text, const PolicyResult &result, const PolicyResult *baseline)
{
    const SimulationSummary &summary = result.summary;
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
         << summary.promptRefusalShare << " | " << summary.expired << " | " << std::setprecision(0)
         << result.loads << " | " << result.prefetches << " | " << std::setprecision(2)
         << result.storeBusyShare << " | " << result.maxConcurrentLoads << " | "
         << result.shiftsSeen << " | " << result.violations << " |\n";
}

} // namespace

const std::vector<Experiment> &experiments()
{
    static const std::vector<Experiment> all{
        {"steady", "steady Zipf, misses near the store's rate", steadyOptions, 3600, 7200, 0},
        {"idle-store", "steady Zipf at a third of that demand", idleStoreOptions, 3600, 7200, 0},
        {"shift", "the five minutes after the ranking is turned round", reversalOptions, 5400, 5700,
         0},
        {"shift-later", "minutes 10 to 25 after the shift", reversalOptions, 6000, 6900, 0},
        {"flash", "five minutes of 3 requests/s for one cold adapter", flashCrowdOptions, 5400,
         5700, 0},
        {"restart", "the minute after all engines of a zone restart cold", zoneRestartOptions, 5400,
         5460, 0},
        {"store-down", "store down for 60 s, deadline 30 s", storeDownOptions, 5400, 5520, 0},
        {"load-failures", "one load in ten fails", loadFailureOptions, 3600, 7200, 0},
        {"overload", "demand at three times the store's rate, deadline 20 s", overloadOptions, 3600,
         7200, 0},
        {"overload-hot", "the same, only the 40 hottest adapters", overloadOptions, 3600, 7200, 40},
        {"half-load-hot", "half that demand, only the 40 hottest adapters", halfLoadOptions, 3600,
         7200, 40},
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
    text << "### " << experiment.name << ", " << deployment << ": " << experiment.description
         << "\n\n"
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
