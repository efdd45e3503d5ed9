#include "serving/OrderDesk.h"

#include <algorithm>
#include <utility>

#include "serving/TargetEntry.h"

namespace monsoonbay {

namespace {

/**
 * A slot that was in use this recently may have a call on its way: VMs tell the holder within some
 * 10 ms what they use.
 */
constexpr Duration settleAfterUse = std::chrono::milliseconds(60);

bool isInUse(const SlotUse &slot, Instant now)
{
    return slot.loading || slot.leaving || slot.runs > 0 || now - slot.usedAt < settleAfterUse;
}

/** A load that is expected to be done within this is not looked at: reports lag as much. */
constexpr Duration lookBefore = std::chrono::milliseconds(150);

/** A call that is refused this soon after a load was due came too early. */
constexpr Duration freshlyLoaded = std::chrono::milliseconds(150);

/** From the word to a call that its adapter is there to the word that the engine refused it. */
constexpr Duration trialTime = std::chrono::milliseconds(30);

/** With more refused calls for one load, something else is wrong than its time. */
constexpr int mostEarlyCalls = 8;

/**
 * Slots that a new holder finds may be in use by calls that it has not been told of yet; VMs learn
 * who the new holder is within this.
 */
constexpr Duration newHolderTold = std::chrono::milliseconds(600);

/** From the word that an adapter is there to the note of the call that asked for it. */
constexpr Duration callOnItsWay = std::chrono::milliseconds(100);

/** A report that shows a load under way after its expected end is looked at again after this. */
constexpr Duration loadLook = std::chrono::milliseconds(120);

/** Reports are "some hundred ms" old, by the platform's word. */
constexpr Duration longestReportLag = std::chrono::milliseconds(500);

/** The idle slot that was used longest ago; empty if all are in use. */
std::string idlestSlot(const OrderDesk &desk, const std::string &except, Instant now)
{
    std::string idlest;
    Instant oldest{};
    for (const auto &[adapter, slot] : desk.slots) {
        if (isInUse(slot, now) || adapter == except)
            continue;
        if (!idlest.empty() && slot.usedAt >= oldest)
            continue;
        idlest = adapter;
        oldest = slot.usedAt;
    }
    return idlest;
}

int loadsUnderWay(const OrderDesk &desk)
{
    return static_cast<int>(std::count_if(desk.slots.begin(), desk.slots.end(),
                                          [](const auto &slot) { return slot.second.loading; }));
}

} // namespace

void restartDesk(OrderDesk &desk, std::int64_t born)
{
    const int adapterSlots = desk.adapterSlots;
    desk = OrderDesk();
    desk.adapterSlots = adapterSlots;
    desk.born = born;
}

// Reports lag by some hundred ms. One from before the last accepted order would show that order's
// slot as free; the engine's count of orders tells such a report from a current one. The count
// known here can be too high by itself, when the engine took an order as done without counting it,
// so a report that cannot lag any more is always taken.
bool takeReport(OrderDesk &desk, const EngineReport &report, Instant now)
{
    const WordAge age = ageOfWord(desk.born, report.born);
    if (age == WordAge::Older)
        return false;
    if (age == WordAge::Newer)
        restartDesk(desk, report.born);
    desk.born = std::max(desk.born, report.born);
    const bool mayLag = now - desk.acceptedAt < longestReportLag;
    if (report.sequence < desk.leastSequence && mayLag)
        return false;
    std::unordered_map<std::string, SlotUse> slots;
    for (const auto &[adapter, version] : report.resident) {
        SlotUse slot;
        const auto known = desk.slots.find(adapter);
        if (known != desk.slots.end())
            slot = known->second;
        else
            slot.usedAt = now + newHolderTold;
        slot.version = version;
        slot.loading = false;
        slots[adapter] = slot;
        if (known == desk.slots.end())
            recordTouch(desk.copies, adapter);
    }
    for (const auto &[adapter, version] : report.incoming) {
        SlotUse slot;
        const auto known = desk.slots.find(adapter);
        if (known != desk.slots.end())
            slot = known->second;
        slot.version = version;
        slot.loading = true;
        slot.readyAt = std::max(slot.readyAt, now + loadLook);
        slots[adapter] = slot;
    }
    desk.slots = std::move(slots);
    desk.models = report.models;
    desk.sequence = report.sequence;
    desk.leastSequence = report.sequence;
    return true;
}

DeskChoice nextDeskStep(const OrderDesk &desk, const std::string &adapter, std::int64_t version,
                        Instant now)
{
    const auto found = desk.slots.find(adapter);
    if (found != desk.slots.end()) {
        const SlotUse &slot = found->second;
        if (slot.leaving)
            return {DeskStep::NoSlot, {}};
        if (slot.version >= version)
            return {slot.loading ? DeskStep::Wait : DeskStep::Ready, {}};
        if (slot.loading)
            return {DeskStep::Wait, {}};
        // An engine that is told to replace or unload an adapter in use takes no other order until
        // those calls have ended, which can be many seconds. The old version stays until it is
        // idle; meanwhile the new one is loaded elsewhere.
        if (isInUse(slot, now))
            return {DeskStep::NoSlot, {}};
        return {DeskStep::Unload, adapter};
    }
    if (loadsUnderWay(desk) >= maxLoadsPerEngine)
        return {DeskStep::Wait, {}};
    // An engine that is ordered to hold more adapters than it has slots for crashes, so a slot is
    // freed and seen to be free before the load is ordered.
    if (static_cast<int>(desk.slots.size()) < desk.adapterSlots)
        return {DeskStep::Load, {}};
    std::string victim = idlestSlot(desk, adapter, now);
    if (victim.empty())
        return {DeskStep::NoSlot, {}};
    return {DeskStep::Unload, std::move(victim)};
}

void noteLoadAccepted(OrderDesk &desk, const std::string &adapter, std::int64_t version,
                      const LoadEstimate &estimate, Instant now)
{
    SlotUse &slot = desk.slots[adapter];
    slot = SlotUse();
    slot.version = version;
    slot.loading = true;
    slot.fetched = estimate.fetched;
    slot.orderedAt = now;
    slot.sequence = desk.sequence + 1;
    slot.readyAt = now + estimate.time;
    slot.usedAt = slot.readyAt;
    slot.underWay = estimate.underWay;
    slot.loadsSinceTouch = loadsSinceTouch(desk.copies, adapter);
    slot.judged = false;
    recordTouch(desk.copies, adapter);
}

void noteUnloaded(OrderDesk &desk, const std::string &adapter)
{
    recordTouch(desk.copies, adapter);
    desk.slots.erase(adapter);
}

// Such an adapter must not be chosen again as the one to go, nor counted as free: the engine takes
// no other order before those calls have ended, and refuses new calls for it meanwhile.
void noteUnloadDeferred(OrderDesk &desk, const std::string &adapter)
{
    const auto slot = desk.slots.find(adapter);
    if (slot != desk.slots.end())
        slot->second.leaving = true;
}

bool awaitsDrop(const OrderDesk &desk) noexcept
{
    return std::any_of(desk.slots.begin(), desk.slots.end(),
                       [](const auto &slot) { return slot.second.leaving; });
}

void noteCallComing(OrderDesk &desk, const std::string &adapter, Instant now)
{
    const auto slot = desk.slots.find(adapter);
    if (slot != desk.slots.end())
        slot->second.usedAt = std::max(slot->second.usedAt, now + callOnItsWay);
}

void noteSequence(OrderDesk &desk, Instant now)
{
    desk.acceptedAt = now;
    ++desk.sequence;
    desk.leastSequence = desk.sequence;
}

void forgetSequence(OrderDesk &desk)
{
    desk.sequence = -1;
}

void noteRuns(OrderDesk &desk, const std::map<std::string, int> &runs, Instant now)
{
    for (auto &[adapter, slot] : desk.slots) {
        const auto used = runs.find(adapter);
        slot.runs = used == runs.end() ? 0 : used->second;
        if (slot.runs > 0)
            slot.usedAt = now;
    }
}

int idleSlots(const OrderDesk &desk, Instant now)
{
    const auto used = std::count_if(desk.slots.begin(), desk.slots.end(),
                                    [now](const auto &slot) { return isInUse(slot.second, now); });
    return desk.adapterSlots - static_cast<int>(used);
}

// A load that is under way is for callers who wait for it, so its slot is not free afterwards.
Instant slotExpected(const OrderDesk &desk, Instant now)
{
    if (static_cast<int>(desk.slots.size()) < desk.adapterSlots)
        return now;
    Instant first{};
    for (const auto &[adapter, slot] : desk.slots) {
        if (slot.loading || slot.leaving || slot.runs > 0)
            continue;
        const Instant idleAt = std::max(now, slot.usedAt + settleAfterUse);
        if (first == Instant{} || idleAt < first)
            first = idleAt;
    }
    return first;
}

LoadEstimate estimateLoad(const OrderDesk &desk, const std::string &adapter, int fetchesUnderWay,
                          const LoadBeliefs &beliefs)
{
    LoadEstimate estimate;
    estimate.underWay = fetchesUnderWay + 1;
    estimate.fetched = !hasHostCopy(desk.copies, adapter, beliefs.memory);
    estimate.time =
        estimate.fetched ? fetchTime(beliefs.pace, estimate.underWay) : hostCopyTime(beliefs.pace);
    return estimate;
}

int fetchesUnderWay(const OrderDesk &desk) noexcept
{
    return static_cast<int>(
        std::count_if(desk.slots.begin(), desk.slots.end(),
                      [](const auto &slot) { return slot.second.loading && slot.second.fetched; }));
}

// An adapter that was believed to be in the engine's memory and is not comes from the weight store,
// and is expected when that load would be done.
void noteMissing(OrderDesk &desk, const std::string &adapter, LoadBeliefs &beliefs, Instant now)
{
    const auto found = desk.slots.find(adapter);
    if (found == desk.slots.end() || found->second.loading)
        return;
    SlotUse &slot = found->second;
    const bool early = now - slot.readyAt < freshlyLoaded && slot.earlyCalls < mostEarlyCalls;
    if (!early) {
        forgetSequence(desk);
        return;
    }
    const Duration waited = now - slot.orderedAt;
    ++slot.earlyCalls;
    slot.readyAt = now + nextLookAfter(waited, slot.earlyCalls);
    const bool mayBeCopy = !slot.fetched && slot.earlyCalls == 1;
    if (mayBeCopy) {
        // The way of this order may have been a little longer than that of others.
    } else if (slot.fetched) {
        noteEarlyCall(beliefs.pace, slot.underWay, waited);
    } else {
        shortenRetention(beliefs.memory, slot.loadsSinceTouch);
        slot.fetched = true;
        slot.readyAt =
            std::max(slot.readyAt, slot.orderedAt + fetchTime(beliefs.pace, slot.underWay));
    }
    slot.loading = true;
    slot.judged = false;
    slot.usedAt = slot.readyAt;
}

// Symptom without this: the holder takes the refusal for a count of orders that differs, asks for a
// report, and gives no order for 60 ms and more, on the most crowded engines.
bool noteStillLoading(OrderDesk &desk, LoadBeliefs &beliefs, Instant now)
{
    int underWay = loadsUnderWay(desk);
    const std::string *newest = nullptr;
    Instant newestAt{};
    for (const auto &[adapter, slot] : desk.slots) {
        if (slot.loading || slot.judged)
            continue;
        ++underWay;
        if (newest != nullptr && slot.orderedAt <= newestAt)
            continue;
        newest = &adapter;
        newestAt = slot.orderedAt;
    }
    if (newest == nullptr || underWay < maxLoadsPerEngine)
        return false;
    noteMissing(desk, std::string(*newest), beliefs, now);
    return desk.sequence >= 0;
}

void stretchLoads(OrderDesk &desk, const LoadPace &pace)
{
    for (auto &[adapter, slot] : desk.slots) {
        if (slot.loading && slot.fetched && slot.earlyCalls == 0)
            slot.readyAt = std::max(slot.readyAt, slot.orderedAt + fetchTime(pace, slot.underWay));
    }
}

Duration waitForTrial(OrderDesk &desk, const std::string &adapter, const LoadPace &pace,
                      Instant now)
{
    const auto found = desk.slots.find(adapter);
    if (found == desk.slots.end() || found->second.judged || !isInDoubt(pace))
        return Duration::zero();
    SlotUse &slot = found->second;
    const bool first = slot.triedAt < slot.readyAt;
    if (first)
        slot.triedAt = now;
    return first ? Duration::zero() : std::max(slot.triedAt + trialTime - now, Duration::zero());
}

void judgeLoads(OrderDesk &desk, LoadBeliefs &beliefs, Instant now)
{
    for (auto &[adapter, slot] : desk.slots) {
        if (slot.judged || slot.loading || now - slot.readyAt < freshlyLoaded)
            continue;
        slot.judged = true;
        if (slot.fetched)
            noteLoadOnTime(beliefs.pace, slot.underWay, slot.readyAt - slot.orderedAt);
        else
            lengthenRetention(beliefs.memory, slot.loadsSinceTouch);
    }
}

// Calls wait until a load is expected to be done, so a time that is believed too long is never seen
// to be so: loads seem to be under way for longer, the store seems more crowded, and the next ones
// are expected to take as long. A look at the engine in between ends that.
bool isLookDue(const OrderDesk &desk, const LoadPace &pace, Instant now)
{
    const Duration alone = fetchTime(pace, 1);
    return std::any_of(desk.slots.begin(), desk.slots.end(), [&](const auto &entry) {
        const SlotUse &slot = entry.second;
        return slot.loading && slot.fetched && now - slot.orderedAt >= alone
            && slot.readyAt - now >= lookBefore;
    });
}

bool takeLoadsDone(OrderDesk &desk, const EngineReport &report, LoadBeliefs &beliefs, Instant now)
{
    if (ageOfWord(desk.born, report.born) != WordAge::Same)
        return false;
    bool any = false;
    for (auto &[adapter, slot] : desk.slots) {
        // A report of before the order may show the adapter as it was there at another time.
        const auto held = report.resident.find(adapter);
        const bool done = slot.loading && report.sequence >= slot.sequence
            && held != report.resident.end() && held->second >= slot.version;
        if (!done)
            continue;
        any = true;
        slot.loading = false;
        slot.readyAt = std::min(slot.readyAt, now);
        slot.usedAt = std::max(slot.usedAt, now);
        slot.judged = true;
        if (slot.fetched)
            noteLoadSeenDone(beliefs.pace, slot.underWay, now - slot.orderedAt);
    }
    return any;
}

bool settleLoads(OrderDesk &desk, Instant now)
{
    bool any = false;
    for (auto &[adapter, slot] : desk.slots) {
        if (!slot.loading || now < slot.readyAt)
            continue;
        slot.loading = false;
        any = true;
    }
    return any;
}

} // namespace monsoonbay
