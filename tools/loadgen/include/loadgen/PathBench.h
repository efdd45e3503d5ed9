#pragma once

#include <string>

#include "loadgen/Deployment.h"

namespace monsoonbay::loadgen {

/**
 * Measures what the path adds: the same small requests straight to the engines and through the one
 * entry VM, in one run. Returns a Markdown page with the table.
 */
std::string measureEntryVmOverhead(const Deployment &deployment, double seconds);

} // namespace monsoonbay::loadgen
