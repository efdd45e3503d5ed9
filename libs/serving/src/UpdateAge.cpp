#include "serving/UpdateAge.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Nothing that was known this long ago of an engine's load tells how busy it is. */
constexpr Duration mostAge = std::chrono::seconds(3);

} // namespace

// The calls of VMs that are not heard are unknown since all were heard last. With the regular age
// alone a cut-off VM sends all its calls to the engine that looked least busy before the cut.
Duration updateAge(const UpdateAgeInputs &facts) noexcept
{
    const double known = std::max(facts.knownVms, 1);
    const double heard = std::clamp(facts.vmsReporting / known, 0.0, 1.0);
    const Duration toldAge = std::min(std::max(facts.regular, facts.sinceLastUpdate), mostAge);
    const Duration untoldAge = std::max(std::min(facts.sinceAllReported, mostAge), toldAge);
    return fromSeconds(heard * toSeconds(toldAge) + (1 - heard) * toSeconds(untoldAge));
}

} // namespace monsoonbay
