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

/** Orders the news of one target: by the owner's token, then by the owner's count of changes. */
struct StatusVersion
{
    std::uint64_t token = 0;
    std::uint64_t local = 0;
    std::uint64_t change = 0;

    auto operator<=>(const StatusVersion &) const = default;
};

/** What an owner tells of its target. */
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

/** Where a request may go. */
struct TargetRoute
{
    TargetId target;
    VmId owner;
};

/**
 * Which targets hold which adapters, as the owners told last. A stale entry costs a bounce, never
 * a wrong answer. Sharded by adapter, each shard under its own lock; choosing allocates nothing.
 */
class ResidentDirectory
{
public:
    explicit ResidentDirectory(std::string ownZone);

    /** Takes newer news of a target; false, with nothing changed, if newer ones are known. */
    bool apply(const TargetStatus &status);

    void remove(TargetId target);

    /** Marks a target leaving or not, whatever its owner says. */
    void setLeaving(TargetId target, bool leaving);

    /** The best target that holds the adapter, by the policy and the weights. */
    std::optional<TargetRoute> choose(AdapterId adapter, const PlacementPolicy &policy,
                                      double stallWeight, double batchWeight) const;

    /** The target turned out not to hold the adapter: the entry goes, until newer news. */
    void removeHolder(AdapterId adapter, TargetId target);

    /** Counts what this VM sent to a target since its last report, or the reports' lag herds. */
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
