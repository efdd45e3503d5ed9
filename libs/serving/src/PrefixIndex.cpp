#include "serving/PrefixIndex.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace monsoonbay {

namespace {

/**
 * A smaller share of a prompt is not visible in the time to its first event, which varies with the
 * steps of the running calls.
 */
constexpr double minCachedShare = 0.25;
/** With more than this share of the cached tokens waiting ahead, these may explain the wait. */
constexpr double maxAheadShare = 0.25;
/** A wait longer than this many prefills of the prompt has another cause. */
constexpr double maxPrefillTimes = 2;

/**
 * Share of an engine's KV memory that counts as available for prefixes however much its calls hold.
 */
constexpr double minCacheShare = 0.25;

using CachedPrefixes = std::unordered_map<std::uint64_t, CachedPrefix>;

CachedPrefixes::iterator erasePrefix(EnginePrefixes &enginePrefixes, CachedPrefixes::iterator at)
{
    enginePrefixes.tokens -= at->second.tokens;
    return enginePrefixes.byHash.erase(at);
}

// The hash breaks ties, so that the result does not depend on the order of the hash table.
void dropLeastRecent(EnginePrefixes &enginePrefixes)
{
    const auto leastRecent = std::min_element(
        enginePrefixes.byHash.begin(), enginePrefixes.byHash.end(),
        [](const auto &a, const auto &b) {
            return std::tie(a.second.readAt, a.first) < std::tie(b.second.readAt, b.first);
        });
    erasePrefix(enginePrefixes, leastRecent);
}

void trimTo(EnginePrefixes &enginePrefixes, std::size_t limit)
{
    while (enginePrefixes.byHash.size() > limit)
        dropLeastRecent(enginePrefixes);
}

void divideLimit(PrefixIndex &index, std::size_t engines)
{
    const std::size_t share = maxPrefixesInIndex / std::max<std::size_t>(engines, 1);
    const std::size_t limit = std::min(share, maxPrefixesPerEngine);
    const bool fewer = limit < index.limit;
    index.limit = limit;
    if (!fewer)
        return;
    for (auto &[engine, enginePrefixes] : index.engines)
        trimTo(enginePrefixes, limit);
}

/** Null if the index is full. */
EnginePrefixes *findOrAddEngine(PrefixIndex &index, std::uint64_t engine)
{
    const auto found = index.engines.find(engine);
    if (found != index.engines.end())
        return &found->second;
    if (index.engines.size() >= maxEnginesInIndex)
        return nullptr;
    divideLimit(index, index.engines.size() + 1);
    return &index.engines[engine];
}

CachedPrefix &findOrAddPrefix(const PrefixIndex &index, EnginePrefixes &enginePrefixes,
                              std::uint64_t hash)
{
    const auto found = enginePrefixes.byHash.find(hash);
    if (found != enginePrefixes.byHash.end())
        return found->second;
    trimTo(enginePrefixes, index.limit - 1);
    return enginePrefixes.byHash[hash];
}

void markCached(EnginePrefixes &enginePrefixes, CachedPrefix &cached, int tokens, Instant now)
{
    enginePrefixes.tokens += tokens - cached.tokens;
    cached.tokens = tokens;
    cached.readAt = now;
    enginePrefixes.readAt = now;
}

/** True if other VMs should get it now; it then counts as reported. */
bool isReportDue(CachedPrefix &cached, Instant now)
{
    if (cached.reportedAt != Instant{} && now - cached.reportedAt < prefixReportInterval)
        return false;
    cached.reportedAt = now;
    return true;
}

} // namespace

std::vector<PromptPrefix> recordRead(PrefixIndex &index, std::uint64_t engine,
                                     const std::vector<PromptPrefix> &prefixes, Instant now)
{
    std::vector<PromptPrefix> toReport;
    if (prefixes.empty())
        return toReport;
    EnginePrefixes *enginePrefixes = findOrAddEngine(index, engine);
    if (enginePrefixes == nullptr)
        return toReport;
    for (const PromptPrefix &prefix : prefixes) {
        CachedPrefix &cached = findOrAddPrefix(index, *enginePrefixes, prefix.hash);
        if (now < cached.distrustedUntil)
            continue;
        markCached(*enginePrefixes, cached, prefix.tokens, now);
        const bool isReportable =
            prefix.tokens >= minReportedTokens && prefix.tokens <= maxReportedTokens;
        if (isReportable && isReportDue(cached, now))
            toReport.push_back(prefix);
    }
    return toReport;
}

// A prefix under doubt is passed on all the same: the call that showed it ran at another VM, and
// may have run after the cache miss seen here.
bool recordReported(PrefixIndex &index, std::uint64_t engine, const PromptPrefix &prefix,
                    Instant now)
{
    EnginePrefixes *enginePrefixes = findOrAddEngine(index, engine);
    if (enginePrefixes == nullptr)
        return false;
    CachedPrefix &cached = findOrAddPrefix(index, *enginePrefixes, prefix.hash);
    const bool toReport = isReportDue(cached, now);
    if (now >= cached.distrustedUntil)
        markCached(*enginePrefixes, cached, prefix.tokens, now);
    return toReport;
}

void recordMissing(PrefixIndex &index, std::uint64_t engine,
                   const std::vector<PromptPrefix> &prefixes, Instant now)
{
    const auto found = index.engines.find(engine);
    if (found == index.engines.end())
        return;
    EnginePrefixes &enginePrefixes = found->second;
    for (const PromptPrefix &prefix : prefixes) {
        const auto cached = enginePrefixes.byHash.find(prefix.hash);
        if (cached == enginePrefixes.byHash.end())
            continue;
        enginePrefixes.tokens -= cached->second.tokens;
        cached->second.tokens = 0;
        cached->second.distrustedUntil = now + missingPrefixHold;
    }
}

double cachedPrefixTokens(const PrefixIndex &index, std::uint64_t engine,
                          const std::vector<PromptPrefix> &prefixes)
{
    if (prefixes.empty())
        return 0;
    const auto found = index.engines.find(engine);
    if (found == index.engines.end())
        return 0;
    // An engine that has a prefix cached also has all shorter prefixes of it.
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto cached = found->second.byHash.find(prefix->hash);
        if (cached != found->second.byHash.end() && cached->second.tokens > 0)
            return prefix->tokens;
    }
    return 0;
}

// Running calls hold a shared prefix only once, but each is counted with all its tokens.
double prefixCacheCapacity(double kvTokens, double heldTokens) noexcept
{
    if (kvTokens <= 0)
        return std::numeric_limits<double>::infinity();
    return std::max(kvTokens - heldTokens, minCacheShare * kvTokens);
}

void evictToFit(PrefixIndex &index, std::uint64_t engine, double tokens)
{
    const auto found = index.engines.find(engine);
    if (found == index.engines.end())
        return;
    EnginePrefixes &enginePrefixes = found->second;
    while (enginePrefixes.tokens > tokens && !enginePrefixes.byHash.empty())
        dropLeastRecent(enginePrefixes);
}

void forgetAdapter(PrefixIndex &index, std::uint64_t engine, std::uint64_t tag)
{
    const auto found = index.engines.find(engine);
    if (found == index.engines.end())
        return;
    EnginePrefixes &enginePrefixes = found->second;
    for (auto cached = enginePrefixes.byHash.begin(); cached != enginePrefixes.byHash.end();)
        cached = prefixTag(cached->first) == tag ? erasePrefix(enginePrefixes, cached)
                                                 : std::next(cached);
}

void forgetEngine(PrefixIndex &index, std::uint64_t engine)
{
    if (index.engines.erase(engine) > 0)
        divideLimit(index, index.engines.size());
}

void forgetUnused(PrefixIndex &index, Instant now)
{
    const auto dropped = std::erase_if(index.engines, [now](const auto &entry) {
        return now - entry.second.readAt > unusedEngineExpiry;
    });
    if (dropped > 0)
        divideLimit(index, index.engines.size());
}

bool indicatesCacheMiss(const FirstEventTiming &timing, double promptTokensPerMs) noexcept
{
    if (timing.cachedPrefixTokens < minReportedTokens
        || timing.cachedPrefixTokens < minCachedShare * timing.promptTokens)
        return false;
    if (timing.aheadTokens > maxAheadShare * timing.cachedPrefixTokens)
        return false;
    const double waitedMs = 1000 * toSeconds(timing.untilFirst);
    const double wholeMs = (timing.aheadTokens + timing.promptTokens) / promptTokensPerMs;
    return waitedMs >= wholeMs && waitedMs <= maxPrefillTimes * wholeMs;
}

} // namespace monsoonbay
