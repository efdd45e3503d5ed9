#include "serving/EngineLog.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/Ids.h"

namespace monsoonbay {

namespace {

/** Limit of remembered removals per record; readers that miss older ones get the whole record. */
constexpr std::size_t maxRemoved = 64;

bool hasSameHeader(const EngineRecord &left, const EngineRecord &right)
{
    return std::tie(left.holder, left.startTime, left.models)
        == std::tie(right.holder, right.startTime, right.models);
}

} // namespace

// A sum does not depend on the order of the residents, which differs between VMs.
std::uint64_t digestOf(const EngineRecord &record)
{
    std::uint64_t digest =
        stableHash(record.holder.text(), static_cast<std::uint64_t>(record.startTime));
    for (const std::string &model : record.models)
        digest += stableHash(model, 1);
    for (const auto &[adapter, version] : record.resident)
        digest += stableHash(adapter, static_cast<std::uint64_t>(version) + 2);
    return digest;
}

std::optional<EngineRecord> applyDocumentDelta(const EngineRecord *known,
                                               const EngineChange &change)
{
    if (change.isSnapshot)
        return change.record;
    if (known == nullptr)
        return std::nullopt;
    EngineRecord record = change.record;
    if (change.sameHeader) {
        record.holder = known->holder;
        record.startTime = known->startTime;
        record.models = known->models;
    }
    record.resident = known->resident;
    for (const std::string &adapter : change.removed)
        record.resident.erase(adapter);
    for (const auto &[adapter, version] : change.record.resident)
        record.resident[adapter] = version;
    if (digestOf(record) != change.digest)
        return std::nullopt;
    return record;
}

void EngineLog::recordSlotChanges(Parts &parts, const EngineRecord &before,
                                  const EngineRecord &after, std::uint64_t number)
{
    for (const auto &[adapter, version] : after.resident) {
        const auto known = before.resident.find(adapter);
        if (known != before.resident.end() && known->second == version)
            continue;
        parts.there[adapter] = number;
        parts.gone.erase(adapter);
    }
    for (const auto &[adapter, version] : before.resident) {
        if (after.resident.count(adapter) > 0)
            continue;
        parts.there.erase(adapter);
        parts.gone[adapter] = number;
    }
    while (parts.gone.size() > maxRemoved) {
        const auto oldest = std::min_element(
            parts.gone.begin(), parts.gone.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        parts.wholeSince = std::max(parts.wholeSince, oldest->second);
        parts.gone.erase(oldest);
    }
}

bool EngineLog::set(const std::string &target, EngineRecord record, ChangeCounter &counter)
{
    const EngineRecord *const known = this->records.find(target);
    const std::uint64_t number = counter.last + 1;
    Parts &changed = this->parts[target];
    if (known == nullptr) {
        changed = Parts();
        changed.wholeSince = number;
    } else {
        if (!hasSameHeader(*known, record))
            changed.head = number;
        recordSlotChanges(changed, *known, record, number);
    }
    changed.digest = digestOf(record);
    return this->records.set(target, std::move(record), counter);
}

void EngineLog::erase(const std::string &target)
{
    this->records.erase(target);
    this->parts.erase(target);
}

// A relay sends some thousand changes a second, so fields that a delta leaves out are not copied.
EngineChange EngineLog::changeSince(const std::string &target, std::uint64_t seen) const
{
    EngineChange change;
    const EngineRecord &record = *this->records.find(target);
    const Parts &changed = this->parts.at(target);
    if (seen < changed.wholeSince) {
        change.record = record;
        return change;
    }
    change.isSnapshot = false;
    change.sameHeader = changed.head <= seen;
    change.digest = changed.digest;
    if (!change.sameHeader) {
        change.record.holder = record.holder;
        change.record.startTime = record.startTime;
        change.record.models = record.models;
    }
    change.record.revision = record.revision;
    change.record.holderLive = record.holderLive;
    change.record.incoming = record.incoming;
    change.record.loading = record.loading;
    change.record.fetchMs = record.fetchMs;
    change.record.copyMs = record.copyMs;
    change.record.copiesKept = record.copiesKept;
    for (const auto &[adapter, changedAt] : changed.there) {
        if (changedAt > seen)
            change.record.resident[adapter] = record.resident.at(adapter);
    }
    for (const auto &[adapter, goneAt] : changed.gone) {
        if (goneAt > seen)
            change.removed.push_back(adapter);
    }
    return change;
}

} // namespace monsoonbay
