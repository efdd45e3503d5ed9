#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** One adapter in a slot of an owned engine. */
struct OwnedSlot
{
    AdapterRef adapter;
    AdapterId id;
    int pins = 0; ///< requests dispatched by this owner and not ended
    int lingering = 0; ///< requests whose hop broke and which may still run
    int reported = 0; ///< requests that the engine says it runs on it
    Instant since{};
    std::uint64_t generation = 0; ///< tells this stay in the slot from earlier ones

    auto operator<=>(const OwnedSlot &) const = default;

    bool busy() const noexcept
    {
        return this->pins > 0 || this->lingering > 0 || this->reported > 0;
    }
};

/** An adapter that an engine reports as resident. */
struct ReportedSlot
{
    AdapterRef adapter;
    int running = 0;

    auto operator<=>(const ReportedSlot &) const = default;
};

/** An engine's word about itself. */
struct SlotReport
{
    std::uint64_t epoch = 0; ///< changes with a restart
    Instant askedAt{}; ///< when the request for this report was sent
    int running = 0;
    int queued = 0;
    std::vector<ReportedSlot> resident;
};

/**
 * The slots of one engine as its owner keeps them. Only the owner knows every request that runs
 * there, so only here is it decided whether an adapter may be evicted.
 */
struct SlotTable
{
    int slots = 0;
    std::vector<OwnedSlot> resident;
    std::optional<AdapterRef> loading;
    std::uint64_t epoch = 0;
    bool reported = false; ///< a report has been seen since the claim
    int running = 0; ///< dispatched by this owner and not ended
    std::uint64_t revision = 0; ///< grows with every change of what is resident
    std::uint64_t nextGeneration = 1;
};

/** Holds one stay of an adapter in its slot. */
struct SlotPin
{
    AdapterId adapter;
    std::uint64_t generation = 0;
};

/** Holds the adapter in its slot for one request; nothing if it is not resident. */
std::optional<SlotPin> pin(SlotTable &table, AdapterId adapter);

/** Ends a pin. `ended` tells that the engine is known to have ended the request. */
void unpin(SlotTable &table, const SlotPin &held, bool ended);

/** Takes back an adapter from the table that the engine says it does not hold. */
void markNotResident(SlotTable &table, AdapterId adapter);

/**
 * Begins a load, evicting `evict` if its value is not 0. Refuses, with nothing changed, if the
 * victim is in use, no slot is free, or a load is under way.
 */
ErrorKind beginLoad(SlotTable &table, const AdapterRef &adapter, AdapterId evict);

void endLoad(SlotTable &table, bool loaded, Instant now);

/** Takes the engine's word; returns true if the engine restarted since the last one. */
bool applyReport(SlotTable &table, const SlotReport &report, Instant now);

const OwnedSlot *findSlot(const SlotTable &table, AdapterId adapter);

} // namespace monsoonbay
