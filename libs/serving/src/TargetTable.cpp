#include "serving/TargetTable.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace monsoonbay {

namespace {

/** Longer than a peer that had an outage keeps using a target whose entry has expired. */
constexpr Duration droppedRemembered = std::chrono::minutes(1);

} // namespace

std::string adapterKey(const std::string &model, const std::string &adapter)
{
    return model + "/" + adapter;
}

// The times come from the target's own clock. They are only compared with one another and never
// with a VM's clock, which may jump.
StartOrder compareStarts(std::int64_t knownBorn, std::int64_t offeredBorn) noexcept
{
    const bool bothSay = knownBorn != 0 && offeredBorn != 0;
    if (!bothSay || knownBorn == offeredBorn)
        return StartOrder::Same;
    return offeredBorn > knownBorn ? StartOrder::Newer : StartOrder::Older;
}

void recordListRead(TargetTable &book, Instant now)
{
    const bool failed = book.failingSince != Instant{};
    if (failed && now - book.failingSince > outageThreshold)
        book.outageEndedAt = now;
    book.failingSince = Instant{};
    book.lastReadAt = now;
    book.lastOwnReadAt = now;
}

// Only failed reads count as an outage. A VM that takes over reading from another may not have read
// for long; taking that for an outage would make it delay real removals.
void recordListFailure(TargetTable &book, Instant now)
{
    const bool known = book.lastReadAt != Instant{};
    if (known && book.failingSince == Instant{})
        book.failingSince = now;
}

void recordPeerListRead(TargetTable &book, Instant readAt, Duration failing, Instant now)
{
    // A peer that does not read itself knows of no failure; only a later read ends an outage.
    if (readAt > book.failingSince)
        book.failingSince = Instant{};
    book.lastReadAt = std::max(book.lastReadAt, readAt);
    if (failing > Duration::zero() && book.failingSince == Instant{})
        book.failingSince = now - failing;
}

bool isListStale(const TargetTable &book, Instant now) noexcept
{
    return book.lastReadAt != Instant{} && now - book.lastReadAt > maxListAge;
}

void recordListed(TargetTable &book, TargetEntry entry)
{
    TargetRecord &record = book.records[entry.id];
    const StartOrder age = compareStarts(record.entry.startTime, entry.startTime);
    if (age == StartOrder::Older)
        return;
    // A target that has announced that it is leaving never stays; an outdated entry from a slow
    // read must not revert that. Only a new start of the target does.
    const bool leaving = entry.leaving || (record.entry.leaving && age == StartOrder::Same);
    const std::int64_t born = std::max(record.entry.startTime, entry.startTime);
    record.entry = std::move(entry);
    record.entry.startTime = born;
    record.entry.leaving = leaving;
    record.gone = false;
    record.expiredAt = Instant{};
    book.droppedAt.erase(record.entry.id);
}

// While the list could not be read, targets could not renew their entries either, and these may
// have expired although the targets are healthy. Removing all of them would leave a service without
// targets. A removal read right after an outage therefore takes effect only after the time within
// which live targets are listed again.
void recordRemoved(TargetTable &book, const std::string &id, Instant now)
{
    const auto found = book.records.find(id);
    if (found == book.records.end())
        return;
    TargetRecord &record = found->second;
    const bool inOutage =
        book.failingSince != Instant{} && now - book.failingSince > outageThreshold;
    const bool afterOutage =
        inOutage || (book.outageEndedAt != Instant{} && now - book.outageEndedAt < relistGrace);
    if (afterOutage && !record.entry.leaving) {
        if (record.expiredAt == Instant{})
            record.expiredAt = now;
        return;
    }
    record.gone = true;
}

void recordFullList(TargetTable &book, std::vector<TargetEntry> entries,
                    const std::vector<std::string> &unreadable, Instant now)
{
    std::unordered_set<std::string> listed(unreadable.begin(), unreadable.end());
    for (TargetEntry &entry : entries) {
        listed.insert(entry.id);
        recordListed(book, std::move(entry));
    }
    for (const auto &[id, record] : book.records) {
        if (listed.count(id) == 0)
            recordRemoved(book, id, now);
    }
}

std::vector<std::string> dropGone(TargetTable &book, Instant now)
{
    std::vector<std::string> dropped;
    for (const auto &[id, record] : book.records) {
        // Live targets are listed again within that time of the outage's end, whenever the removal
        // was read.
        const bool afterOutage = record.expiredAt - book.outageEndedAt < relistGrace;
        const Instant countsFrom = afterOutage ? book.outageEndedAt : record.expiredAt;
        const bool lapsed = record.expiredAt != Instant{} && now - countsFrom >= relistGrace;
        if (record.gone || lapsed)
            dropped.push_back(id);
    }
    for (const std::string &id : dropped) {
        book.records.erase(id);
        book.droppedAt[id] = now;
    }
    std::erase_if(book.droppedAt,
                  [now](const auto &entry) { return now - entry.second > droppedRemembered; });
    return dropped;
}

bool wasDropped(const TargetTable &book, const std::string &id)
{
    return book.droppedAt.count(id) > 0;
}

bool mayTakeWork(const TargetRecord &record) noexcept
{
    return !record.entry.leaving && !record.gone;
}

} // namespace monsoonbay
