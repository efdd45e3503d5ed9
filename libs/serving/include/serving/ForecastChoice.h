#pragma once

#include <string>
#include <vector>

#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * chooseEngine() for services whose routes have different objectives: engines at which the call is
 * expected to meet its own objective are preferred to all others.
 */
EngineChoice chooseByForecast(const std::vector<EngineView> &engines, const EngineNeed &need,
                              const std::vector<std::string> &tried, const EngineWeights &weights);

} // namespace monsoonbay
