#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "serving/PromptPrefixes.h"

namespace monsoonbay {

/** Prefixes that are kept for one engine. */
constexpr std::size_t maxPrefixesPerEngine = 256;
/** Prefixes that are kept for all engines, 3 MB; divided evenly among the engines in the book. */
constexpr std::size_t maxPrefixesInIndex = 40'960;
/** Engines in the book. */
constexpr std::size_t maxEnginesInIndex = 4'096;

/** A shorter prefix is not told: reading it takes less than the accuracy of an estimate. */
constexpr int minReportedTokens = 1'000;
/** Tokens of a told prefix beyond which it is taken for a bad value. */
constexpr int maxReportedTokens = 1'000'000;
/** A prefix that was told, or heard of, is not told again within this time. */
constexpr Duration prefixReportInterval = std::chrono::seconds(2);
/** A prefix that was found missing is neither believed nor told for this time. */
constexpr Duration missingPrefixHold = std::chrono::seconds(5);
/** Engines that are not known to have read any prefix for this long leave the book. */
constexpr Duration unusedEngineExpiry = std::chrono::seconds(60);

/** What is believed of one prefix at one engine. */
struct CachedPrefix
{
    int tokens = 0; ///< 0: not believed to be there
    Instant readAt{}; ///< when it was read last, as far as is known
    Instant reportedAt{}; ///< when it was told or heard of last; zero: never
    Instant doubtedUntil{}; ///< it was found missing

    auto operator<=>(const CachedPrefix &) const = default;
};

/** Prefixes that one engine is believed to keep. */
struct EnginePrefixes
{
    std::unordered_map<std::uint64_t, CachedPrefix> byHash; ///< by hash of the prefix
    double tokens = 0; ///< of all of them
    Instant readAt{};
};

/**
 * Prefixes of prompts that engines have read, and so need not read again, by what own and other
 * VMs' calls have shown. A belief only: engines do not say what they keep.
 */
struct PrefixIndex
{
    std::unordered_map<std::uint64_t, EnginePrefixes> engines; ///< by engineKey()
    std::size_t limit = maxPrefixesPerEngine; ///< of prefixes of one engine
};

/**
 * The first event of an own call has come: the engine has read its prompt. Returns the prefixes
 * that other VMs are to be told of.
 */
std::vector<PromptPrefix> recordRead(PrefixIndex &book, std::uint64_t engine,
                                     const std::vector<PromptPrefix> &prefixes, Instant now);

/** Another VM says that the engine has read a prefix. True if that is to be told on. */
bool recordReported(PrefixIndex &book, std::uint64_t engine, const PromptPrefix &prefix,
                    Instant now);

/** These prefixes were believed to be at the engine, and were not. */
void recordMissing(PrefixIndex &book, std::uint64_t engine,
                   const std::vector<PromptPrefix> &prefixes, Instant now);

/** Tokens at the beginning of a prompt with these prefixes that the engine is believed to keep. */
double cachedPrefixTokens(const PrefixIndex &book, std::uint64_t engine,
                          const std::vector<PromptPrefix> &prefixes);

/** Tokens of prompts that an engine can keep while calls hold so many; infinite if not known. */
double prefixCacheCapacity(double kvTokens, double heldTokens) noexcept;

/** The engine has memory for so many tokens of prompts: drops what was read least recently. */
void evictToFit(PrefixIndex &book, std::uint64_t engine, double tokens);

/** The engine has unloaded the adapter with this prefixTag(), or replaced it. */
void forgetAdapter(PrefixIndex &book, std::uint64_t engine, std::uint64_t tag);

/** The engine has started anew. */
void forgetEngine(PrefixIndex &book, std::uint64_t engine);

/** Drops engines that have read no prefix for unusedEngineExpiry. */
void forgetUnused(PrefixIndex &book, Instant now);

/** How long a call waited for its first event, against what it was expected to wait for. */
struct FirstEventTiming
{
    Duration untilFirst{}; ///< from sending it to its first event
    double promptTokens = 0;
    double cachedPrefixTokens = 0; ///< of them, as was believed when it was sent
    double aheadTokens = 0; ///< that other calls had waiting at the engine
};

/** True if the engine read the whole prompt although a part of it was believed to be there. */
bool indicatesCacheMiss(const FirstEventTiming &trial, double promptTokensPerMs) noexcept;

} // namespace monsoonbay
