#include "serving/EngineForecast.h"

namespace monsoonbay {

double forecastMs(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights,
                  bool there) noexcept
{
    const double uncachedTokens = need.promptTokens - (there ? engine.cachedTokens : 0);
    return expectedWaitMs(engine, weights) + uncachedTokens / weights.promptTokensPerMs
        + (there ? 0 : engine.loadMs);
}

bool meetsObjective(double forecast, const EngineNeed &need, const EngineWeights &weights) noexcept
{
    return forecast <= weights.onTimeShare * need.objectives.firstEventMs;
}

} // namespace monsoonbay
