#pragma once

#include <array>

#include "serving/EngineChoice.h"

namespace monsoonbay {

/** One kind of calls in the simulation. */
struct SimulatedCallKind
{
    double perSecond = 0;
    double promptTokens = 0;
    double objectiveMs = 0;
    double streamMs = 0; ///< from the first event to the end
};

constexpr std::size_t callKinds = 3;
constexpr std::size_t shortestObjectiveKind = 2; ///< the one with the shortest objective

/** Parameters of a simulation of 83 VMs and 90 engines; adapters have a Zipf distribution. */
struct EngineSimulation
{
    std::array<SimulatedCallKind, callKinds> kinds{
        {{115, 9190, 1000, 1000}, {27.7, 9190, 2000, 1000}, {134, 826, 500, 3000}}};
    int adapterSlots = 7;
    double zipf = 1.15; ///< exponent: an adapter's share of the calls is rank ^ -zipf
    double load = 1; ///< factor on the rates of all kinds
    bool byForecast = true;
    bool knowsStateAge = true; ///< VMs know the age of their state updates
    bool earlyCopies = true; ///< the age of state updates counts when a copy is considered
    bool isolatedThird = false; ///< a third of the VMs get no state updates from 8 to 20 s
    EngineWeights weights;
    unsigned seed = 1;
};

/** Metrics of the calls that were counted in a simulation. */
struct SimulationResult
{
    std::array<double, callKinds> onTime{}; ///< share of all calls, by kind
    std::array<double, callKinds>
        lateWithoutLoad{}; ///< share late or refused without a load, by kind
    int fetches = 0; ///< loads from the weight store
    int loads = 0;
    double maxToMeanCalls = 0; ///< calls of the engine with the most calls, over the mean
};

/** Simulates 30 s of calls; the first 5 s are not counted. */
SimulationResult simulate(const EngineSimulation &parameters);

} // namespace monsoonbay
