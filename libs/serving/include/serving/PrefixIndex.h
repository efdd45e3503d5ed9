#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "serving/PromptPrefixes.h"

namespace monsoonbay {

/** Limit on prefixes kept for one engine. */
constexpr std::size_t maxPrefixesPerEngine = 256;
/** Limit on prefixes kept for all engines (3 MB), divided evenly among the engines in the index. */
constexpr std::size_t maxPrefixesInIndex = 40'960;
/** Limit on engines in the index. */
constexpr std::size_t maxEnginesInIndex = 4'096;

/**
 * Shorter prefixes are not reported: prefilling them takes less than the accuracy of an estimate.
 */
constexpr int minReportedTokens = 1'000;
/** Reported prefixes with more tokens are treated as invalid. */
constexpr int maxReportedTokens = 1'000'000;
/** A prefix that was sent or received is not reported again within this time. */
constexpr Duration prefixReportInterval = std::chrono::seconds(2);
/** After a cache miss a prefix is neither trusted nor reported for this time. */
constexpr Duration missingPrefixHold = std::chrono::seconds(5);
/** Engines without any known prefix read for this long are removed from the index. */
constexpr Duration unusedEngineExpiry = std::chrono::seconds(60);

/** What is assumed about one prefix at one engine. */
struct CachedPrefix
{
    int tokens = 0; ///< 0: assumed not to be cached
    Instant readAt{}; ///< when it was last known to be read
    Instant reportedAt{}; ///< when it was last sent to or received from other VMs; zero: never
    Instant distrustedUntil{}; ///< set by a cache miss

    auto operator<=>(const CachedPrefix &) const = default;
};

/** Prefixes that one engine is assumed to have cached. */
struct EnginePrefixes
{
    std::unordered_map<std::uint64_t, CachedPrefix> byHash; ///< by hash of the prefix
    double tokens = 0; ///< sum over all prefixes
    Instant readAt{};
};

/**
 * Prompt prefixes that engines have prefilled and therefore need not prefill again, as observed by
 * the calls of this and of other VMs. These are assumptions: engines do not report what they have
 * cached.
 */
struct PrefixIndex
{
    std::unordered_map<std::uint64_t, EnginePrefixes> engines; ///< by engineKey()
    std::size_t limit = maxPrefixesPerEngine; ///< on prefixes of one engine
};

/**
 * The first event of one of this VM's calls has arrived, so the engine has read its prompt. Returns
 * the prefixes to report to other VMs.
 */
std::vector<PromptPrefix> recordRead(PrefixIndex &index, std::uint64_t engine,
                                     const std::vector<PromptPrefix> &prefixes, Instant now);

/** Another VM reports that the engine has read a prefix. True if it is to be passed on. */
bool recordReported(PrefixIndex &index, std::uint64_t engine, const PromptPrefix &prefix,
                    Instant now);

/** These prefixes were assumed to be cached at the engine and were not. */
void recordMissing(PrefixIndex &index, std::uint64_t engine,
                   const std::vector<PromptPrefix> &prefixes, Instant now);

/**
 * Tokens at the beginning of a prompt with these prefixes that the engine is assumed to have
 * cached.
 */
double cachedPrefixTokens(const PrefixIndex &index, std::uint64_t engine,
                          const std::vector<PromptPrefix> &prefixes);

/**
 * Tokens of the engine's KV memory that can hold cached prompts while running calls hold
 * `heldTokens`; infinite if its size is unknown.
 */
double prefixCacheCapacity(double kvTokens, double heldTokens) noexcept;

/** Evicts the least recently read prefixes until those that remain fit into `tokens`. */
void evictToFit(PrefixIndex &index, std::uint64_t engine, double tokens);

/** The engine has unloaded or replaced the adapter with this prefixTag(). */
void forgetAdapter(PrefixIndex &index, std::uint64_t engine, std::uint64_t tag);

/** The engine has restarted. */
void forgetEngine(PrefixIndex &index, std::uint64_t engine);

/** Removes engines without a prefix read for unusedEngineExpiry. */
void forgetUnused(PrefixIndex &index, Instant now);

/** Time to the first event of a call, and what it was expected to depend on. */
struct FirstEventTiming
{
    Duration untilFirst{}; ///< from sending the call to its first event
    double promptTokens = 0;
    double cachedPrefixTokens = 0; ///< prompt tokens assumed to be cached when the call was sent
    double aheadTokens = 0; ///< tokens of other calls waiting at the engine
};

/**
 * True if the time shows that the engine prefilled the whole prompt although a part of it was
 * assumed to be cached.
 */
bool indicatesCacheMiss(const FirstEventTiming &timing, double promptTokensPerMs) noexcept;

} // namespace monsoonbay
