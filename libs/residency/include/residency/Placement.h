#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"
#include "residency/DemandTable.h"

namespace monsoonbay {

struct PlacementPolicy;

/** What placement decisions depend on, from the manifest and the settings. */
struct PlacementConfig
{
    double stallWeight = 0.5;
    double batchWeight = 0.5;
    double loadsPerSecond = 2;
    double storeShare = 1; ///< this side's share of the store while zones are cut off
    Duration minResidency = std::chrono::seconds(5);
    Duration wantLifetime = std::chrono::seconds(2); ///< a want not repeated for so long is dropped
    Duration loadTimeout = std::chrono::seconds(60);
    Duration firstBackoff = std::chrono::milliseconds(500);
    Duration maxBackoff = std::chrono::seconds(30);
    double fullTargetShare = 0.75; ///< of a target's batch; above it a hot adapter gets a replica
    DemandConfig demand;
};

/** One adapter slot of a target in use. */
struct ResidentSlot
{
    AdapterId adapter;
    int pins = 0; ///< running and queued requests
    Instant since{};

    auto operator<=>(const ResidentSlot &) const = default;
};

/** A model engine as its owner last told of it. */
struct TargetView
{
    TargetId target;
    std::uint32_t zone = 0;
    int slots = 0;
    int maxBatch = 16;
    int running = 0;
    bool usable = true;
    bool leaving = false;
    std::vector<ResidentSlot> resident;
    std::vector<AdapterId> loading;
    Instant backoffUntil{};
    int failures = 0;

    int freeSlots() const noexcept
    {
        return this->slots - static_cast<int>(this->resident.size() + this->loading.size());
    }
};

/** Requests of one entry VM that wait for an adapter that is not resident. */
struct Want
{
    AdapterId adapter;
    VmId origin;
    int waiting = 0;
    Instant oldest{};
    Instant deadline{}; ///< the nearest of the waiters
    double weight = 1; ///< sum of the waiters' priority weights
    Instant receivedAt{};
};

/** All that wait for one adapter. */
struct WantSet
{
    std::vector<Want> wants;
    bool admitted = false;

    int waiting() const noexcept;
    double weight() const noexcept;
    Instant oldest() const noexcept;
    Instant deadline() const noexcept;
};

/** Order to the owner of a target: load an adapter, evicting another first if named. */
struct LoadOrder
{
    std::uint64_t permit = 0;
    TargetId target;
    AdapterId adapter;
    AdapterId evict; ///< value 0: a slot is free

    auto operator<=>(const LoadOrder &) const = default;
};

/** Word to the waiters of an adapter: refused as not run, or how long the load will take. */
struct WantVerdict
{
    AdapterId adapter;
    VmId origin;
    ErrorKind refusal = ErrorKind::Ok;
    Duration expectedWait{};
};

/** What a decision step wants done. */
struct PlacementActions
{
    std::vector<LoadOrder> orders;
    std::vector<WantVerdict> verdicts;
};

/** How an ordered load ended. */
enum class LoadOutcome {
    Loaded,
    Declined, ///< the owner would not: slot pinned, no lease, target gone
    Failed, ///< the engine tried and failed
};

/** A load that was ordered and has not ended. */
struct PendingLoad
{
    LoadOrder order;
    Instant startedAt{};
};

/** Waiting after failed loads of an adapter. */
struct Backoff
{
    int failures = 0;
    Instant until{};
};

/** Counts that tell how placement fares. */
struct PlacementCounters
{
    std::uint64_t loadsOrdered = 0;
    std::uint64_t loadsDone = 0;
    std::uint64_t loadsDeclined = 0;
    std::uint64_t loadsFailed = 0;
    std::uint64_t loadsLost = 0;
    std::uint64_t prefetches = 0;
    std::uint64_t refusals = 0;
};

/**
 * Soft state of the load-permit coordinator of one reachable side. Nothing in it has to last:
 * owners repeat their targets, entry VMs repeat their wants.
 */
struct PlacementState
{
    PlacementConfig config;
    const PlacementPolicy *policy = nullptr;
    std::vector<TargetView> targets;
    std::unordered_map<TargetId, std::size_t> targetIndex;
    std::unordered_map<AdapterId, int> copies; ///< resident or loading, on usable targets
    std::unordered_map<AdapterId, WantSet> wants;
    std::unordered_map<std::uint64_t, PendingLoad> pending;
    std::unordered_map<AdapterId, Backoff> backoffs;
    DemandTable demand;
    std::uint64_t nextPermit = 1;
    Instant nextLoadAt{};
    Instant nextPrefetchAt{};
    double loadSeconds = 0; ///< smoothed time of a load
    PlacementCounters counters;
};

/** Policy is a name known to placementPolicies(); the permit numbers start at `firstPermit`. */
PlacementState makePlacement(const PlacementConfig &config, const PlacementPolicy &policy,
                             Instant now, std::uint64_t firstPermit = 1);

/** Takes the owner's newest word about a target; replaces what was known. */
void updateTarget(PlacementState &state, const TargetView &view);

/** Marks a target leaving, or not; what it holds no longer counts as resident. */
void setTargetLeaving(PlacementState &state, TargetId target, bool leaving);

void forgetTarget(PlacementState &state, TargetId target);

/** Counts requests; `hits` of them found their adapter resident. */
void recordDemand(PlacementState &state, AdapterId adapter, int count, int hits, Instant now);

/** Takes an entry VM's newest word about who waits there; waiting 0 withdraws it. */
void updateWant(PlacementState &state, const Want &want, Instant now);

void recordLoadResult(PlacementState &state, std::uint64_t permit, LoadOutcome outcome,
                      Instant now);

/** Orders what the policy wants loaded now and judges wants that cannot be met in time. */
PlacementActions decide(PlacementState &state, Instant now);

/** True if a usable target holds the adapter. */
bool isResident(const PlacementState &state, AdapterId adapter);

/** Expected time of one load, from measured ones or the store's rate. */
Duration expectedLoadTime(const PlacementState &state);

/** Bytes of the coordinator's state, estimated from its containers. */
std::size_t bytesOf(const PlacementState &state);

} // namespace monsoonbay
