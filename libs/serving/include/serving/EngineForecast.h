#pragma once

#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * Expected time until the call's first event at this engine, ms, a load included if the adapter is
 * not `there`. Unlike expectedCostMs() it leaves out what other calls lose.
 */
double forecastMs(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights,
                  bool there) noexcept;

/** True if a first event expected in this time is early enough for the call's objective. */
bool meetsObjective(double forecast, const EngineNeed &need, const EngineWeights &weights) noexcept;

} // namespace monsoonbay
