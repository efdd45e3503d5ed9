#include "routing/ResidentDirectory.h"

#include <algorithm>

namespace monsoonbay {

ResidentDirectory::ResidentDirectory(std::string ownZone)
    : ownZone(std::move(ownZone))
{ }

ResidentDirectory::Shard &ResidentDirectory::shardOf(AdapterId adapter)
{
    return this->shards[adapter.value % shardCount];
}

const ResidentDirectory::Shard &ResidentDirectory::shardOf(AdapterId adapter) const
{
    return this->shards[adapter.value % shardCount];
}

ResidentDirectory::EntryPtr ResidentDirectory::find(TargetId target) const
{
    const std::shared_lock guard(this->targetsMutex);
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : found->second;
}

ResidentDirectory::EntryPtr ResidentDirectory::findOrAdd(TargetId target)
{
    if (EntryPtr known = this->find(target))
        return known;
    const std::unique_lock guard(this->targetsMutex);
    EntryPtr &entry = this->targets[target];
    if (!entry) {
        entry = std::make_shared<Entry>();
        entry->target = target;
    }
    return entry;
}

void ResidentDirectory::link(AdapterId adapter, const EntryPtr &entry)
{
    Shard &shard = this->shardOf(adapter);
    const std::lock_guard guard(shard.mutex);
    std::vector<EntryPtr> &holders = shard.holders[adapter];
    if (std::find(holders.begin(), holders.end(), entry) == holders.end())
        holders.push_back(entry);
}

void ResidentDirectory::unlink(AdapterId adapter, const EntryPtr &entry)
{
    Shard &shard = this->shardOf(adapter);
    const std::lock_guard guard(shard.mutex);
    const auto found = shard.holders.find(adapter);
    if (found == shard.holders.end())
        return;
    std::erase(found->second, entry);
    if (found->second.empty())
        shard.holders.erase(found);
}

// The entry's lock is released before the shards' locks are taken, so no two of them are ever held
// at once. Between the two a reader may see a stale set of holders, which costs it a redirected
// attempt.
bool ResidentDirectory::apply(const TargetStatus &status)
{
    const EntryPtr entry = this->findOrAdd(status.target);
    std::vector<AdapterId> removed;
    std::vector<AdapterId> added;
    {
        const std::lock_guard guard(entry->mutex);
        if (status.version <= entry->status.version && entry->status.owner.value != 0)
            return false;
        const auto missingFrom = [](const std::vector<AdapterId> &list) {
            return [&list](AdapterId adapter) {
                return std::find(list.begin(), list.end(), adapter) == list.end();
            };
        };
        std::copy_if(entry->status.resident.begin(), entry->status.resident.end(),
                     std::back_inserter(removed), missingFrom(status.resident));
        added = status.resident;
        entry->status = status;
        entry->running.store(status.running, std::memory_order_relaxed);
        entry->sentSinceReport.store(0, std::memory_order_relaxed);
        entry->takesWork.store(status.usable && !status.leaving && !entry->leavingByVmList);
        entry->maxBatch = std::max(1, status.maxBatch);
        entry->sameZone = status.zone == this->ownZone;
        entry->owner = status.owner.value;
    }
    for (const AdapterId adapter : removed)
        this->unlink(adapter, entry);
    for (const AdapterId adapter : added)
        this->link(adapter, entry);
    return true;
}

void ResidentDirectory::remove(TargetId target)
{
    const EntryPtr entry = this->find(target);
    if (!entry)
        return;
    {
        const std::unique_lock guard(this->targetsMutex);
        this->targets.erase(target);
    }
    std::vector<AdapterId> removed;
    {
        const std::lock_guard guard(entry->mutex);
        removed.swap(entry->status.resident);
    }
    for (const AdapterId adapter : removed)
        this->unlink(adapter, entry);
}

void ResidentDirectory::setLeaving(TargetId target, bool leaving)
{
    const EntryPtr entry = this->find(target);
    if (!entry)
        return;
    const std::lock_guard guard(entry->mutex);
    entry->leavingByVmList = leaving;
    entry->takesWork.store(entry->status.usable && !entry->status.leaving && !leaving);
}

std::optional<TargetRoute> ResidentDirectory::choose(AdapterId adapter,
                                                     const PlacementPolicy &policy,
                                                     double stallWeight, double batchWeight) const
{
    std::array<RouteCandidate, maxCandidates> candidates;
    std::array<VmId, maxCandidates> owners;
    std::size_t count = 0;
    {
        const Shard &shard = this->shardOf(adapter);
        const std::lock_guard guard(shard.mutex);
        const auto found = shard.holders.find(adapter);
        if (found == shard.holders.end())
            return std::nullopt;
        for (const EntryPtr &entry : found->second) {
            if (!entry->takesWork.load(std::memory_order_relaxed) || count == maxCandidates)
                continue;
            RouteCandidate &candidate = candidates[count];
            candidate.target = entry->target;
            candidate.resident = true;
            candidate.running = entry->running.load(std::memory_order_relaxed)
                + entry->sentSinceReport.load(std::memory_order_relaxed);
            candidate.maxBatch = entry->maxBatch;
            candidate.sameZone = entry->sameZone;
            owners[count] = VmId{entry->owner};
            ++count;
        }
    }
    const std::size_t best =
        policy.route(std::span(candidates.data(), count), stallWeight, batchWeight);
    if (best >= count)
        return std::nullopt;
    return TargetRoute{candidates[best].target, owners[best]};
}

void ResidentDirectory::removeHolder(AdapterId adapter, TargetId target)
{
    const EntryPtr entry = this->find(target);
    if (!entry)
        return;
    {
        const std::lock_guard guard(entry->mutex);
        std::erase(entry->status.resident, adapter);
    }
    this->unlink(adapter, entry);
}

void ResidentDirectory::recordSent(TargetId target)
{
    const EntryPtr entry = this->find(target);
    if (entry)
        entry->sentSinceReport.fetch_add(1, std::memory_order_relaxed);
}

std::vector<TargetStatus> ResidentDirectory::statuses() const
{
    std::vector<EntryPtr> entries;
    {
        const std::shared_lock guard(this->targetsMutex);
        for (const auto &[target, entry] : this->targets)
            entries.push_back(entry);
    }
    std::vector<TargetStatus> statuses;
    for (const EntryPtr &entry : entries) {
        const std::lock_guard guard(entry->mutex);
        if (entry->status.owner.value == 0)
            continue;
        statuses.push_back(entry->status);
        statuses.back().leaving = entry->status.leaving || entry->leavingByVmList;
    }
    std::sort(statuses.begin(), statuses.end(),
              [](const TargetStatus &a, const TargetStatus &b) { return a.target < b.target; });
    return statuses;
}

std::optional<TargetStatus> ResidentDirectory::statusOf(TargetId target) const
{
    const EntryPtr entry = this->find(target);
    if (!entry)
        return std::nullopt;
    const std::lock_guard guard(entry->mutex);
    return entry->status;
}

std::vector<TargetRoute> ResidentDirectory::holdersOf(AdapterId adapter) const
{
    std::vector<EntryPtr> entries;
    {
        const Shard &shard = this->shardOf(adapter);
        const std::lock_guard guard(shard.mutex);
        const auto found = shard.holders.find(adapter);
        if (found != shard.holders.end())
            entries = found->second;
    }
    std::vector<TargetRoute> routes;
    for (const EntryPtr &entry : entries) {
        const std::lock_guard guard(entry->mutex);
        routes.push_back(TargetRoute{entry->status.target, entry->status.owner});
    }
    return routes;
}

} // namespace monsoonbay
