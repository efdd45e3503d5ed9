#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonbay::loadgen {

/** Kinds of events during a simulation. */
enum class SimulationEventKind {
    ReversePopularity, ///< the ranking is reversed: the coldest adapter becomes the hottest
    FlashCrowd, ///< the adapter of median rank gets `value` more requests a second
    FlashCrowdEnds,
    RestartZone, ///< all engines of zone `value` restart with empty slots
    StoreDown, ///< the store transfers nothing for `value` seconds
};

/** An event at a given time. */
struct SimulationEvent
{
    double at = 0; ///< seconds since the start
    SimulationEventKind kind = SimulationEventKind::ReversePopularity;
    double value = 0;
};

/**
 * A deployment for the discrete-event simulation, which runs the production code of placement and
 * slots on models of the engines and of the weight store. Times are in seconds of virtual time.
 */
struct SimulationOptions
{
    /** A placement policy, "ranking" (knows the true popularity) or "oracle" (knows all arrivals).
     */
    std::string policy = "forecast";
    int engines = 9;
    int zones = 4;
    int slots = 8;
    int maxBatch = 16;
    int adapters = 3000;
    double zipfExponent = 1.0;
    double requestsPerSecond = 3;
    double loadsPerSecond = 2;
    double seconds = 7200;
    double measuredFrom = 3600; ///< end of the warm-up
    double deadlineSeconds = 600;
    int minTokens = 60;
    int maxTokens = 240;
    double stepSeconds = 0.020;
    double stepSecondsPerSequence = 0.0005;
    double loadFailureShare = 0; ///< of the loads
    double stallWeight = 0.8;
    double batchWeight = 0.2;
    std::uint64_t seed = 1;
    std::vector<SimulationEvent> events;
};

/** Outcome of one request. */
struct SimulatedRequest
{
    double arrived = 0;
    double stallSeconds = 0; ///< until it was dispatched, refused or expired, or until the end
    int rank = 0; ///< of its adapter by popularity, 0 is the hottest; also 0 in a flash crowd
    bool refused = false;
    bool expired = false; ///< still waiting at its deadline
    double secondsUntilRefused = 0;
};

/** Results of a simulation; the counters of loads include the warm-up. */
struct SimulationReport
{
    std::vector<SimulatedRequest> requests; ///< those that arrived after the warm-up
    double batchEfficiency = 0; ///< mean batch size over the maximum, for steps after the warm-up
    std::uint64_t loads = 0;
    std::uint64_t prefetches = 0;
    std::uint64_t failedLoads = 0;
    double storeBusyShare = 0;
    int maxConcurrentLoads = 0;
    std::uint64_t evictionsInUse = 0; ///< evictions of a pinned adapter
    std::uint64_t dispatchesWithoutAdapter = 0; ///< to an engine where it is not resident
    std::uint64_t shiftsSeen = 0; ///< popularity shifts detected by the demand table
};

/** Statistics of the requests that arrived between two times; stalls leave out refused ones. */
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
    double promptRefusalShare = 1; ///< of the refused: within 100 ms of arrival
};

SimulationReport runSimulation(const SimulationOptions &options);

/**
 * Summarizes the requests that arrived from `from` on and before `until`. With `hotRanks` > 0 it
 * counts only those of the `hotRanks` hottest adapters.
 */
SimulationSummary summarize(const SimulationReport &report, double from, double until,
                            int hotRanks = 0);

} // namespace monsoonbay::loadgen
