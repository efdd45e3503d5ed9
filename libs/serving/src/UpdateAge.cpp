#include "serving/UpdateAge.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Engine load that was known this long ago says nothing about how busy the engine is now. */
constexpr Duration maxAge = std::chrono::seconds(3);

} // namespace

// Calls of VMs that are not heard from are unknown since all VMs were last heard. With the regular
// age alone, a partitioned VM would send all its calls to the engine that looked least loaded
// before the partition.
Duration updateAge(const UpdateAgeInputs &inputs) noexcept
{
    const double known = std::max(inputs.knownVms, 1);
    const double heard = std::clamp(inputs.vmsReporting / known, 0.0, 1.0);
    const Duration heardAge = std::min(std::max(inputs.regular, inputs.sinceLastUpdate), maxAge);
    const Duration unheardAge = std::max(std::min(inputs.sinceAllReported, maxAge), heardAge);
    return fromSeconds(heard * toSeconds(heardAge) + (1 - heard) * toSeconds(unheardAge));
}

} // namespace monsoonbay
