#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "loadgen/Deployment.h"

namespace monsoonbay::loadgen {

/** What to send. */
struct LoadOptions
{
    double seconds = 20;
    double modelRequestsPerSecond = 12;
    double plainRequestsPerSecond = 20;
    double zipfExponent = 1.0;
    double streamedShare = 0.7;
    double idempotencyKeyShare = 0.1;
    int minTokens = 20;
    int maxTokens = 120;
    int deadlineMs = 20000;
    std::uint64_t seed = 1;
};

/** Quantiles of a list of seconds. */
struct Quantiles
{
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

Quantiles quantilesOf(std::vector<double> values);

/** What came back, as the callers saw it. */
struct LoadReport
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t plainAnswered = 0;
    std::uint64_t failed = 0;
    std::uint64_t wrongAnswers = 0; ///< answers of another adapter or request
    std::uint64_t streamsWithDuplicates = 0; ///< a piece twice
    std::uint64_t truncated = 0; ///< passed off as whole, with pieces missing
    std::uint64_t transportErrors = 0;
    std::map<std::string, std::uint64_t> refusals; ///< by problem type
    std::vector<double> firstTokenSeconds;
    std::vector<double> betweenTokensSeconds;
    std::vector<double> answerSeconds;
};

/** Counts of the engines over the run. */
struct EngineTotals
{
    std::uint64_t steps = 0;
    std::uint64_t sequenceSteps = 0;
    std::uint64_t loads = 0;
    std::uint64_t evictionsInUse = 0;
    std::uint64_t executedTwice = 0;
    int maxBatch = 1;

    double batchEfficiency() const noexcept
    {
        const double full = static_cast<double>(this->steps) * this->maxBatch;
        return full > 0 ? static_cast<double>(this->sequenceSteps) / full : 0;
    }
};

/** Load stalls as the entry VMs measured them. */
struct StallTotals
{
    std::uint64_t requests = 0;
    std::uint64_t stalled = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/** Publishes the manifest and waits until every entry VM has it in force and targets owned. */
bool publishAndAwaitReady(const Deployment &deployment, const std::string &manifest,
                          double timeoutSeconds);

LoadReport runLoad(const Deployment &deployment, const LoadOptions &options);
/** Names of the adapters that a target reports as resident. */
std::vector<std::string> readResidentAdapters(const Target &target);

EngineTotals readEngineTotals(const Deployment &deployment);
StallTotals readStallTotals(const Deployment &deployment);

std::string reportTable(const LoadReport &report, const EngineTotals &engines,
                        const StallTotals &stalls);

/** An SVG with the distributions of first-token time and of the whole answer's time. */
std::string reportSvg(const std::string &title, const LoadReport &report);

} // namespace monsoonbay::loadgen
