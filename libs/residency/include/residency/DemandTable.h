#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Time constants of the demand estimate. */
struct DemandConfig
{
    double slowSeconds = 1800; ///< memory of the steady popularity
    double fastSeconds = 30; ///< memory of a flash
    double forgetFactor = 0.05; ///< of a rate that was not confirmed since a popularity shift
    double shiftDrift = 0.2; ///< fall of the share of hits that is not yet taken for a shift
    double shiftThreshold = 7; ///< unexpected misses in a row, net of hits, that are a shift
    double shiftSuspicion = 2.5; ///< from here on a shift is likely enough to trust recency
    double usualHitsSmoothing = 0.002; ///< weight of one request in the usual share of hits
};

/** What is known of one adapter's demand; 24 bytes, so that 67,000 take about 3 MB. */
struct DemandEntry
{
    AdapterId adapter;
    float slow = 0; ///< decayed count of requests
    float fast = 0;
    std::uint32_t lastTick = 0; ///< sixteenths of a second since the table's start, plus one
};

/** Decayed request counts by adapter: open addressing, no allocation but when it grows. */
struct DemandTable
{
    DemandConfig config;
    Instant start{};
    std::vector<DemandEntry> slots;
    std::size_t used = 0;
    double slowWindow = 0; ///< seconds of evidence behind the slow counts
    double slowTotal = 0; ///< decayed count over all adapters
    Instant windowAt{};

    // Shift detection by a cumulative sum of unexpected misses.
    double usualHitShare = 0;
    double unexpectedMisses = 0;
    Instant missesRoseAt{}; ///< when the sum last was zero
    std::uint64_t shiftsSeen = 0;
};

DemandTable makeDemandTable(const DemandConfig &config, Instant now);

/** Counts requests for an adapter. */
void recordRequests(DemandTable &table, AdapterId adapter, int count, Instant now);

/**
 * Tells whether a request found its adapter resident. A run of misses far beyond the usual means
 * that popularity has shifted: the slow memory is cut so that what is asked for now soon
 * outweighs what was asked for before.
 */
void recordHit(DemandTable &table, bool hit, Instant now);

/** True while misses pile up, but too few yet to call it a shift: rates may be out of date. */
bool shiftSuspected(const DemandTable &table);

/** Expected requests a second, from the slow memory, discounted by an unlikely long silence. */
double rateOf(const DemandTable &table, AdapterId adapter, Instant now);

/** Requests a second over the last half minute or so. */
double fastRateOf(const DemandTable &table, AdapterId adapter, Instant now);

/** When the adapter was last asked for; the table's start if never. */
Instant lastRequestOf(const DemandTable &table, AdapterId adapter);

/** Adapters with the highest rates, most first. */
std::vector<AdapterId> hottest(const DemandTable &table, std::size_t count, Instant now);

/** Bytes of the table's state. */
std::size_t bytesOf(const DemandTable &table) noexcept;

} // namespace monsoonbay
