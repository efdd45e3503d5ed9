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

/** Parameters of placement, from the manifest and the settings. */
struct PlacementConfig
{
    double stallWeight = 0.5;
    double batchWeight = 0.5;
    double loadsPerSecond = 2;
    double storeShare = 1; ///< share of the store's rate on this side of a partition
    Duration minResidency = std::chrono::seconds(5);
    Duration wantLifetime = std::chrono::seconds(2); ///< wants that are not resent expire
    Duration loadTimeout = std::chrono::seconds(60);
    Duration firstBackoff = std::chrono::milliseconds(500);
    Duration maxBackoff = std::chrono::seconds(30);
    double fullTargetShare = 0.75; ///< batch fill that calls for a replica; not used yet
    DemandConfig demand;
};

/** An occupied adapter slot of a target. */
struct ResidentSlot
{
    AdapterId adapter;
    int pins = 0; ///< running and queued requests
    Instant since{};

    auto operator<=>(const ResidentSlot &) const = default;
};

/** A model engine as its owner last reported it. */
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

/**
 * Requests of one entry VM that wait for an adapter that is not resident. The VM resends its want
 * while requests wait.
 */
struct Want
{
    AdapterId adapter;
    VmId origin;
    int waiting = 0;
    Instant oldest{};
    Instant deadline{}; ///< the earliest of the waiting requests
    double weight = 1; ///< sum of the waiting requests' priority weights
    Instant receivedAt{};
};

/** The wants of all entry VMs for one adapter. */
struct WantSet
{
    std::vector<Want> wants;
    bool admitted = false;

    int waiting() const noexcept;
    double weight() const noexcept;
    Instant oldest() const noexcept;
    Instant deadline() const noexcept;
};

/** Command to the owner of a target to load an adapter, after evicting another if one is named. */
struct LoadOrder
{
    std::uint64_t permit = 0;
    TargetId target;
    AdapterId adapter;
    AdapterId evict; ///< value 0: a slot is free

    auto operator<=>(const LoadOrder &) const = default;
};

/** Answer to a want: refused as not run, or the expected time of the load. */
struct WantVerdict
{
    AdapterId adapter;
    VmId origin;
    ErrorKind refusal = ErrorKind::Ok;
    Duration expectedWait{};
};

/** The results of a decision step, to be sent. */
struct PlacementActions
{
    std::vector<LoadOrder> orders;
    std::vector<WantVerdict> verdicts;
};

/** How a commanded load ended. */
enum class LoadOutcome {
    Loaded,
    Declined, ///< by the owner: slot pinned, no lease, target gone
    Failed, ///< in the engine, or without a result before the timeout
};

/** A load that was commanded and has not ended. */
struct PendingLoad
{
    LoadOrder order;
    Instant startedAt{};
};

/** Exponential back-off after failed loads. */
struct Backoff
{
    int failures = 0;
    Instant until{};
};

/** Counters of placement decisions and their results. */
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
 * Soft state of the coordinator, which grants the load permits on one side of a partition. It need
 * not be persisted: owners resend the state of their targets, entry VMs resend their wants.
 */
struct PlacementState
{
    PlacementConfig config;
    const PlacementPolicy *policy = nullptr;
    std::vector<TargetView> targets;
    std::unordered_map<TargetId, std::size_t> targetIndex;
    std::unordered_map<AdapterId, int> copies; ///< resident or loading on targets that take work
    std::unordered_map<AdapterId, WantSet> wants;
    std::unordered_map<std::uint64_t, PendingLoad> pending;
    std::unordered_map<AdapterId, Backoff> backoffs;
    DemandTable demand;
    std::uint64_t nextPermit = 1;
    Instant nextLoadAt{};
    Instant nextPrefetchAt{};
    double loadSeconds = 0; ///< moving average of the time of a load
    PlacementCounters counters;
};

/** `policy` is one of placementPolicies(); the permit numbers start at `firstPermit`. */
PlacementState makePlacement(const PlacementConfig &config, const PlacementPolicy &policy,
                             Instant now, std::uint64_t firstPermit = 1);

/** Replaces the state of a target by its owner's newest report. */
void updateTarget(PlacementState &state, const TargetView &view);

/** Marks a target as leaving or not; the adapters of a leaving one do not count as resident. */
void setTargetLeaving(PlacementState &state, TargetId target, bool leaving);

void forgetTarget(PlacementState &state, TargetId target);

/** Counts requests; `hits` of them found their adapter resident. */
void recordDemand(PlacementState &state, AdapterId adapter, int count, int hits, Instant now);

/** Replaces an entry VM's want for an adapter; `waiting` 0 withdraws it. */
void updateWant(PlacementState &state, const Want &want, Instant now);

void recordLoadResult(PlacementState &state, std::uint64_t permit, LoadOutcome outcome,
                      Instant now);

/** Commands the loads that the policy chooses now, and refuses the wants that it rejects. */
PlacementActions decide(PlacementState &state, Instant now);

/** True if a usable target holds the adapter. */
bool isResident(const PlacementState &state, AdapterId adapter);

/** Expected time of one load: the measured one, but no less than by the store's rate. */
Duration expectedLoadTime(const PlacementState &state);

/** Memory of the coordinator's state in bytes, estimated from its containers. */
std::size_t bytesOf(const PlacementState &state);

} // namespace monsoonbay
