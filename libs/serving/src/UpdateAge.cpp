#include "serving/UpdateAge.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Engine load that was known this long ago says nothing about how busy the engine is now. */
constexpr Duration mostAge = std::chrono::seconds(3);

} // namespace

// Calls of VMs that are not heard from are unknown since all VMs were last heard. With the regular
// age alone, a partitioned VM would send all its calls to the engine that looked least loaded
// before the partition.
Duration updateAge(const UpdateAgeInputs &facts) noexcept
{
    const double known = std::max(facts.knownVms, 1);
    const double heard = std::clamp(facts.vmsReporting / known, 0.0, 1.0);
    const Duration toldAge = std::min(std::max(facts.regular, facts.sinceLastUpdate), mostAge);
    const Duration untoldAge = std::max(std::min(facts.sinceAllReported, mostAge), toldAge);
    return fromSeconds(heard * toSeconds(toldAge) + (1 - heard) * toSeconds(untoldAge));
}

} // namespace monsoonbay
