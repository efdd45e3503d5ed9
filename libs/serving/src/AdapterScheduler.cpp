#include "serving/AdapterScheduler.h"

#include <algorithm>
#include <utility>

#include "serving/TargetEntry.h"

namespace monsoonbay {

namespace {

/**
 * A slot that was in use this recently may have a call on its way: VMs report their usage to the
 * lease holder within about 10 ms.
 */
constexpr Duration usageReportDelay = std::chrono::milliseconds(60);

bool isInUse(const AdapterSlot &slot, Instant now)
{
    return slot.loading || slot.unloadDeferred || slot.runs > 0
        || now - slot.lastUsedAt < usageReportDelay;
}

/**
 * A load that is expected to be done within this time is not checked, as reports lag by as much.
 */
constexpr Duration minRemainingForCheck = std::chrono::milliseconds(150);

/** A call that was let through and is not refused within this time has found its adapter. */
constexpr Duration earlyCallWindow = std::chrono::milliseconds(150);

/** From telling a call that its adapter is resident to hearing that the engine refused the call. */
constexpr Duration probeTimeout = std::chrono::milliseconds(30);

/**
 * A load that no report has shown as done is tried by a call this long after it was due: the engine
 * may not answer the requests for reports.
 */
constexpr Duration longestUnreported = std::chrono::milliseconds(800);

/** Commands whose acceptance is remembered; reports lag by less than that many take. */
constexpr std::size_t maxAcceptances = 16;

/** With more refused calls for one load, the cause is not its estimated time. */
constexpr int maxEarlyCalls = 8;

/**
 * Slots found by a new lease holder may be in use by calls that were not reported to it yet; VMs
 * learn of the new holder within this time.
 */
constexpr Duration newHolderDelay = std::chrono::milliseconds(600);

/**
 * From telling a call that its adapter is resident until its VM's usage report includes the call.
 */
constexpr Duration pendingCallTime = std::chrono::milliseconds(100);

/**
 * Delay until the next check of a load that a report shows as still running after its expected end.
 */
constexpr Duration overdueRecheckDelay = std::chrono::milliseconds(120);

/** The platform states that reports are "some hundred ms" old. */
constexpr Duration maxReportLag = std::chrono::milliseconds(500);

/** The least recently used idle slot; empty if all are in use. */
std::string leastRecentlyUsed(const AdapterScheduler &scheduler, const std::string &except,
                              Instant now)
{
    std::string candidate;
    Instant oldest{};
    for (const auto &[adapter, slot] : scheduler.slots) {
        if (isInUse(slot, now) || adapter == except)
            continue;
        if (!candidate.empty() && slot.lastUsedAt >= oldest)
            continue;
        candidate = adapter;
        oldest = slot.lastUsedAt;
    }
    return candidate;
}

int loadsUnderWay(const AdapterScheduler &scheduler)
{
    return static_cast<int>(std::count_if(scheduler.slots.begin(), scheduler.slots.end(),
                                          [](const auto &slot) { return slot.second.loading; }));
}

// A report that lacks a command is from before that command, and one that includes it from after
// it. The age of earlier reports is the best guess between these two.
void updateReportAge(AdapterScheduler &scheduler, const EngineReport &report, Instant now)
{
    Duration least = Duration::zero();
    Duration most = maxReportLag;
    for (const CommandAcceptance &acceptance : scheduler.acceptances) {
        const Duration since = now - acceptance.at;
        if (acceptance.sequence > report.sequence)
            least = std::max(least, since);
        else
            most = std::min(most, since);
    }
    scheduler.reportAge = std::max(std::min(scheduler.reportAge, most), std::min(least, most));
}

} // namespace

void resetScheduler(AdapterScheduler &scheduler, std::int64_t startTime)
{
    const int adapterSlots = scheduler.adapterSlots;
    scheduler = AdapterScheduler();
    scheduler.adapterSlots = adapterSlots;
    scheduler.startTime = startTime;
}

// Reports lag by some hundred ms. One from before the last accepted command would show the slot of
// that command as free; the engine's command count identifies such reports. The count known here
// may be too high, when the engine confirmed a command as already done without counting it. A
// report that can no longer lag is therefore always applied.
bool applyEngineReport(AdapterScheduler &scheduler, const EngineReport &report, Instant now)
{
    const StartOrder age = compareStarts(scheduler.startTime, report.startTime);
    if (age == StartOrder::Older)
        return false;
    if (age == StartOrder::Newer)
        resetScheduler(scheduler, report.startTime);
    scheduler.startTime = std::max(scheduler.startTime, report.startTime);
    const bool mayLag = now - scheduler.acceptedAt < maxReportLag;
    if (report.sequence < scheduler.minSequence && mayLag)
        return false;
    std::unordered_map<std::string, AdapterSlot> slots;
    for (const auto &[adapter, version] : report.resident) {
        AdapterSlot slot;
        const auto known = scheduler.slots.find(adapter);
        if (known != scheduler.slots.end())
            slot = known->second;
        else
            slot.lastUsedAt = now + newHolderDelay;
        slot.version = version;
        slot.loading = false;
        slots[adapter] = slot;
        if (known == scheduler.slots.end())
            recordTouch(scheduler.copies, adapter);
    }
    for (const auto &[adapter, version] : report.incoming) {
        AdapterSlot slot;
        const auto known = scheduler.slots.find(adapter);
        if (known != scheduler.slots.end())
            slot = known->second;
        else
            slot.awaitsReport = true;
        slot.version = version;
        slot.loading = true;
        slot.readyAt = std::max(slot.readyAt, now + overdueRecheckDelay);
        slots[adapter] = slot;
    }
    scheduler.slots = std::move(slots);
    scheduler.models = report.models;
    scheduler.sequence = report.sequence;
    scheduler.minSequence = report.sequence;
    scheduler.acceptances.clear();
    return true;
}

SchedulerDecision nextCommand(const AdapterScheduler &scheduler, const std::string &adapter,
                              std::int64_t version, Instant now)
{
    const auto found = scheduler.slots.find(adapter);
    if (found != scheduler.slots.end()) {
        const AdapterSlot &slot = found->second;
        if (slot.unloadDeferred)
            return {SchedulerStep::NoSlot, {}};
        if (slot.version >= version)
            return {slot.loading ? SchedulerStep::Wait : SchedulerStep::Ready, {}};
        if (slot.loading)
            return {SchedulerStep::Wait, {}};
        // An engine that is told to replace or unload an adapter in use accepts no other command
        // until the calls using it have ended, which can take many seconds. The old version stays
        // until it is idle; meanwhile the new one is loaded elsewhere.
        if (isInUse(slot, now))
            return {SchedulerStep::NoSlot, {}};
        return {SchedulerStep::Unload, adapter};
    }
    if (loadsUnderWay(scheduler) >= maxLoadsPerEngine)
        return {SchedulerStep::Wait, {}};
    // An engine that is commanded to hold more adapters than it has slots for crashes, so a slot is
    // freed, and known to be free, before the load command is sent.
    if (static_cast<int>(scheduler.slots.size()) < scheduler.adapterSlots)
        return {SchedulerStep::Load, {}};
    std::string victim = leastRecentlyUsed(scheduler, adapter, now);
    if (victim.empty())
        return {SchedulerStep::NoSlot, {}};
    return {SchedulerStep::Unload, std::move(victim)};
}

void recordLoadAccepted(AdapterScheduler &scheduler, const std::string &adapter,
                        std::int64_t version, const LoadEstimate &estimate, Instant now)
{
    AdapterSlot &slot = scheduler.slots[adapter];
    slot = AdapterSlot();
    slot.version = version;
    slot.loading = true;
    slot.awaitsReport = estimate.fetched && !estimate.known;
    slot.fetched = estimate.fetched;
    slot.requestedAt = now;
    slot.sequence = scheduler.sequence + 1;
    slot.readyAt = now + estimate.time;
    slot.lastUsedAt = slot.readyAt;
    slot.concurrentLoads = estimate.concurrentLoads;
    slot.loadsSinceTouch = loadsSinceTouch(scheduler.copies, adapter);
    slot.confirmed = false;
    recordTouch(scheduler.copies, adapter);
}

void recordUnloaded(AdapterScheduler &scheduler, const std::string &adapter)
{
    recordTouch(scheduler.copies, adapter);
    scheduler.slots.erase(adapter);
}

// Such an adapter must not be chosen as the victim again or counted as free: the engine accepts no
// other command before its calls have ended, and refuses new calls for it meanwhile.
void recordDeferredUnload(AdapterScheduler &scheduler, const std::string &adapter)
{
    const auto slot = scheduler.slots.find(adapter);
    if (slot != scheduler.slots.end())
        slot->second.unloadDeferred = true;
}

bool hasDeferredUnload(const AdapterScheduler &scheduler) noexcept
{
    return std::any_of(scheduler.slots.begin(), scheduler.slots.end(),
                       [](const auto &slot) { return slot.second.unloadDeferred; });
}

void recordPendingCall(AdapterScheduler &scheduler, const std::string &adapter, Instant now)
{
    const auto slot = scheduler.slots.find(adapter);
    if (slot != scheduler.slots.end())
        slot->second.lastUsedAt = std::max(slot->second.lastUsedAt, now + pendingCallTime);
}

void advanceSequence(AdapterScheduler &scheduler, Instant now)
{
    scheduler.acceptedAt = now;
    ++scheduler.sequence;
    scheduler.minSequence = scheduler.sequence;
    scheduler.acceptances.push_back({scheduler.sequence, now});
    if (scheduler.acceptances.size() > maxAcceptances)
        scheduler.acceptances.pop_front();
}

void invalidateSequence(AdapterScheduler &scheduler)
{
    scheduler.sequence = -1;
    scheduler.acceptances.clear();
}

void updateRuns(AdapterScheduler &scheduler, const std::map<std::string, int> &runs, Instant now)
{
    for (auto &[adapter, slot] : scheduler.slots) {
        const auto used = runs.find(adapter);
        slot.runs = used == runs.end() ? 0 : used->second;
        if (slot.runs > 0)
            slot.lastUsedAt = now;
    }
}

int idleSlots(const AdapterScheduler &scheduler, Instant now)
{
    const auto used = std::count_if(scheduler.slots.begin(), scheduler.slots.end(),
                                    [now](const auto &slot) { return isInUse(slot.second, now); });
    return scheduler.adapterSlots - static_cast<int>(used);
}

// Callers wait for the loads that are running, so the slots of these are not free afterwards.
Instant nextFreeSlotTime(const AdapterScheduler &scheduler, Instant now)
{
    if (static_cast<int>(scheduler.slots.size()) < scheduler.adapterSlots)
        return now;
    Instant first{};
    for (const auto &[adapter, slot] : scheduler.slots) {
        if (slot.loading || slot.unloadDeferred || slot.runs > 0)
            continue;
        const Instant idleAt = std::max(now, slot.lastUsedAt + usageReportDelay);
        if (first == Instant{} || idleAt < first)
            first = idleAt;
    }
    return first;
}

LoadEstimate estimateLoad(const AdapterScheduler &scheduler, const std::string &adapter,
                          int fetchesUnderWay, const LoadEstimator &estimator)
{
    LoadEstimate estimate;
    estimate.concurrentLoads = fetchesUnderWay + 1;
    estimate.fetched = !hasHostCopy(scheduler.copies, adapter, estimator.memory);
    estimate.time = estimate.fetched ? fetchTime(estimator.times, estimate.concurrentLoads)
                                     : hostCopyTime(estimator.times);
    estimate.known = isFetchTimeKnown(estimator.times, estimate.concurrentLoads);
    return estimate;
}

int fetchesUnderWay(const AdapterScheduler &scheduler) noexcept
{
    return static_cast<int>(
        std::count_if(scheduler.slots.begin(), scheduler.slots.end(),
                      [](const auto &slot) { return slot.second.loading && slot.second.fetched; }));
}

// An adapter that was assumed to be in the engine's host memory and is not comes from the weight
// store instead, and is expected when that load would be done.
void recordMissing(AdapterScheduler &scheduler, const std::string &adapter,
                   LoadEstimator &estimator, Instant now)
{
    const auto found = scheduler.slots.find(adapter);
    if (found == scheduler.slots.end() || found->second.loading)
        return;
    AdapterSlot &slot = found->second;
    const bool early = !slot.confirmed && slot.earlyCalls < maxEarlyCalls
        && now - slot.readyAt < longestUnreported;
    if (!early) {
        invalidateSequence(scheduler);
        return;
    }
    const Duration waited = now - slot.requestedAt;
    ++slot.earlyCalls;
    slot.readyAt = now + recheckDelay(waited, slot.earlyCalls);
    const bool triedBefore = slot.earlyCalls > 1;
    const bool uncertain = isUncertain(estimator.times);
    const bool mayBeLatency = !slot.fetched && slot.earlyCalls == 1;
    if (mayBeLatency) {
        // This command may just have taken slightly longer on its way than others.
    } else if (slot.fetched) {
        recordEarlyCall(estimator.times, slot.concurrentLoads, waited);
        slot.awaitsReport = triedBefore || uncertain;
    } else {
        shortenRetention(estimator.memory, slot.loadsSinceTouch);
        slot.fetched = true;
        slot.readyAt = std::max(
            slot.readyAt, slot.requestedAt + fetchTime(estimator.times, slot.concurrentLoads));
        slot.awaitsReport = !isFetchTimeKnown(estimator.times, slot.concurrentLoads);
    }
    slot.loading = true;
    slot.confirmed = false;
    slot.lastUsedAt = slot.readyAt;
}

// Without this, the lease holder would take the refusal for a wrong command count, ask for a
// report, and send no command for 60 ms or more, on the most heavily loaded engines.
bool recordBusyRefusal(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now)
{
    int runningLoads = loadsUnderWay(scheduler);
    const std::string *newest = nullptr;
    Instant newestAt{};
    for (const auto &[adapter, slot] : scheduler.slots) {
        if (slot.loading || slot.confirmed)
            continue;
        ++runningLoads;
        if (newest != nullptr && slot.requestedAt <= newestAt)
            continue;
        newest = &adapter;
        newestAt = slot.requestedAt;
    }
    if (newest == nullptr || runningLoads < maxLoadsPerEngine)
        return false;
    recordMissing(scheduler, std::string(*newest), estimator, now);
    return scheduler.sequence >= 0;
}

void extendLoadEstimates(AdapterScheduler &scheduler, const LoadTimeModel &times)
{
    for (auto &[adapter, slot] : scheduler.slots) {
        if (!slot.loading || !slot.fetched || slot.earlyCalls > 0)
            continue;
        slot.readyAt =
            std::max(slot.readyAt, slot.requestedAt + fetchTime(times, slot.concurrentLoads));
        slot.awaitsReport = slot.awaitsReport && !isFetchTimeKnown(times, slot.concurrentLoads);
    }
}

namespace {

bool awaitsReport(const AdapterSlot &slot) noexcept
{
    return slot.loading && slot.awaitsReport;
}

} // namespace

bool awaitsReport(const AdapterScheduler &scheduler, const std::string &adapter) noexcept
{
    const auto found = scheduler.slots.find(adapter);
    return found != scheduler.slots.end() && awaitsReport(found->second);
}

bool awaitsAnyReport(const AdapterScheduler &scheduler) noexcept
{
    return std::any_of(scheduler.slots.begin(), scheduler.slots.end(),
                       [](const auto &slot) { return awaitsReport(slot.second); });
}

Duration probeCallDelay(AdapterScheduler &scheduler, const std::string &adapter,
                        const LoadTimeModel &times, Instant now)
{
    const auto found = scheduler.slots.find(adapter);
    if (found == scheduler.slots.end() || found->second.confirmed)
        return Duration::zero();
    AdapterSlot &slot = found->second;
    const bool first = slot.probedAt < slot.readyAt;
    if (first)
        slot.probedAt = now;
    return first || !isUncertain(times)
        ? Duration::zero()
        : std::max(slot.probedAt + probeTimeout - now, Duration::zero());
}

bool isShared(const AdapterSlot &slot, const LoadTimeModel &times) noexcept
{
    return !slot.loading && (slot.confirmed || !isUncertain(times));
}

// A load that no call has tried shows nothing: its callers may have left.
bool learnFromLoads(AdapterScheduler &scheduler, LoadEstimator &estimator, Instant now)
{
    bool any = false;
    for (auto &[adapter, slot] : scheduler.slots) {
        const bool tried = slot.probedAt >= slot.readyAt && now - slot.probedAt >= earlyCallWindow;
        if (slot.confirmed || slot.loading || !tried)
            continue;
        any = true;
        slot.confirmed = true;
        if (slot.fetched)
            recordLoadOnTime(estimator.times, slot.concurrentLoads,
                             slot.readyAt - slot.requestedAt);
        else
            lengthenRetention(estimator.memory, slot.loadsSinceTouch);
    }
    return any;
}

// Calls wait until a load is expected to be done, so an estimate that is too long would never be
// corrected: loads would seem to run for longer, the store would seem more loaded, and the next
// loads would be expected to take as long. Checking the engine in between breaks this cycle.
bool isReportCheckDue(const AdapterScheduler &scheduler, const LoadTimeModel &times, Instant now)
{
    const Duration alone = shortestFetchTime(times);
    return std::any_of(scheduler.slots.begin(), scheduler.slots.end(), [&](const auto &entry) {
        const AdapterSlot &slot = entry.second;
        const bool untried = !slot.loading && !slot.confirmed && slot.probedAt < slot.readyAt
            && now - slot.readyAt >= earlyCallWindow;
        return untried
            || (slot.loading && slot.fetched && now - slot.requestedAt >= alone
                && slot.readyAt - now >= minRemainingForCheck);
    });
}

bool applyCompletedLoads(AdapterScheduler &scheduler, const EngineReport &report,
                         LoadEstimator &estimator, Instant now)
{
    if (compareStarts(scheduler.startTime, report.startTime) != StartOrder::Same)
        return false;
    updateReportAge(scheduler, report, now);
    bool any = false;
    // What passed for the answer to the command was none, so the count known here is wrong.
    bool neverAccepted = false;
    for (auto &[adapter, slot] : scheduler.slots) {
        if (!slot.loading && slot.confirmed)
            continue;
        // A report from before the command may show the adapter from an earlier stay.
        if (report.sequence < slot.sequence) {
            neverAccepted = neverAccepted || now - slot.requestedAt > maxReportLag;
            continue;
        }
        const auto held = report.resident.find(adapter);
        const bool done = held != report.resident.end() && held->second >= slot.version;
        if (!done && slot.awaitsReport)
            slot.readyAt = std::max(slot.readyAt, now);
        if (!done)
            continue;
        any = true;
        slot.loading = false;
        slot.readyAt = std::min(slot.readyAt, now);
        slot.lastUsedAt = std::max(slot.lastUsedAt, now);
        slot.confirmed = true;
        if (!slot.fetched)
            continue;
        const Duration elapsed = now - scheduler.reportAge - slot.requestedAt;
        if (slot.awaitsReport)
            recordAwaitedLoadDone(estimator.times, slot.concurrentLoads, elapsed);
        recordLoadSeenDone(estimator.times, slot.concurrentLoads, elapsed);
    }
    if (neverAccepted)
        invalidateSequence(scheduler);
    return any || neverAccepted;
}

bool completeDueLoads(AdapterScheduler &scheduler, Instant now)
{
    bool any = false;
    for (auto &[adapter, slot] : scheduler.slots) {
        const Duration unreported = slot.awaitsReport ? longestUnreported : Duration::zero();
        if (!slot.loading || now < slot.readyAt + unreported)
            continue;
        slot.loading = false;
        if (slot.awaitsReport)
            slot.readyAt = now;
        any = true;
    }
    return any;
}

} // namespace monsoonbay
