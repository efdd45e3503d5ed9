#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Versions of an engine's resident adapters, by adapter key. */
using ResidentVersions = std::unordered_map<std::string, std::int64_t>;

/** What a VM knows about one engine when it chooses an engine for a call. */
struct EngineView
{
    std::string id;
    std::uint64_t hash = 0; ///< of the id, for rendezvous hashing
    int slots = 1;
    double kvTokens = 0;
    const ResidentVersions *resident = nullptr; ///< not owned; null: none
    double waitingTokens = 0; ///< prompt tokens of all VMs' calls that have no first event yet
    double heldTokens = 0; ///< KV cache tokens of all running calls
    int runs = 0; ///< running calls of all VMs
    int shortObjectiveRuns = 0; ///< those of the routes with the shortest objective
    double cachedTokens = 0; ///< of this call's prompt, already in the engine's cache
    bool usable = true; ///< neither leaving nor ejected
    bool hasModel = true; ///< the base model is loaded; without it nothing runs
    bool warm = false; ///< it held the adapter recently and can reload it fast
    double loadMs = 0; ///< expected time of a load of the adapter there
    double fetchMs = 0; ///< expected time of a load from the weight store
    double incomingMs =
        -1; ///< expected time to the end of a load already under way; below 0: none to wait for
    int idleSlots = 1; ///< adapter slots that no running call uses
    bool hasHolder = false; ///< some VM holds its lease and may send it commands now
    double jitterMs = 0; ///< random cost of this call there, at most the age of the known load
};

/** Latency objectives of a route that the choice of an engine depends on. */
struct EngineObjectives
{
    double firstEventMs = 1000; ///< until the first event
    double pauseMs = 400; ///< between two events

    auto operator<=>(const EngineObjectives &) const = default;
};

/** What a call requires of an engine. */
struct EngineNeed
{
    std::string adapter; ///< key; empty: the base model alone
    std::int64_t version = 0; ///< the version in force, 0: any
    double promptTokens = 0;
    double outputTokens = 0;
    EngineObjectives objectives;
    /** Shortest first-event objective among the service's routes; 0: all routes have the same. */
    double shortestObjectiveMs = 0;
    double stateAgeMs = 0; ///< age of what is known about the engines' load
    bool mayCopyEarly = true; ///< false once an engine has declined a load for this call
};

enum class EngineStep : std::uint8_t {
    Send, ///< the adapter is resident
    Load, ///< have the adapter loaded there, then send
    Full, ///< no engine has capacity
    None, ///< no usable engine at all
};

struct EngineChoice
{
    EngineStep step = EngineStep::None;
    std::size_t engine = 0; ///< index into the views

    auto operator<=>(const EngineChoice &) const = default;
};

/** Where chooseByForecast() sends long prompts, in favour of calls with a shorter objective. */
enum class LongPromptPolicy : std::uint8_t {
    Unrestricted, ///< anywhere: only their own forecast decides
    FewestShortRuns, ///< of the engines that meet their objective, one with the fewest such calls
    ReservedEngines, ///< not to one engine in four, while others meet their objective
};

/**
 * Weights of the cost function. A call away from the adapter's preferred engine costs a load from
 * the weight store, now or later, so the tolerated waits are multiples of the expected time of such
 * a load. As shares of the objective instead, which is half as long on some deployments, callers'
 * benefit fell from 0.694 to 0.677 of what is owed (mean of five days with faults, two seeds each).
 */
struct EngineWeights
{
    /** Prefill rate of an engine; the users' data sheet of their engines gives 38.4. */
    double promptTokensPerMs = 38.4;
    /**
     * An engine that held the adapter recently is preferred if it costs at most this many load
     * times more than the cheapest one, because fetching the weights again has to be paid for.
     */
    double maxWarmExtraLoads = 1.5;
    /** Cost of one more running call to the others, ms: it lengthens each step a little. */
    double runPenaltyMs = 4;
    /**
     * A first event expected within this share of the objective is early enough; beyond it, a
     * second copy of the adapter is considered. With 0.6, a tenth more adapters were fetched from
     * the store, which cost callers more than the late calls it saved.
     */
    double onTimeShare = 0.85;
    /** A second copy evicts another adapter, so it has to save this many load times. */
    double copyExtraLoads = 0.6;
    /**
     * Share of the pause objective that prefill may take between two events of the running streams
     * without exceeding it: each of the steps in between also generates a token.
     */
    double pauseShare = 0.52;
    /** Cost per running stream, ms, if the prefill is twice as long as that share allows. */
    double pausePenaltyMs = 10;
    /** A preferred engine may cost at most this many load times more than the cheapest one. */
    double maxSpillLoads = 1.7;
    /** Share of the engine's KV cache that running calls may fill. */
    double memoryShare = 0.9;
    LongPromptPolicy longPrompts = LongPromptPolicy::Unrestricted;

    auto operator<=>(const EngineWeights &) const = default;
};

/** Idle slots that a second copy requires: with fewer, it would keep out another adapter. */
constexpr int idleSlotsForCopy = 2;

/** Expected wait at this engine before the prefill of the call's own prompt, ms. */
double expectedWaitMs(const EngineView &engine, const EngineWeights &weights) noexcept;

/**
 * Cost of the call at this engine, ms: time to its first event, a load if needed, and the pauses
 * that it causes in other streams.
 */
double expectedCostMs(const EngineView &engine, const EngineNeed &need,
                      const EngineWeights &weights);

/**
 * Cost, ms, of the pauses that the call is expected to cause in the running streams of this engine.
 * `there`: the adapter is resident.
 */
double expectedPausesMs(const EngineView &engine, const EngineNeed &need,
                        const EngineWeights &weights, bool there) noexcept;

/** True if the engine has a free request slot, and no other running call or enough KV cache. */
bool hasCapacity(const EngineView &engine, const EngineNeed &need,
                 const EngineWeights &weights) noexcept;

/** True if the engine has the adapter in the required version or a later one. */
bool hasAdapter(const EngineView &engine, const EngineNeed &need);

/**
 * Chooses among `engines`, except those whose ids are in `tried`; by chooseByForecast() if the
 * routes of the service have different objectives.
 */
EngineChoice chooseEngine(const std::vector<EngineView> &engines, const EngineNeed &need,
                          const std::vector<std::string> &tried, const EngineWeights &weights);

} // namespace monsoonbay
