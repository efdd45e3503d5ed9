#include "serving/TargetTable.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace monsoonbay {

namespace {

/** Longer than a peer that had an outage keeps using a target whose entry has expired. */
constexpr Duration droppedRetention = std::chrono::minutes(1);

} // namespace

std::string adapterKey(const std::string &model, const std::string &adapter)
{
    return model + "/" + adapter;
}

// The times come from the target's own clock. They are only compared with one another and never
// with a VM's clock, which may jump.
StartOrder compareStarts(std::int64_t knownStart, std::int64_t offeredStart) noexcept
{
    const bool bothKnown = knownStart != 0 && offeredStart != 0;
    if (!bothKnown || knownStart == offeredStart)
        return StartOrder::Same;
    return offeredStart > knownStart ? StartOrder::Newer : StartOrder::Older;
}

void recordListRead(TargetTable &table, Instant now)
{
    const bool failed = table.failingSince != Instant{};
    if (failed && now - table.failingSince > outageThreshold)
        table.outageEndedAt = now;
    table.failingSince = Instant{};
    table.lastReadAt = now;
    table.lastOwnReadAt = now;
}

// Only failed reads count as an outage. A VM that takes over reading from another may not have read
// for long; taking that for an outage would make it delay real removals.
void recordListFailure(TargetTable &table, Instant now)
{
    const bool known = table.lastReadAt != Instant{};
    if (known && table.failingSince == Instant{})
        table.failingSince = now;
}

void recordPeerListRead(TargetTable &table, Instant readAt, Duration failing, Instant now)
{
    // A peer that does not read itself knows of no failure; only a later read ends an outage.
    if (readAt > table.failingSince)
        table.failingSince = Instant{};
    table.lastReadAt = std::max(table.lastReadAt, readAt);
    if (failing > Duration::zero() && table.failingSince == Instant{})
        table.failingSince = now - failing;
}

bool isListStale(const TargetTable &table, Instant now) noexcept
{
    return table.lastReadAt != Instant{} && now - table.lastReadAt > maxListAge;
}

void recordListed(TargetTable &table, TargetEntry entry)
{
    TargetRecord &record = table.records[entry.id];
    const StartOrder age = compareStarts(record.entry.startTime, entry.startTime);
    if (age == StartOrder::Older)
        return;
    // A target that has announced that it is leaving never stays; an outdated entry from a slow
    // read must not revert that. Only a new start of the target does.
    const bool leaving = entry.leaving || (record.entry.leaving && age == StartOrder::Same);
    const std::int64_t startTime = std::max(record.entry.startTime, entry.startTime);
    record.entry = std::move(entry);
    record.entry.startTime = startTime;
    record.entry.leaving = leaving;
    record.removed = false;
    record.expiredAt = Instant{};
    table.removedAt.erase(record.entry.id);
}

// While the list could not be read, targets could not renew their entries either, and these may
// have expired although the targets are healthy. Removing all of them would leave a service without
// targets. A removal read right after an outage therefore takes effect only after the time within
// which live targets are listed again.
void recordRemoved(TargetTable &table, const std::string &id, Instant now)
{
    const auto found = table.records.find(id);
    if (found == table.records.end())
        return;
    TargetRecord &record = found->second;
    const bool inOutage =
        table.failingSince != Instant{} && now - table.failingSince > outageThreshold;
    const bool afterOutage =
        inOutage || (table.outageEndedAt != Instant{} && now - table.outageEndedAt < relistGrace);
    if (afterOutage && !record.entry.leaving) {
        if (record.expiredAt == Instant{})
            record.expiredAt = now;
        return;
    }
    record.removed = true;
}

void recordFullList(TargetTable &table, std::vector<TargetEntry> entries,
                    const std::vector<std::string> &unreadable, Instant now)
{
    std::unordered_set<std::string> listed(unreadable.begin(), unreadable.end());
    for (TargetEntry &entry : entries) {
        listed.insert(entry.id);
        recordListed(table, std::move(entry));
    }
    for (const auto &[id, record] : table.records) {
        if (listed.count(id) == 0)
            recordRemoved(table, id, now);
    }
}

std::vector<std::string> removeGone(TargetTable &table, Instant now)
{
    std::vector<std::string> dropped;
    for (const auto &[id, record] : table.records) {
        // Live targets are listed again within that time of the outage's end, whenever the removal
        // was read.
        const bool afterOutage = record.expiredAt - table.outageEndedAt < relistGrace;
        const Instant countsFrom = afterOutage ? table.outageEndedAt : record.expiredAt;
        const bool expired = record.expiredAt != Instant{} && now - countsFrom >= relistGrace;
        if (record.removed || expired)
            dropped.push_back(id);
    }
    for (const std::string &id : dropped) {
        table.records.erase(id);
        table.removedAt[id] = now;
    }
    std::erase_if(table.removedAt,
                  [now](const auto &entry) { return now - entry.second > droppedRetention; });
    return dropped;
}

bool wasRemoved(const TargetTable &table, const std::string &id)
{
    return table.removedAt.count(id) > 0;
}

bool mayTakeWork(const TargetRecord &record) noexcept
{
    return !record.entry.leaving && !record.removed;
}

} // namespace monsoonbay
