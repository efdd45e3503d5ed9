#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "residency/Placement.h"

namespace monsoonbay {

/** Where to load an adapter, and what to evict for it. */
struct SlotChoice
{
    std::size_t target = 0; ///< index into PlacementState::targets
    AdapterId evict; ///< value 0: a slot is free
};

/** The next adapter to load, and where. */
struct LoadChoice
{
    AdapterId adapter;
    SlotChoice slot;
    bool prefetch = false;
};

/** A target that could take a request, as the router sees it. */
struct RouteCandidate
{
    TargetId target;
    bool resident = false;
    int running = 0; ///< requests: those reported, plus those sent since the report
    int maxBatch = 1;
    bool sameZone = false;
    bool prefixCached = false; ///< a hint, as cache events arrive late and incompletely
};

/** The functions of one placement policy. */
struct PlacementPolicy
{
    std::string_view name;
    /** Maximum concurrent loads; 0: one for each target. */
    int loadsAtOnce = 1;
    /** Index of the best candidate, or the size if none is suitable. */
    std::size_t (*route)(std::span<const RouteCandidate> candidates, double stallWeight,
                         double batchWeight);
    /** The next demanded load, if any should start now. */
    std::optional<LoadChoice> (*nextLoad)(const PlacementState &state, Instant now);
    /** The next prefetch, if any; called only while nextLoad() returns none. */
    std::optional<LoadChoice> (*prefetch)(const PlacementState &state, Instant now);
    /** Adapters whose waiting requests are refused now. */
    std::vector<AdapterId> (*refuse)(PlacementState &state, Instant now);
};

/** All policies that registered themselves, by name. */
std::span<const PlacementPolicy *const> placementPolicies();

/** The policy of that name, or nullptr. */
const PlacementPolicy *findPlacementPolicy(std::string_view name);

/** Registers a policy at start-up; a static object in the source file of the policy. */
struct PlacementRegistration
{
    explicit PlacementRegistration(const PlacementPolicy &policy);
};

} // namespace monsoonbay

/** Registers POLICY and exports a symbol by which the linker keeps its object file. */
#define MONSOONBAY_REGISTER_PLACEMENT(NAME, POLICY)                                                \
    extern "C" const ::monsoonbay::PlacementRegistration monsoonbayPlacement##NAME;                \
    const ::monsoonbay::PlacementRegistration monsoonbayPlacement##NAME                            \
    {                                                                                              \
        POLICY                                                                                     \
    }
