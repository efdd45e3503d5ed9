#include "serving/EngineForecast.h"

namespace monsoonbay {

double forecastMs(const EngineView &engine, const EngineNeed &need, const EngineWeights &weights,
                  bool there) noexcept
{
    const double unread = need.promptTokens - (there ? engine.cachedTokens : 0);
    return expectedWaitMs(engine, weights) + unread / weights.promptTokensPerMs
        + (there ? 0 : engine.loadMs);
}

bool meetsObjective(double forecast, const EngineNeed &need, const EngineWeights &weights) noexcept
{
    return forecast <= weights.onTimeShare * need.objectives.firstEventMs;
}

} // namespace monsoonbay
