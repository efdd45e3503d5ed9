#pragma once

#include <vector>

#include "FleetModel.h"

namespace monsoonbay {

/** Prints a row for each class and half second to standard error. */
void printRefusals(const FleetScenario &scenario, const std::vector<Refusal> &refusals);

} // namespace monsoonbay
