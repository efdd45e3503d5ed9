#include "residency/SlotTable.h"

#include <algorithm>
#include <cassert>

namespace monsoonbay {

namespace {

OwnedSlot *slotOf(SlotTable &table, AdapterId adapter)
{
    const auto found =
        std::find_if(table.resident.begin(), table.resident.end(),
                     [adapter](const OwnedSlot &slot) { return slot.id == adapter; });
    return found == table.resident.end() ? nullptr : &*found;
}

int freeSlots(const SlotTable &table)
{
    return table.slots - static_cast<int>(table.resident.size()) - (table.loading ? 1 : 0);
}

void addSlot(SlotTable &table, const AdapterRef &adapter, int reported, Instant now)
{
    OwnedSlot slot;
    slot.adapter = adapter;
    slot.id = adapter.id();
    slot.reported = reported;
    slot.since = now;
    slot.generation = table.nextGeneration++;
    table.resident.push_back(slot);
    ++table.revision;
}

const ReportedSlot *reportOf(const SlotReport &report, const AdapterRef &adapter)
{
    const auto found =
        std::find_if(report.resident.begin(), report.resident.end(),
                     [&adapter](const ReportedSlot &slot) { return slot.adapter == adapter; });
    return found == report.resident.end() ? nullptr : &*found;
}

// A slot that was loaded after the report was requested, or is pinned, is newer than the report.
void reconcile(SlotTable &table, const SlotReport &report, Instant now)
{
    for (const ReportedSlot &reported : report.resident) {
        OwnedSlot *slot = slotOf(table, reported.adapter.id());
        if (slot == nullptr) {
            const bool isLoading = table.loading.has_value();
            if (isLoading)
                continue;
            addSlot(table, reported.adapter, reported.running, now);
            continue;
        }
        slot->reported = reported.running;
        if (reported.running == 0)
            slot->lingering = 0;
    }
    const auto stale = [&](const OwnedSlot &slot) {
        return slot.since < report.askedAt && slot.pins == 0
            && reportOf(report, slot.adapter) == nullptr;
    };
    table.revision += std::erase_if(table.resident, stale);
}

} // namespace

std::optional<SlotPin> pin(SlotTable &table, AdapterId adapter)
{
    OwnedSlot *slot = slotOf(table, adapter);
    if (slot == nullptr)
        return std::nullopt;
    ++slot->pins;
    ++table.running;
    return SlotPin{adapter, slot->generation};
}

void unpin(SlotTable &table, const SlotPin &held, bool ended)
{
    --table.running;
    OwnedSlot *slot = slotOf(table, held.adapter);
    // After a restart of the engine the slot is gone with all requests on it, or the adapter was
    // loaded again. The pins of that later load belong to other requests: with one too few it would
    // be evicted under a running request.
    if (slot == nullptr || slot->generation != held.generation)
        return;
    assert(slot->pins > 0);
    --slot->pins;
    if (!ended)
        ++slot->lingering;
}

void markNotResident(SlotTable &table, AdapterId adapter)
{
    const auto idle = [adapter](const OwnedSlot &slot) {
        return slot.id == adapter && slot.pins == 0;
    };
    table.revision += std::erase_if(table.resident, idle);
}

ErrorKind beginLoad(SlotTable &table, const AdapterRef &adapter, AdapterId evict)
{
    if (!table.reported || table.loading)
        return ErrorKind::Overloaded;
    if (findSlot(table, adapter.id()) != nullptr)
        return ErrorKind::Ok;
    if (evict.value == 0) {
        if (freeSlots(table) <= 0)
            return ErrorKind::Overloaded;
        table.loading = adapter;
        return ErrorKind::Ok;
    }
    const OwnedSlot *victim = findSlot(table, evict);
    if (victim != nullptr && victim->busy())
        return ErrorKind::Overloaded;
    if (victim == nullptr && freeSlots(table) <= 0)
        return ErrorKind::Overloaded;
    table.revision += std::erase_if(table.resident, [evict](const OwnedSlot &slot) {
        assert(slot.id != evict || !slot.busy());
        return slot.id == evict;
    });
    table.loading = adapter;
    return ErrorKind::Ok;
}

void endLoad(SlotTable &table, bool loaded, Instant now)
{
    if (!table.loading)
        return;
    const AdapterRef adapter = *table.loading;
    table.loading.reset();
    if (!loaded || findSlot(table, adapter.id()) != nullptr)
        return;
    addSlot(table, adapter, 0, now);
}

bool applyReport(SlotTable &table, const SlotReport &report, Instant now)
{
    const bool first = !table.reported;
    const bool restarted = !first && report.epoch != table.epoch;
    if (first || restarted) {
        table.resident.clear();
        for (const ReportedSlot &reported : report.resident)
            addSlot(table, reported.adapter, reported.running, now);
        ++table.revision;
    } else {
        reconcile(table, report, now);
    }
    table.epoch = report.epoch;
    table.reported = true;
    return restarted;
}

const OwnedSlot *findSlot(const SlotTable &table, AdapterId adapter)
{
    return slotOf(const_cast<SlotTable &>(table), adapter);
}

} // namespace monsoonbay
