#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "residency/Placement.h"

namespace monsoonbay {

/** Where to load an adapter, and what goes for it. */
struct SlotChoice
{
    std::size_t target = 0; ///< index into PlacementState::targets
    AdapterId evict; ///< value 0: a slot is free
};

/** The next thing to load. */
struct LoadChoice
{
    AdapterId adapter;
    SlotChoice slot;
    bool prefetch = false;
};

/** What a router sees of a target that could take a request. */
struct RouteCandidate
{
    TargetId target;
    bool resident = false;
    int running = 0; ///< reported, plus what was sent since the report
    int maxBatch = 1;
    bool sameZone = false;
    bool prefixCached = false; ///< hint from late, gappy cache events
};

/** Free functions that make up one way of placing adapters. */
struct PlacementPolicy
{
    std::string_view name;
    /** Loads that may run at the same time; 0 is one a target. */
    int loadsAtOnce = 1;
    /** Index of the best candidate, or the size if none will do. */
    std::size_t (*route)(std::span<const RouteCandidate> candidates, double stallWeight,
                         double batchWeight);
    /** The next load, if any is worth its permit now. */
    std::optional<LoadChoice> (*nextLoad)(const PlacementState &state, Instant now);
    /** What to load ahead of demand, if anything; asked only while no demanded load is due. */
    std::optional<LoadChoice> (*prefetch)(const PlacementState &state, Instant now);
    /** Adapters whose waiters are refused now. */
    std::vector<AdapterId> (*refuse)(PlacementState &state, Instant now);
};

/** All policies that registered themselves, by name. */
std::span<const PlacementPolicy *const> placementPolicies();

/** The policy of that name, or nullptr. */
const PlacementPolicy *findPlacementPolicy(std::string_view name);

/** Registers a policy at start-up; one static object in the plug-in's source file. */
struct PlacementRegistration
{
    explicit PlacementRegistration(const PlacementPolicy &policy);
};

} // namespace monsoonbay

/** Registers POLICY and gives the linker a symbol to keep the plug-in by. */
#define MONSOONBAY_REGISTER_PLACEMENT(NAME, POLICY)                                                \
    extern "C" const ::monsoonbay::PlacementRegistration monsoonbayPlacement##NAME;                \
    const ::monsoonbay::PlacementRegistration monsoonbayPlacement##NAME                            \
    {                                                                                              \
        POLICY                                                                                     \
    }
