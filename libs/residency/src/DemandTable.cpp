#include "residency/DemandTable.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

constexpr std::size_t firstCapacity = 64;
constexpr double ticksPerSecond = 16;
constexpr double minWindow = 5;
/** Prior probability that an adapter stays in demand over one mean gap between its requests. */
const double stayProbability = 0.97;

std::uint32_t tickOf(const DemandTable &table, Instant now)
{
    return static_cast<std::uint32_t>(toSeconds(now - table.start) * ticksPerSecond) + 1;
}

double secondsSince(const DemandTable &table, const DemandEntry &entry, Instant now)
{
    return std::max(0.0,
                    (tickOf(table, now) - static_cast<double>(entry.lastTick)) / ticksPerSecond);
}

std::size_t probeStart(const DemandTable &table, AdapterId adapter)
{
    return adapter.value & (table.slots.size() - 1);
}

const DemandEntry *findEntry(const DemandTable &table, AdapterId adapter)
{
    const std::size_t mask = table.slots.size() - 1;
    for (std::size_t index = probeStart(table, adapter);; index = (index + 1) & mask) {
        const DemandEntry &entry = table.slots[index];
        if (entry.lastTick == 0)
            return nullptr;
        if (entry.adapter == adapter)
            return &entry;
    }
}

void grow(DemandTable &table)
{
    std::vector<DemandEntry> old(table.slots.size() * 2);
    old.swap(table.slots);
    const std::size_t mask = table.slots.size() - 1;
    for (const DemandEntry &entry : old) {
        if (entry.lastTick == 0)
            continue;
        std::size_t index = probeStart(table, entry.adapter);
        while (table.slots[index].lastTick != 0)
            index = (index + 1) & mask;
        table.slots[index] = entry;
    }
}

DemandEntry &entryFor(DemandTable &table, AdapterId adapter, std::uint32_t tick)
{
    const bool full = table.used * 10 >= table.slots.size() * 7;
    if (full)
        grow(table);
    const std::size_t mask = table.slots.size() - 1;
    std::size_t index = probeStart(table, adapter);
    while (table.slots[index].lastTick != 0 && table.slots[index].adapter != adapter)
        index = (index + 1) & mask;
    DemandEntry &entry = table.slots[index];
    if (entry.lastTick == 0) {
        entry.adapter = adapter;
        entry.lastTick = tick;
        ++table.used;
    }
    return entry;
}

void advanceWindow(DemandTable &table, Instant now)
{
    const double passed = std::max(0.0, toSeconds(now - table.windowAt));
    const double kept = std::exp(-passed / table.config.slowSeconds);
    table.slowWindow = table.slowWindow * kept + table.config.slowSeconds * (1 - kept);
    table.slowTotal *= kept;
    table.windowAt = now;
}

// An adapter that was requested since the sum of misses began to rise is rated by that time alone;
// every other keeps a small part of its rate, in case the shift did not affect it.
void forget(DemandTable &table, Instant now)
{
    const double window = std::max(minWindow, toSeconds(now - table.missesRoseAt));
    const double kept = table.config.forgetFactor * window / std::max(window, table.slowWindow);
    const std::uint32_t rise = tickOf(table, table.missesRoseAt);
    table.slowTotal = 0;
    for (DemandEntry &entry : table.slots) {
        const bool confirmed = entry.lastTick >= rise;
        entry.slow =
            confirmed ? std::min(entry.slow, entry.fast) : static_cast<float>(entry.slow * kept);
        table.slowTotal += entry.slow;
    }
    table.slowWindow = window;
    ++table.shiftsSeen;
}

} // namespace

DemandTable makeDemandTable(const DemandConfig &config, Instant now)
{
    DemandTable table;
    table.config = config;
    table.start = now;
    table.windowAt = now;
    table.slots.resize(firstCapacity);
    return table;
}

void recordRequests(DemandTable &table, AdapterId adapter, int count, Instant now)
{
    advanceWindow(table, now);
    const std::uint32_t tick = tickOf(table, now);
    DemandEntry &entry = entryFor(table, adapter, tick);
    const double passed = secondsSince(table, entry, now);
    entry.slow =
        static_cast<float>(entry.slow * std::exp(-passed / table.config.slowSeconds) + count);
    entry.fast =
        static_cast<float>(entry.fast * std::exp(-passed / table.config.fastSeconds) + count);
    entry.lastTick = std::max(entry.lastTick, tick);
    table.slowTotal += count;
}

// The usual hit ratio is measured, not derived from the estimated rates: those of the residents are
// biased upwards, as the adapters with the highest estimates are resident, and gave a false alarm
// every minute of a steady run. With drift 0.2 and threshold 7 a steady run gives a false alarm
// about every e^(2 * 0.2 * 7 / 0.25) = 73,000 requests, and a complete shift is detected after
// about 25 requests.
void recordHit(DemandTable &table, bool hit, Instant now)
{
    advanceWindow(table, now);
    const double usual = table.usualHitShare;
    const double unexpected = usual - (hit ? 1 : 0) - table.config.shiftDrift;
    table.unexpectedMisses = std::max(0.0, table.unexpectedMisses + unexpected);
    if (table.unexpectedMisses == 0)
        table.missesRoseAt = now;
    if (table.unexpectedMisses > table.config.shiftThreshold) {
        forget(table, now);
        table.unexpectedMisses = 0;
        table.usualHitShare = 0;
        return;
    }
    const double smoothing = table.config.usualHitsSmoothing;
    table.usualHitShare = usual + smoothing * ((hit ? 1 : 0) - usual);
}

bool shiftSuspected(const DemandTable &table)
{
    return table.unexpectedMisses > table.config.shiftSuspicion;
}

// A hot adapter without requests for many of its mean gaps is probably no longer in demand: with
// prior probability p of staying in demand, Bayes gives
// P(in demand | silence t) = p e^-rt / (p e^-rt + 1 - p). For a cold adapter a long silence means
// little, so it keeps its estimate.
double rateOf(const DemandTable &table, AdapterId adapter, Instant now)
{
    const DemandEntry *entry = findEntry(table, adapter);
    if (entry == nullptr)
        return 0;
    const double passed = secondsSince(table, *entry, now);
    const double sinceWindow = std::max(0.0, toSeconds(now - table.windowAt));
    const double kept = std::exp(-sinceWindow / table.config.slowSeconds);
    const double window =
        std::max(1.0, table.slowWindow * kept + table.config.slowSeconds * (1 - kept));
    const double rate = entry->slow * std::exp(-passed / table.config.slowSeconds) / window;
    const double silent = stayProbability * std::exp(-rate * passed);
    return rate * silent / (silent + 1 - stayProbability);
}

double fastRateOf(const DemandTable &table, AdapterId adapter, Instant now)
{
    const DemandEntry *entry = findEntry(table, adapter);
    if (entry == nullptr)
        return 0;
    const double passed = secondsSince(table, *entry, now);
    return entry->fast * std::exp(-passed / table.config.fastSeconds) / table.config.fastSeconds;
}

Instant lastRequestOf(const DemandTable &table, AdapterId adapter)
{
    const DemandEntry *entry = findEntry(table, adapter);
    if (entry == nullptr)
        return table.start;
    return table.start + fromSeconds((entry->lastTick - 1) / ticksPerSecond);
}

std::vector<AdapterId> hottest(const DemandTable &table, std::size_t count, Instant now)
{
    struct Ranked
    {
        double rate;
        AdapterId adapter;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(table.used);
    for (const DemandEntry &entry : table.slots) {
        if (entry.lastTick == 0)
            continue;
        ranked.push_back({rateOf(table, entry.adapter, now), entry.adapter});
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), [](const Ranked &a, const Ranked &b) {
                          return a.rate != b.rate ? a.rate > b.rate : a.adapter < b.adapter;
                      });
    std::vector<AdapterId> adapters;
    for (std::size_t index = 0; index < kept; ++index)
        adapters.push_back(ranked[index].adapter);
    return adapters;
}

std::size_t bytesOf(const DemandTable &table) noexcept
{
    return sizeof(table) + table.slots.capacity() * sizeof(DemandEntry);
}

} // namespace monsoonbay
