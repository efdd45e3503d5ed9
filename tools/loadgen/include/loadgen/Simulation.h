#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonbay::loadgen {

/** What happens during a virtual run. */
enum class SimulationEventKind {
    ReversePopularity, ///< yesterday's cold is today's hottest: the ranking is turned round
    FlashCrowd, ///< one cold adapter is suddenly asked for at `value` requests a second
    FlashCrowdEnds,
    RestartZone, ///< all engines of zone `value` restart cold
    StoreDown, ///< the store stands still for `value` seconds
};

struct SimulationEvent
{
    double at = 0;
    SimulationEventKind kind = SimulationEventKind::ReversePopularity;
    double value = 0;
};

/** A deployment in virtual time: small fakes of engines and store around the real decisions. */
struct SimulationOptions
{
    std::string policy = "forecast"; ///< a placement policy, or "oracle", which knows the future
    int engines = 9;
    int zones = 4;
    int slots = 8;
    int maxBatch = 16;
    int adapters = 3000;
    double zipfExponent = 1.0;
    double requestsPerSecond = 3;
    double loadsPerSecond = 2;
    double seconds = 7200;
    double measuredFrom = 3600; ///< requests that arrive earlier only warm up
    double deadlineSeconds = 600;
    int minTokens = 60;
    int maxTokens = 240;
    double stepSeconds = 0.020;
    double stepSecondsPerSequence = 0.0005;
    double loadFailureShare = 0;
    double stallWeight = 0.8;
    double batchWeight = 0.2;
    std::uint64_t seed = 1;
    std::vector<SimulationEvent> events;
};

/** One request as it went. */
struct SimulatedRequest
{
    double arrived = 0;
    double stallSeconds = 0; ///< until its adapter was resident, or until it was refused
    int rank = 0; ///< popularity of its adapter, 0 the hottest
    bool refused = false;
    bool expired = false; ///< still waiting at its deadline
    double secondsUntilRefused = 0;
};

struct SimulationReport
{
    std::vector<SimulatedRequest> requests; ///< those that arrived from measuredFrom on
    double batchEfficiency = 0; ///< sequences a step over the batch, steps that ran
    std::uint64_t loads = 0;
    std::uint64_t prefetches = 0;
    std::uint64_t failedLoads = 0;
    double storeBusyShare = 0;
    int maxConcurrentLoads = 0;
    std::uint64_t evictionsInUse = 0;
    std::uint64_t dispatchesWithoutAdapter = 0;
    std::uint64_t shiftsSeen = 0;
};

/** Sums over the requests that arrived between two times. */
struct SimulationSummary
{
    std::size_t requests = 0;
    double totalStall = 0;
    double meanStall = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double stalledShare = 0;
    std::size_t refused = 0;
    std::size_t expired = 0;
    double promptRefusalShare = 1; ///< refused within 100 ms of arrival
};

SimulationReport runSimulation(const SimulationOptions &options);

/** `hotRanks` > 0 counts only requests of the adapters that are hotter than that rank. */
SimulationSummary summarize(const SimulationReport &report, double from, double until,
                            int hotRanks = 0);

} // namespace monsoonbay::loadgen
