#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Time.h"
#include "serving/HostCopies.h"
#include "serving/LoadTimeModel.h"

namespace monsoonbay {

/** An adapter in a slot of an engine, as its holder knows it. */
struct AdapterSlot
{
    std::int64_t version = 0;
    bool loading = false;
    Instant readyAt{}; ///< while loading: when it is expected to be there
    Instant lastUsedAt{}; ///< last time some VM was seen to use it
    bool unloadDeferred = false; ///< it will be dropped when the calls that use it have ended
    bool fetched = false; ///< from the weight store, not from the engine's own memory
    Instant requestedAt{}; ///< when its load was accepted
    Instant probedAt{}; ///< a first call was let through to see whether it is there
    int concurrentLoads =
        1; ///< loads from the weight store then, over all engines, this one counted
    double loadsSinceTouch = -1; ///< at this engine, when it was last there; below 0: it never was
    std::int64_t sequence = 0; ///< the engine's count of orders with its load
    bool evaluated = true; ///< what became of its load has taught
    int earlyCalls = 0; ///< refused since it was ordered
    int runs = 0; ///< calls that use it now, as far as the VMs have told
};

/** State of one engine at the VM that orders it. */
struct AdapterScheduler
{
    std::int64_t startTime = 0; ///< start of the engine that all this is of; see TargetEntry
    int adapterSlots = 0;
    std::int64_t sequence = -1; ///< orders the engine has accepted; below 0: not known
    std::int64_t minSequence = 0; ///< a report that counts fewer is older than what is known
    Instant acceptedAt{}; ///< of the last order
    std::unordered_map<std::string, AdapterSlot> slots; ///< by adapter key
    std::set<std::string> models; ///< base models that are there
    Instant modelReadyAt{}; ///< when the model under way is expected; zero: none is
    HostCopies copies; ///< adapters that load fast again
};

/** Takes what the engine reports of itself. */
struct EngineReport
{
    std::int64_t startTime = 0; ///< start of the engine that this is of; see TargetEntry
    std::int64_t sequence = 0;
    std::set<std::string> models;
    std::unordered_map<std::string, std::int64_t> resident;
    std::unordered_map<std::string, std::int64_t> incoming;
};

/**
 * The engine was started anew under its id: it holds nothing, counts its orders anew, and what was
 * under way at it is of no account. A report tells the rest.
 */
void resetScheduler(AdapterScheduler &scheduler, std::int64_t born);

/** Takes a report; false, and nothing changed, if it is older than what is known already. */
bool applyEngineReport(AdapterScheduler &scheduler, const EngineReport &report, Instant now);

enum class SchedulerStep : std::uint8_t {
    Ready, ///< it is there
    Wait, ///< it is being loaded
    Unload, ///< unload `victim` first
    Load, ///< order the load
    NoSlot, ///< every slot that would have to go is in use
};

struct SchedulerDecision
{
    SchedulerStep step = SchedulerStep::NoSlot;
    std::string victim;

    auto operator<=>(const SchedulerDecision &) const = default;
};

/** What to do so that `adapter` becomes resident in at least `version`. */
SchedulerDecision nextCommand(const AdapterScheduler &scheduler, const std::string &adapter,
                              std::int64_t version, Instant now);

/** Loads an engine may have under way; a fifth is refused by the engines of the users' sheets. */
constexpr int maxLoadsPerEngine = 4;

/** What is known of loads at all engines. */
struct LoadEstimator
{
    LoadTimeModel times;
    HostRetention memory;

    auto operator<=>(const LoadEstimator &) const = default;
};

/** What a load is expected to take, and what that rests on. */
struct LoadEstimate
{
    Duration time{};
    int concurrentLoads = 1; ///< loads from the weight store over all engines, this one counted
    bool fetched = false; ///< it comes from there

    auto operator<=>(const LoadEstimate &) const = default;
};

/** `fetchesUnderWay`: loads from the weight store at all engines, this one not counted. */
LoadEstimate estimateLoad(const AdapterScheduler &scheduler, const std::string &adapter,
                          int fetchesUnderWay, const LoadEstimator &estimator);

void recordLoadAccepted(AdapterScheduler &scheduler, const std::string &adapter,
                        std::int64_t version, const LoadEstimate &estimate, Instant now);

/**
 * The engine refused a call for an adapter that was taken to be there. Right after its load was
 * due, the load takes longer than expected, and is looked at again a little later; otherwise
 * nothing is known of the engine's slots until it has reported.
 */
void recordMissing(AdapterScheduler &scheduler, const std::string &adapter,
                   LoadEstimator &estimator, Instant now);

/**
 * The engine refused an order as busy. True if that is because a load that was taken as done is
 * still under way, so that it has no room for one more; that load is then looked at again later.
 */
bool recordBusyRefusal(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now);

/** Loads under way are expected by what was learnt since they were ordered. */
void extendLoadEstimates(AdapterScheduler &scheduler, const LoadTimeModel &pace);

/**
 * How long a call waits for the outcome of the one that was let through first after a load; zero
 * if it goes now. While the time of loads is in doubt one call goes first and the others wait, or
 * all of them would be refused, each at the cost of a repeat.
 */
Duration probeCallDelay(AdapterScheduler &scheduler, const std::string &adapter,
                        const LoadTimeModel &pace, Instant now);

/**
 * True if a load is expected to go on for long after the time that it would take alone: a report
 * may show that it is done already.
 */
bool isReportCheckDue(const AdapterScheduler &scheduler, const LoadTimeModel &pace, Instant now);

/**
 * Takes loads that a report shows as done, also one that is too old to be taken as a whole; true if
 * there was any. It teaches that such loads take no longer.
 */
bool applyCompletedLoads(AdapterScheduler &scheduler, const EngineReport &report,
                         LoadEstimator &estimator, Instant now);

/** Takes what has become of loads whose calls would have been refused by now. */
void learnFromLoads(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now);

/** Loads from the weight store that are under way at the engine. */
int fetchesUnderWay(const AdapterScheduler &scheduler) noexcept;
void recordUnloaded(AdapterScheduler &scheduler, const std::string &adapter);

/** The engine drops it only when its calls have ended: somebody used it after all. */
void recordDeferredUnload(AdapterScheduler &scheduler, const std::string &adapter);

/** True if some adapter will be dropped when its calls have ended: only a report tells when. */
bool hasDeferredUnload(const AdapterScheduler &scheduler) noexcept;

/** A call for it has been let through and is on its way. */
void recordPendingCall(AdapterScheduler &scheduler, const std::string &adapter, Instant now);

/** An order was accepted; the engine counts one more. */
void advanceSequence(AdapterScheduler &scheduler, Instant now);

/** It is not known whether the last order was accepted; a report has to tell. */
void invalidateSequence(AdapterScheduler &scheduler);

/** Takes how many calls of all VMs use each adapter now. */
void updateRuns(AdapterScheduler &scheduler, const std::map<std::string, int> &runs, Instant now);

/** Slots that could take another adapter now. */
int idleSlots(const AdapterScheduler &scheduler, Instant now);

/**
 * When a slot can be taken for another adapter at the earliest, if no further call uses it; zero:
 * that depends on when calls end.
 */
Instant nextFreeSlotTime(const AdapterScheduler &scheduler, Instant now);

/** Marks loads whose time has come as done; true if any was. */
bool completeDueLoads(AdapterScheduler &scheduler, Instant now);

} // namespace monsoonbay
