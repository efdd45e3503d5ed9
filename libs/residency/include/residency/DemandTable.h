#pragma once

#include <cstdint>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Time constants of the demand estimate. */
struct DemandConfig
{
    double slowSeconds = 1800; ///< decay time of the steady popularity
    double fastSeconds = 30; ///< decay time of the recent popularity
    double forgetFactor = 0.05; ///< kept part of a rate that was not confirmed since a shift
    double shiftDrift = 0.2; ///< drop of the hit ratio that is not taken for a shift yet
    double shiftThreshold = 7; ///< cumulative sum of unexpected misses that means a shift
    double shiftSuspicion = 2.5; ///< sum above which recency is trusted more than rates
    double usualHitsSmoothing = 0.002; ///< weight of one request in the usual hit ratio
};

/** Demand of one adapter; 24 bytes, so that a table of 67,000 takes about 3 MB. */
struct DemandEntry
{
    AdapterId adapter;
    float slow = 0; ///< decayed count of requests
    float fast = 0; ///< the same with the faster decay
    std::uint32_t lastTick = 0; ///< 1/16 s since the table's start, plus one; 0: empty
};

/** Decayed request counts by adapter: open addressing, allocates only when it grows. */
struct DemandTable
{
    DemandConfig config;
    Instant start{};
    std::vector<DemandEntry> slots;
    std::size_t used = 0;
    double slowWindow = 0; ///< effective seconds that the slow counts cover
    double slowTotal = 0; ///< decayed count over all adapters
    Instant windowAt{};

    // Detection of popularity shifts by a cumulative sum (CUSUM) of unexpected misses.
    double usualHitShare = 0;
    double unexpectedMisses = 0;
    Instant missesRoseAt{}; ///< when the sum was last zero
    std::uint64_t shiftsSeen = 0;
};

DemandTable makeDemandTable(const DemandConfig &config, Instant now);

/** Counts requests for an adapter. */
void recordRequests(DemandTable &table, AdapterId adapter, int count, Instant now);

/**
 * Records whether a request found its adapter resident. Far more misses than usual mean that
 * popularity has shifted: the slow counts are cut, so that present demand soon outweighs the past.
 */
void recordHit(DemandTable &table, bool hit, Instant now);

/** True while misses accumulate but are too few yet for a shift: rates may be out of date. */
bool shiftSuspected(const DemandTable &table);

/** Expected requests a second by the slow count, discounted if the adapter is silent for long. */
double rateOf(const DemandTable &table, AdapterId adapter, Instant now);

/** Requests a second by the fast count, about the last half minute. */
double fastRateOf(const DemandTable &table, AdapterId adapter, Instant now);

/** Time of the adapter's last request; the table's start if there was none. */
Instant lastRequestOf(const DemandTable &table, AdapterId adapter);

/** Adapters with the highest rates, highest first. */
std::vector<AdapterId> hottest(const DemandTable &table, std::size_t count, Instant now);

/** Memory of the table in bytes. */
std::size_t bytesOf(const DemandTable &table) noexcept;

} // namespace monsoonbay
