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
    double forgetFactor = 0.1; ///< what the slow memory keeps after a popularity shift
    int surpriseWindow = 48; ///< requests over which a shift is looked for
    double surpriseSigmas = 3.5; ///< how far hits may fall below the forecast before it is a shift
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

    // Shift detection: forecast and observed hits since the window began.
    int windowRequests = 0;
    double windowExpected = 0;
    double windowVariance = 0;
    int windowHits = 0;
    std::uint64_t shiftsSeen = 0;
};

DemandTable makeDemandTable(const DemandConfig &config, Instant now);

/** Counts requests for an adapter. */
void noteRequests(DemandTable &table, AdapterId adapter, int count, Instant now);

/**
 * Tells whether a request found its adapter resident and how likely the forecast said that was.
 * A run of misses that the forecast did not expect means that popularity has shifted: the slow
 * memory is cut so that what is asked for now soon outweighs what was asked for before.
 */
void noteHit(DemandTable &table, bool hit, double forecastHitShare, Instant now);

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
