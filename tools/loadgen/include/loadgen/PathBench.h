#pragma once

#include <string>

#include "loadgen/Deployment.h"

namespace monsoonbay::loadgen {

/**
 * Measures the overhead of an entry VM: sends the same small requests directly to the engines and
 * through the only entry VM of the deployment. Returns a Markdown table.
 * Each phase sends for `seconds`.
 */
std::string measureEntryVmOverhead(const Deployment &deployment, double seconds);

} // namespace monsoonbay::loadgen
