#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "loadgen/Deployment.h"

namespace monsoonbay::loadgen {

/** The load to generate. */
struct LoadOptions
{
    double seconds = 20;
    double modelRequestsPerSecond = 12;
    double plainRequestsPerSecond = 20;
    double zipfExponent = 1.0; ///< of the popularity of adapters
    double streamedShare = 0.7;
    double idempotencyKeyShare = 0.1; ///< of the model requests
    int minTokens = 20;
    int maxTokens = 120;
    int deadlineMs = 20000;
    std::uint64_t seed = 1;
};

/** Quantiles of a list of durations in seconds. */
struct Quantiles
{
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

Quantiles quantilesOf(std::vector<double> values);

/** Outcomes of the requests as the caller sees them. */
struct LoadReport
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t plainAnswered = 0;
    std::uint64_t failed = 0; ///< the request ran, or may have run
    std::uint64_t wrongAnswers = 0; ///< with text of another adapter or request, or with a gap
    std::uint64_t streamsWithDuplicates = 0; ///< in which a token came more than once
    std::uint64_t truncated = 0; ///< answers with tokens missing and no error reported
    std::uint64_t transportErrors = 0; ///< includes requests in flight at the end
    std::map<std::string, std::uint64_t> refusals; ///< and other problems, by problem type
    std::vector<double> firstTokenSeconds;
    std::vector<double> betweenTokensSeconds;
    std::vector<double> answerSeconds;
};

/** Counters of all engines, summed. */
struct EngineTotals
{
    std::uint64_t steps = 0;
    std::uint64_t sequenceSteps = 0; ///< sum of the batch sizes of all steps
    std::uint64_t loads = 0;
    std::uint64_t evictionsInUse = 0; ///< evictions of an adapter with running requests
    std::uint64_t executedTwice = 0; ///< requests that an engine received again
    int maxBatch = 1;

    /** Mean batch size over the maximum, for the steps that ran. */
    double batchEfficiency() const noexcept
    {
        const double full = static_cast<double>(this->steps) * this->maxBatch;
        return full > 0 ? static_cast<double>(this->sequenceSteps) / full : 0;
    }
};

/**
 * Load stalls in seconds as measured by the entry VMs. Counts are sums, quantiles are the highest
 * of all VMs.
 */
struct StallTotals
{
    std::uint64_t requests = 0;
    std::uint64_t stalled = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/**
 * Publishes the manifest and waits until every entry VM is ready and can use every model engine.
 * Returns false on a timeout.
 */
bool publishAndAwaitReady(const Deployment &deployment, const std::string &manifest,
                          double timeoutSeconds);

/** Sends the load to the entry VMs and checks every answer; prints progress to stderr. */
LoadReport runLoad(const Deployment &deployment, const LoadOptions &options);
/** Names of the adapters that a target reports as resident. */
std::vector<std::string> readResidentAdapters(const Target &target);

EngineTotals readEngineTotals(const Deployment &deployment);
StallTotals readStallTotals(const Deployment &deployment);

std::string reportTable(const LoadReport &report, const EngineTotals &engines,
                        const StallTotals &stalls);

/** An SVG with the distributions of the time to first token and to the complete answer. */
std::string reportSvg(const std::string &title, const LoadReport &report);

} // namespace monsoonbay::loadgen
