#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "residency/PlacementPolicy.h"

namespace monsoonbay {

/** Orders the reports of one target: by the owner's token, then by the owner's change count. */
struct StatusVersion
{
    std::uint64_t token = 0; ///< log offset of the owner's fencing token
    std::uint64_t local = 0; ///< its counter of zone-local claims
    std::uint64_t change = 0;

    auto operator<=>(const StatusVersion &) const = default;
};

/** An owner's report of its target. */
struct TargetStatus
{
    TargetId target;
    VmId owner;
    StatusVersion version;
    std::string zone;
    int slots = 0;
    int maxBatch = 1;
    int running = 0;
    bool usable = true;
    bool leaving = false;
    std::vector<AdapterId> resident;
    std::vector<AdapterId> pinned;
    AdapterId loading;
};

/** A target for a request and the VM that owns it. */
struct TargetRoute
{
    TargetId target;
    VmId owner;
};

/**
 * Index of the targets that hold each adapter, as their owners last reported. A stale entry costs a
 * redirected attempt, never a wrong answer. Sharded by adapter, with a lock for each shard;
 * choose() allocates nothing.
 */
class ResidentDirectory
{
public:
    explicit ResidentDirectory(std::string ownZone);

    /** Applies a report; false, with nothing changed, if it is not newer than the last one. */
    bool apply(const TargetStatus &status);

    void remove(TargetId target);

    /** Marks a target as leaving or not by the VM list, independently of its owner's reports. */
    void setLeaving(TargetId target, bool leaving);

    /** The best target that holds the adapter, by the policy and the weights. */
    std::optional<TargetRoute> choose(AdapterId adapter, const PlacementPolicy &policy,
                                      double stallWeight, double batchWeight) const;

    /** The target did not hold the adapter: removes the entry until a newer report names it. */
    void removeHolder(AdapterId adapter, TargetId target);

    /** Counts a request sent since the target's report, so that not all go to the same target. */
    void recordSent(TargetId target);

    std::vector<TargetStatus> statuses() const;
    std::optional<TargetStatus> statusOf(TargetId target) const;
    std::vector<TargetRoute> holdersOf(AdapterId adapter) const;

private:
    static constexpr std::size_t shardCount = 64;
    static constexpr std::size_t maxCandidates = 32;

    struct Entry
    {
        mutable std::mutex mutex;
        TargetStatus status;
        std::atomic<int> running{0};
        std::atomic<int> sentSinceReport{0};
        std::atomic<bool> takesWork{true};
        std::atomic<int> maxBatch{1};
        std::atomic<bool> sameZone{false};
        std::atomic<std::uint64_t> owner{0};
        TargetId target; ///< never changes
        bool leavingByVmList = false;
    };
    using EntryPtr = std::shared_ptr<Entry>;

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<AdapterId, std::vector<EntryPtr>> holders;
    };

    Shard &shardOf(AdapterId adapter);
    const Shard &shardOf(AdapterId adapter) const;
    EntryPtr find(TargetId target) const;
    EntryPtr findOrAdd(TargetId target);
    void link(AdapterId adapter, const EntryPtr &entry);
    void unlink(AdapterId adapter, const EntryPtr &entry);

    std::string ownZone;
    std::array<Shard, shardCount> shards;
    mutable std::shared_mutex targetsMutex;
    std::unordered_map<TargetId, EntryPtr> targets;
};

} // namespace monsoonbay
