#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/PrefixIndex.h"
#include "serving/PrefixLog.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;

/** Reference implementation: one table that is scanned for every query. */
struct ReferenceIndex
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, CachedPrefix> rows; ///< by engine and prefix

    /** True if the prefix is to be reported. */
    bool note(std::uint64_t engine, const PromptPrefix &prefix, bool own, Instant now)
    {
        CachedPrefix &cached = this->rows[{engine, prefix.hash}];
        const bool distrusted = now < cached.distrustedUntil;
        if (!distrusted) {
            cached.tokens = prefix.tokens;
            cached.readAt = now;
        }
        const bool recent =
            cached.reportedAt != Instant{} && now - cached.reportedAt < prefixReportInterval;
        if (recent || (own && (distrusted || prefix.tokens < minReportedTokens)))
            return false;
        cached.reportedAt = now;
        return true;
    }

    double tokensAt(std::uint64_t engine) const
    {
        double sum = 0;
        for (const auto &[key, cached] : this->rows)
            sum += key.first == engine ? cached.tokens : 0;
        return sum;
    }

    void evictToFit(std::uint64_t engine, double tokens)
    {
        const auto sortKey = [engine](const auto &row) {
            return std::tuple(row.first.first != engine, row.second.readAt, row.first.second);
        };
        const auto before = [&](const auto &a, const auto &b) {
            return sortKey(a) < sortKey(b);
        };
        while (this->tokensAt(engine) > tokens)
            this->rows.erase(std::min_element(this->rows.begin(), this->rows.end(), before));
    }

    double cachedPrefixTokens(std::uint64_t engine, const std::vector<PromptPrefix> &prompt)
    {
        double largest = 0;
        for (const PromptPrefix &prefix : prompt) {
            const auto row = this->rows.find({engine, prefix.hash});
            largest = std::max<double>(largest, row == this->rows.end() ? 0 : row->second.tokens);
        }
        return largest;
    }
};

/** Prefixes of the generated prompts: two adapters, up to three parts of different sizes. */
std::vector<PromptPrefix> promptOf(int adapter, int parts)
{
    std::vector<PromptPart> named;
    for (int part = 0; part < parts; ++part)
        named.push_back({"p" + std::to_string(part), 400 + 900 * part});
    return promptPrefixes("m/a" + std::to_string(adapter), named, 1e6);
}

} // namespace

// Guards against sums, eviction order or hold times that deviate from the plain rules for some
// order of calls.
Test(prefixes, the_index_matches_a_reference_implementation)
{
    cr_assert(rc::check("book", [] {
        PrefixIndex index;
        ReferenceIndex reference;
        Instant now = start;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const std::uint64_t engine = *rc::gen::inRange(1, 4);
            const int adapter = *rc::gen::inRange(0, 2);
            const auto prompt = promptOf(adapter, *rc::gen::inRange(1, 4));
            now += *rc::gen::inRange(0, 1500) * 1ms;
            const int kind = *rc::gen::inRange(0, 7);
            if (kind <= 1) {
                std::vector<PromptPrefix> toReport;
                for (const PromptPrefix &prefix : prompt) {
                    if (reference.note(engine, prefix, true, now))
                        toReport.push_back(prefix);
                }
                RC_ASSERT(recordRead(index, engine, prompt, now) == toReport);
            } else if (kind == 2) {
                RC_ASSERT(recordReported(index, engine, prompt.back(), now)
                          == reference.note(engine, prompt.back(), false, now));
            } else if (kind == 3) {
                recordMissing(index, engine, prompt, now);
                for (const PromptPrefix &prefix : prompt) {
                    const auto row = reference.rows.find({engine, prefix.hash});
                    if (row == reference.rows.end())
                        continue;
                    row->second.tokens = 0;
                    row->second.distrustedUntil = now + missingPrefixHold;
                }
            } else if (kind == 4) {
                const double tokens = *rc::gen::inRange(0, 8000);
                evictToFit(index, engine, tokens);
                reference.evictToFit(engine, tokens);
            } else {
                const bool whole = kind == 5;
                const auto tag = prefixTag(prompt[0].hash);
                whole ? forgetEngine(index, engine) : forgetAdapter(index, engine, tag);
                std::erase_if(reference.rows, [&](const auto &row) {
                    return row.first.first == engine
                        && (whole || prefixTag(row.first.second) == tag);
                });
            }
            for (std::uint64_t asked = 1; asked < 4; ++asked) {
                const auto any = promptOf(adapter, 3);
                const auto enginePrefixes = index.engines.find(asked);
                RC_ASSERT(cachedPrefixTokens(index, asked, any)
                          == reference.cachedPrefixTokens(asked, any));
                RC_ASSERT(
                    (enginePrefixes == index.engines.end() ? 0 : enginePrefixes->second.tokens)
                    == reference.tokensAt(asked));
            }
        }
    }));
}

// Guards against memory that grows with the calls, or with the engines named in messages.
Test(prefixes, the_index_is_bounded)
{
    PrefixIndex index;
    std::uint64_t hash = 0;
    const auto total = [&index] {
        std::size_t sum = 0;
        for (const auto &[engine, enginePrefixes] : index.engines)
            sum += enginePrefixes.byHash.size();
        return sum;
    };
    for (std::uint64_t read = 0; read < 2 * maxPrefixesPerEngine; ++read)
        recordReported(index, 1, {++hash, 1000}, start + read * 1ms);
    cr_assert_eq(index.engines.at(1).byHash.size(), maxPrefixesPerEngine);
    cr_assert_eq(cachedPrefixTokens(index, 1, {{hash, 1000}}), 1000);
    cr_assert_eq(cachedPrefixTokens(index, 1, {{1, 1000}}), 0,
                 "the least recently read prefix is evicted first");
    std::size_t largest = 0;
    for (std::uint64_t engine = 2; engine < 600; ++engine) {
        for (int read = 0; read < 300; ++read)
            recordReported(index, engine, {++hash, 1000}, start + 1s);
        largest = std::max(largest, total());
    }
    cr_assert_leq(largest, maxPrefixesInIndex);
    for (std::uint64_t engine = 600; engine < 2 * maxEnginesInIndex; ++engine)
        recordReported(index, engine, {++hash, 1000}, start + 2s);
    cr_assert_eq(index.engines.size(), maxEnginesInIndex);
    cr_assert_leq(total(), maxPrefixesInIndex);
    forgetUnused(index, start + 2s + unusedEngineExpiry + 1ms);
    cr_assert(index.engines.empty());
    cr_assert_eq(index.limit, maxPrefixesPerEngine);
}

// Guards against estimates based on a prompt of another adapter, or on one that only ends alike.
Test(prefixes, a_prefix_is_of_an_adapter_and_all_parts_so_far)
{
    const std::vector<PromptPart> parts{{"a", 2000}, {"b", 4300}, {"own", 2890}};
    const auto prefixes = promptPrefixes("m/x", parts, 9190);
    cr_assert_eq(prefixes.size(), 2, "the last part is the call's own");
    cr_assert_eq(prefixes[1].tokens, 6300);
    const auto other = promptPrefixes("m/y", parts, 9190);
    const auto swapped = promptPrefixes("m/x", {{"b", 4300}, {"a", 2000}}, 9190);
    cr_assert_neq(prefixes[1].hash, other[1].hash);
    cr_assert_neq(prefixes[1].hash, swapped[1].hash);
    cr_assert_eq(prefixTag(prefixes[0].hash), prefixTagOf("m/x"));
    cr_assert_eq(promptPrefixes("m/x", {{"all", 9190}}, 9190).size(), 1);
    cr_assert(promptPrefixes("m/x", {{"bad", -5}, {"a", 2000}}, 9190).empty());
    cr_assert(promptPrefixes("m/x", {{"bad", 20'000}}, 9190).empty(), "more than the prompt");
    cr_assert(promptPrefixes("m/x", {}, 9190).empty());
    const std::vector<PromptPart> many(100, PromptPart{"p", 10});
    cr_assert_eq(promptPrefixes("m/x", many, 9190).size(), maxPrefixes);
}

// Guards against an assumption that is never dropped, and against one that is dropped because the
// engine was busy with other prompts.
Test(prefixes, only_a_full_prefill_at_an_idle_engine_indicates_a_cache_miss)
{
    const auto missing = [](Duration untilFirst, double cached, double ahead) {
        return indicatesCacheMiss({untilFirst, 8000, cached, ahead}, 40);
    };
    cr_assert(missing(210ms, 6000, 0));
    cr_assert(!missing(60ms, 6000, 0), "the prefix was read from the cache");
    cr_assert(!missing(210ms, 6000, 4000), "other prompts may have been prefilled first");
    cr_assert(!missing(500ms, 6000, 0), "the delay has another cause");
    cr_assert(!missing(210ms, 1500, 0), "the cached share is too small to be visible");
    cr_assert(!missing(210ms, 0, 0));
    cr_assert_eq(prefixCacheCapacity(200'000, 80'000), 120'000);
    cr_assert_eq(prefixCacheCapacity(200'000, 190'000), 50'000);
    cr_assert_gt(prefixCacheCapacity(0, 10), 1e12, "an engine without a stated KV memory");
}

// Guards against entries lost with one message, and against logs and messages that grow with the
// calls. Message loss and elapsed time are generated.
Test(prefixes, a_reader_gets_what_is_new_whatever_messages_are_lost)
{
    cr_assert(rc::check("log", [] {
        PrefixLog log;
        std::vector<LoggedPrefix> all;
        PrefixReader reader;
        reader.zonePeer = true;
        reader.sourceVm = 1;
        std::set<PrefixRead> received;
        std::uint64_t number = 0;
        Instant now = start;
        const auto rounds = *rc::gen::inRange(1, 12);
        for (int round = 0; round < rounds; ++round) {
            now += *rc::gen::inRange(0, 2500) * 1ms;
            const auto added = *rc::gen::inRange(0, 500);
            for (int entry = 0; entry < added; ++entry) {
                const auto source = static_cast<PrefixSource>(entry % 3);
                const std::uint64_t sourceVm = static_cast<std::uint64_t>(entry) % 4;
                ++number;
                logPrefix(log, {number % 7, {number, 2000}}, source, sourceVm, now);
                all.push_back(log.entries.back());
            }
            RC_ASSERT(log.entries.size() <= maxPrefixLogEntries);
            std::vector<PrefixRead> wanted;
            for (auto entry = all.rbegin(); entry != all.rend(); ++entry) {
                const bool logged = all.size() - (entry->number - 1) <= maxPrefixLogEntries;
                const bool due = entry->number > reader.seen && entry->sourceVm != reader.sourceVm;
                if (logged && due && now - entry->at <= prefixLogRetention
                    && wanted.size() < maxPrefixesPerMessage)
                    wanted.push_back(entry->read);
            }
            std::sort(wanted.begin(), wanted.end());
            const auto result = prefixesFor(log, reader, now);
            RC_ASSERT(result == wanted);
            if (*rc::gen::arbitrary<bool>())
                continue; // the reply is lost
            for (const PrefixRead &read : result)
                RC_ASSERT(received.insert(read).second);
            reader.seen = log.last;
        }
    }));
}
