#pragma once

#include <array>

#include "serving/EngineChoice.h"

namespace monsoonbay {

/** Calls of one kind on a played day. */
struct SimulatedCallKind
{
    double perSecond = 0;
    double promptTokens = 0;
    double objectiveMs = 0;
    double streamMs = 0; ///< from the first event to the end
};

constexpr std::size_t callKinds = 3;
constexpr std::size_t shortestObjectiveKind = 2; ///< the one with the least objective

/** Load and knowledge on a played day: 83 VMs, 90 engines, adapters by Zipf. */
struct EngineSimulation
{
    std::array<SimulatedCallKind, callKinds> kinds{
        {{115, 9190, 1000, 1000}, {27.7, 9190, 2000, 1000}, {134, 826, 500, 3000}}};
    int adapterSlots = 7;
    double zipf = 1.15; ///< share of an adapter: its rank to the power of minus this
    double load = 1; ///< factor on all kinds
    bool byForecast = true;
    bool knowsStateAge = true; ///< VMs know how old their news is
    bool earlyCopies = true; ///< the age of the news counts when a copy is weighed
    bool isolatedThird = false; ///< a third of the VMs hear no other VM from 8 to 20 s
    EngineWeights weights;
    unsigned seed = 1;
};

struct SimulationResult
{
    std::array<double, callKinds> onTime{}; ///< share of all calls, by kind
    std::array<double, callKinds> lateWithoutLoad{}; ///< late or refused without a load, by kind
    int fetches = 0; ///< loads from the weight store
    int loads = 0;
    double maxToMeanCalls = 0; ///< calls at the engine that took most over the mean
};

SimulationResult simulateDay(const EngineSimulation &day);

} // namespace monsoonbay
