#pragma once

#include <cstdint>
#include <deque>
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

/** State of one adapter in a slot of an engine, as its lease holder knows it. */
struct AdapterSlot
{
    std::int64_t version = 0;
    bool loading = false;
    Instant readyAt{}; ///< while loading: when the load is expected to be done
    Instant lastUsedAt{}; ///< when calls of some VM were last known to use it
    bool unloadDeferred = false; ///< it is unloaded when the calls that use it have ended
    bool fetched = false; ///< from the weight store, not from the engine's host memory
    Instant requestedAt{}; ///< when the load was accepted
    Instant probedAt{}; ///< when the latest call was let through that may show whether the load is
                        ///< done
    int concurrentLoads = 1; ///< from the weight store over all engines, including this one
    double loadsSinceTouch = -1; ///< loads at this engine since its last stay; below 0: never there
    std::int64_t sequence = 0; ///< the engine's count of accepted commands including its load
    bool awaitsReport = false; ///< while loading: only a report shows that the load is done
    bool confirmed = true; ///< a report, or a call that was not refused, has shown that the load is
                           ///< done; the estimates have learnt from it
    int earlyCalls = 0; ///< calls refused since the load was accepted because it was not done
    int runs = 0; ///< calls that use it now, as reported by the VMs
};

/** When an engine accepted the command that raised its count to `sequence`. */
struct CommandAcceptance
{
    std::int64_t sequence = 0;
    Instant at{};

    auto operator<=>(const CommandAcceptance &) const = default;
};

/**
 * Adapter slots of one engine at the VM that holds the lease on it, with the rules for which load
 * or unload command comes next.
 */
struct AdapterScheduler
{
    std::int64_t startTime = 0; ///< of the engine start that this belongs to; see TargetEntry
    int adapterSlots = 0;
    std::int64_t sequence = -1; ///< commands that the engine has accepted; below 0: unknown
    std::int64_t minSequence = 0; ///< a report with a lower count is outdated
    Instant acceptedAt{}; ///< when the last command was accepted
    std::deque<CommandAcceptance> acceptances; ///< of the latest commands, oldest first
    Duration reportAge{}; ///< age of what its reports say, as far as these have shown it
    std::unordered_map<std::string, AdapterSlot> slots; ///< by adapter key
    std::set<std::string> models; ///< base models that are loaded
    Instant modelReadyAt{}; ///< when the base model being loaded is expected; zero: none is
    HostCopies copies; ///< adapters that the engine still has in host memory
};

/** What an engine reports about itself. */
struct EngineReport
{
    std::int64_t startTime = 0; ///< of the reporting engine; see TargetEntry
    std::int64_t sequence = 0;
    std::set<std::string> models;
    std::unordered_map<std::string, std::int64_t> resident;
    std::unordered_map<std::string, std::int64_t> incoming;
};

/**
 * The engine has restarted under the same id: it holds nothing and its command count starts over.
 * Discards everything but the number of slots; the next report brings the new state.
 */
void resetScheduler(AdapterScheduler &scheduler, std::int64_t startTime);

/**
 * Applies a report. Returns false and changes nothing if the report is older than the known state.
 */
bool applyEngineReport(AdapterScheduler &scheduler, const EngineReport &report, Instant now);

enum class SchedulerStep : std::uint8_t {
    Ready, ///< the adapter is resident
    Wait, ///< the adapter is being loaded, or as many loads as allowed are
    Unload, ///< unload `victim` first
    Load, ///< send the load command
    NoSlot, ///< no slot can be freed, as all are in use
};

struct SchedulerDecision
{
    SchedulerStep step = SchedulerStep::NoSlot;
    std::string victim;

    auto operator<=>(const SchedulerDecision &) const = default;
};

/** What to do next so that `adapter` becomes resident in at least `version`. */
SchedulerDecision nextCommand(const AdapterScheduler &scheduler, const std::string &adapter,
                              std::int64_t version, Instant now);

/**
 * Loads that an engine may have running at once; the engines in the users' traces refuse a fifth.
 */
constexpr int maxLoadsPerEngine = 4;

/** What was learnt about loads over all engines. */
struct LoadEstimator
{
    LoadTimeModel times;
    HostRetention memory;

    auto operator<=>(const LoadEstimator &) const = default;
};

/** Expected time of a load and what the estimate is based on. */
struct LoadEstimate
{
    Duration time{};
    int concurrentLoads = 1; ///< from the weight store over all engines, including this one
    bool fetched = false; ///< from the weight store, not from the engine's host memory
    bool known = true; ///< it follows from observed loads

    auto operator<=>(const LoadEstimate &) const = default;
};

/** `fetchesUnderWay`: running loads from the weight store at all engines, not counting this one. */
LoadEstimate estimateLoad(const AdapterScheduler &scheduler, const std::string &adapter,
                          int fetchesUnderWay, const LoadEstimator &estimator);

void recordLoadAccepted(AdapterScheduler &scheduler, const std::string &adapter,
                        std::int64_t version, const LoadEstimate &estimate, Instant now);

/**
 * The engine refused a call because an adapter that was expected to be resident is missing. Shortly
 * after the load was due this means that the load takes longer than expected: one that is usually
 * done in time is checked by another call a little later, any other one by reports. Otherwise the
 * state of the slots is unknown until the next report.
 */
void recordMissing(AdapterScheduler &scheduler, const std::string &adapter,
                   LoadEstimator &estimator, Instant now);

/**
 * The engine refused a load command as busy. Returns true if the reason is that a load assumed to
 * be done is still running, so that the engine is at its limit of loads; that load is checked again
 * later.
 */
bool recordBusyRefusal(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now);

/** Updates the expected times of running loads by what was learnt since they were accepted. */
void extendLoadEstimates(AdapterScheduler &scheduler, const LoadTimeModel &times);

/**
 * How long a call waits for the outcome of the first call that uses a newly loaded adapter; zero if
 * it may go now. While load times are uncertain, one call goes first as a probe: if all went and
 * the load were not done, each refusal would cost a retry.
 */
Duration probeCallDelay(AdapterScheduler &scheduler, const std::string &adapter,
                        const LoadTimeModel &times, Instant now);

/** True if the end of a load of this adapter shows only in a report. */
bool awaitsReport(const AdapterScheduler &scheduler, const std::string &adapter) noexcept;

/** The same for a load of any adapter. */
bool awaitsAnyReport(const AdapterScheduler &scheduler) noexcept;

/**
 * True if a load is expected to go on for long after the time that it would take without concurrent
 * loads, so that a report may show that it is already done.
 */
bool isReportCheckDue(const AdapterScheduler &scheduler, const LoadTimeModel &times, Instant now);

/**
 * Marks the loads done that a report shows as done, even if the report is too old to be applied as
 * a whole. Returns true if there were any. The estimates learn that such loads take no longer.
 */
bool applyCompletedLoads(AdapterScheduler &scheduler, const EngineReport &report,
                         LoadEstimator &estimator, Instant now);

/**
 * Updates the estimates with loads that were done in time: a call was let through, and would have
 * been refused by now. Returns true if there were any.
 */
bool learnFromLoads(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now);

/**
 * True if all calls may use the adapter at once: it is there, or it is expected to be there and
 * loads have been done in time.
 */
bool isShared(const AdapterSlot &slot, const LoadTimeModel &times) noexcept;

/** Running loads from the weight store at the engine. */
int fetchesUnderWay(const AdapterScheduler &scheduler) noexcept;
void recordUnloaded(AdapterScheduler &scheduler, const std::string &adapter);

/** The engine unloads the adapter only once its calls have ended, as it turned out to be in use. */
void recordDeferredUnload(AdapterScheduler &scheduler, const std::string &adapter);

/** True if an adapter will be unloaded once its calls have ended; only a report shows when. */
bool hasDeferredUnload(const AdapterScheduler &scheduler) noexcept;

/** A call that uses the adapter was admitted and has not reached the engine yet. */
void recordPendingCall(AdapterScheduler &scheduler, const std::string &adapter, Instant now);

/** A command was accepted; the engine's count goes up by one. */
void advanceSequence(AdapterScheduler &scheduler, Instant now);

/** The outcome of the last command is unknown; a report has to bring the count. */
void invalidateSequence(AdapterScheduler &scheduler);

/** Sets how many calls of all VMs use each adapter now. */
void updateRuns(AdapterScheduler &scheduler, const std::map<std::string, int> &runs, Instant now);

/** Slots that can take another adapter now. */
int idleSlots(const AdapterScheduler &scheduler, Instant now);

/**
 * Earliest time at which a slot can take another adapter, provided that no further call uses it;
 * zero: that depends on when calls end.
 */
Instant nextFreeSlotTime(const AdapterScheduler &scheduler, Instant now);

/** Marks loads done whose expected time has passed; true if there were any. */
bool completeDueLoads(AdapterScheduler &scheduler, Instant now);

} // namespace monsoonbay
