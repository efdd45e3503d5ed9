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
    int lingering = 0; ///< requests whose connection broke and which may still run
    int reported = 0; ///< running requests of the adapter in the engine's last report
    Instant since{};
    std::uint64_t generation = 0; ///< grows with every load, to tell it from earlier ones

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

/** An engine's report of its state. */
struct SlotReport
{
    std::uint64_t epoch = 0; ///< changes with a restart
    Instant askedAt{}; ///< when the request for this report was sent
    int running = 0;
    int queued = 0;
    std::vector<ReportedSlot> resident;
};

/**
 * The slots of one engine, kept by its owner. Only the owner knows every request that runs there,
 * so whether an adapter may be evicted is decided only here.
 */
struct SlotTable
{
    int slots = 0;
    std::vector<OwnedSlot> resident;
    std::optional<AdapterRef> loading;
    std::uint64_t epoch = 0;
    bool reported = false; ///< a report has arrived since the claim
    int running = 0; ///< dispatched by this owner and not ended
    std::uint64_t revision = 0; ///< grows with every change of what is resident
    std::uint64_t nextGeneration = 1;
};

/** Keeps an adapter of one generation in its slot. */
struct SlotPin
{
    AdapterId adapter;
    std::uint64_t generation = 0;
};

/** Pins the adapter in its slot for one request; nothing if it is not resident. */
std::optional<SlotPin> pin(SlotTable &table, AdapterId adapter);

/** Releases a pin. `ended`: the engine is known to have ended the request. */
void unpin(SlotTable &table, const SlotPin &held, bool ended);

/** The engine reported that it does not hold the adapter: removes it unless it is pinned. */
void markNotResident(SlotTable &table, AdapterId adapter);

/**
 * Begins a load and evicts `evict` if its value is not 0. Refuses, with nothing changed, if no
 * report has arrived yet, the victim is in use, no slot is free, or a load is in progress. Ok with
 * nothing changed if the adapter is resident already.
 */
ErrorKind beginLoad(SlotTable &table, const AdapterRef &adapter, AdapterId evict);

void endLoad(SlotTable &table, bool loaded, Instant now);

/** Applies an engine's report; returns true if the engine restarted since the last one. */
bool applyReport(SlotTable &table, const SlotReport &report, Instant now);

const OwnedSlot *findSlot(const SlotTable &table, AdapterId adapter);

} // namespace monsoonbay
