#pragma once

#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * Expected time to the call's first event at this engine, ms, including a load if the adapter is
 * not `there`. Unlike expectedCostMs(), it does not count the effect on other calls.
 */
double forecastMs(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights,
                  bool there) noexcept;

/** True if a first event expected after this time, ms, is early enough for the objective. */
bool meetsObjective(double forecast, const EngineNeed &need, const EngineWeights &weights) noexcept;

} // namespace monsoonbay
