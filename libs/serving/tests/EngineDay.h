#pragma once

#include <array>

#include "serving/EngineBoard.h"

namespace monsoonbay {

/** Calls of one kind on a played day. */
struct DayKind
{
    double perSecond = 0;
    double promptTokens = 0;
    double objectiveMs = 0;
    double runMs = 0; ///< from the first event to the end
};

constexpr std::size_t dayKinds = 3;
constexpr std::size_t quickKind = 2; ///< the one with the least objective

/** Load and knowledge on a played day: 83 VMs, 90 engines, adapters by Zipf. */
struct EngineDay
{
    std::array<DayKind, dayKinds> kinds{
        {{115, 9190, 1000, 1000}, {27.7, 9190, 2000, 1000}, {134, 826, 500, 3000}}};
    int adapterSlots = 7;
    double zipf = 1.15; ///< share of an adapter: its rank to the power of minus this
    double load = 1; ///< factor on all kinds
    bool byForecast = true;
    bool realAge = true; ///< VMs know how old their news is
    bool earlyCopies = true; ///< the age of the news counts when a copy is weighed
    bool deafThird = false; ///< a third of the VMs hear no other VM from 8 to 20 s
    EngineWeights weights;
    unsigned seed = 1;
};

struct DayResult
{
    std::array<double, dayKinds> onTime{}; ///< share of all calls, by kind
    std::array<double, dayKinds> lateThere{}; ///< late or refused without a load, by kind
    int fetches = 0; ///< loads from the weight store
    int loads = 0;
    double busiest = 0; ///< calls at the engine that took most over the mean
};

DayResult playDay(const EngineDay &day);

} // namespace monsoonbay
