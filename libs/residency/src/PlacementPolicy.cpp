#include "residency/PlacementPolicy.h"

#include <algorithm>

namespace monsoonbay {

namespace {

std::vector<const PlacementPolicy *> &registry()
{
    static std::vector<const PlacementPolicy *> policies;
    return policies;
}

} // namespace

std::span<const PlacementPolicy *const> placementPolicies()
{
    return registry();
}

const PlacementPolicy *findPlacementPolicy(std::string_view name)
{
    const auto &policies = registry();
    const auto found =
        std::find_if(policies.begin(), policies.end(),
                     [name](const PlacementPolicy *policy) { return policy->name == name; });
    return found == policies.end() ? nullptr : *found;
}

PlacementRegistration::PlacementRegistration(const PlacementPolicy &policy)
{
    registry().push_back(&policy);
}

} // namespace monsoonbay
