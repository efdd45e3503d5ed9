#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Versions of the adapters that an engine holds, by adapter key. */
using ResidentVersions = std::unordered_map<std::string, std::int64_t>;

/** What a VM knows of one engine when it chooses where a call goes. */
struct EngineView
{
    std::string id;
    std::uint64_t hash = 0; ///< of the id, for the order of homes
    int slots = 1;
    double kvTokens = 0;
    const ResidentVersions *resident = nullptr; ///< not owned; null: none
    double waitingTokens = 0; ///< prompt tokens sent by all VMs that have no first event yet
    double heldTokens = 0; ///< tokens in memory for all running calls
    int runs = 0; ///< calls under way, of all VMs
    int shortObjectiveRuns = 0; ///< those of the route with the least objective among them
    double cachedTokens = 0; ///< of this call's prompt that the engine need not read again
    bool usable = true; ///< neither leaving nor ejected
    bool hasModel = true; ///< the base model is there; without it nothing runs
    bool warm = false; ///< it held the adapter lately and loads it fast again
    double loadMs = 0; ///< expected time of a load of the adapter there
    double fetchMs = 0; ///< expected time of a load from the weight store
    double incomingMs =
        -1; ///< until a load of the adapter there is done; below 0: none is waited for
    int idleSlots = 1; ///< adapter slots that no call uses now
    bool hasHolder = false; ///< some VM may order it now
    double jitterMs = 0; ///< drawn for this call, up to the age of what is known of the load there
};

/** What a route's callers are promised, as far as the choice of an engine depends on it. */
struct EngineObjectives
{
    double firstEventMs = 1000; ///< until the first event
    double pauseMs = 400; ///< between two events

    auto operator<=>(const EngineObjectives &) const = default;
};

/** What a call needs of an engine. */
struct EngineNeed
{
    std::string adapter; ///< key; empty: the base model alone
    std::int64_t version = 0; ///< the version in force, 0: any
    double promptTokens = 0;
    double outputTokens = 0;
    EngineObjectives objectives;
    /** Least objective for the first event among the service's routes; 0: all have the same. */
    double shortestObjectiveMs = 0;
    double stateAgeMs = 0; ///< age of what is known of the engines' load
    bool mayCopyEarly = true; ///< false once an engine has declined a load for this call
};

enum class EngineStep : std::uint8_t {
    Send, ///< the adapter is there
    Load, ///< have it loaded there, then send
    Full, ///< no engine has room
    None, ///< no usable engine at all
};

struct EngineChoice
{
    EngineStep step = EngineStep::None;
    std::size_t engine = 0; ///< index into the views

    auto operator<=>(const EngineChoice &) const = default;
};

/** What long prompts leave to calls with a shorter objective; see ForecastChoice.h. */
enum class LongPromptPolicy : std::uint8_t {
    Unrestricted, ///< nothing: their own forecast decides
    FewestShortRuns, ///< among engines that meet their objective, those where fewer such calls run
    ReservedEngines, ///< one engine in four, while others meet their objective
};

/**
 * Figures that the choice weighs by. What a place away from an adapter's home costs is a load from
 * the weight store, now or later, so these waits are measured by the expected time of one. As
 * shares of the objective instead, which is half as long on some deployments, callers' benefit fell
 * from 0.694 to 0.677 of what is owed (mean of five days with trouble, two seeds each).
 */
struct EngineWeights
{
    /** Prompt tokens an engine reads in a ms; the users' sheet of their engines says 38.4. */
    double promptTokensPerMs = 38.4;
    /**
     * Fetching weights anew is paid for, so an engine that held the adapter lately is taken if it
     * costs at most this many loads more.
     */
    double maxWarmExtraLoads = 1.5;
    /** What one more running call costs the others, ms: it lengthens each step a little. */
    double runPenaltyMs = 4;
    /**
     * A first event expected within this share of the objective is good enough; later than that, a
     * second copy of the adapter is weighed. With 0.6, a tenth more adapters came from the store,
     * which cost callers more than the late calls it saved.
     */
    double onTimeShare = 0.85;
    /** A second copy displaces another adapter: it must save this many loads' time. */
    double copyExtraLoads = 0.6;
    /**
     * Prompt tokens that are read between two events of the running streams without a pause over
     * the objective take this share of it: each of the steps between also makes a token.
     */
    double pauseShare = 0.52;
    /** What it costs to pass that once over for each running stream, ms. */
    double pausePenaltyMs = 10;
    /** A home is left for the next one if it is behind the least busy engine by so many loads. */
    double maxSpillLoads = 1.7;
    /** Part of the engine's memory that may be filled by running calls. */
    double memoryShare = 0.9;
    LongPromptPolicy longPrompts = LongPromptPolicy::Unrestricted;

    auto operator<=>(const EngineWeights &) const = default;
};

/** Slots that have to be idle for a second copy: with fewer, it would keep out another adapter. */
constexpr int idleSlotsForCopy = 2;

/** Expected wait at this engine before the call's own prompt is read, ms. */
double expectedWaitMs(const EngineView &engine, const EngineWeights &weights) noexcept;

/** Cost of the call at this engine, ms: its first event, a load if needed, and others' pauses. */
double expectedCostMs(const EngineView &engine, const EngineNeed &need,
                      const EngineWeights &weights);

/** What running streams are expected to lose by the call at this engine, as a cost in ms. */
double expectedPausesMs(const EngineView &engine, const EngineNeed &need,
                        const EngineWeights &weights, bool there) noexcept;

/** True if the engine has a request slot and memory left for the call. */
bool hasCapacity(const EngineView &engine, const EngineNeed &need,
                 const EngineWeights &weights) noexcept;

/** True if the engine has the adapter in the version that the call needs. */
bool hasAdapter(const EngineView &engine, const EngineNeed &need);

/**
 * Chooses among `engines`, leaving out the ids in `tried`; by ForecastChoice.h where the routes of
 * the service have different objectives.
 */
EngineChoice chooseEngine(const std::vector<EngineView> &engines, const EngineNeed &need,
                          const std::vector<std::string> &tried, const EngineWeights &weights);

} // namespace monsoonbay
