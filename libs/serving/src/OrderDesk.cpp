#include "serving/OrderDesk.h"

#include <algorithm>
#include <utility>

#include "serving/TargetEntry.h"

namespace monsoonbay {

namespace {

/**
 * Adapters whose weights an engine keeps in its memory after they left their slot; they load ten
 * times as fast. The users' engines keep 54 of 66 MB; fewer are counted on here.
 */
constexpr std::size_t hostCopiesCountedOn = 40;

/**
 * A slot that was in use this recently may have a call on its way: VMs tell the holder within some
 * 10 ms what they use.
 */
constexpr Duration settleAfterUse = std::chrono::milliseconds(60);

bool isInUse(const SlotUse &slot, Instant now)
{
    return slot.loading || slot.leaving || slot.runs > 0 || now - slot.usedAt < settleAfterUse;
}

/**
 * Time until calls for an adapter from the engine's own memory are accepted: 25 ms by the users'
 * sheets, and a little for the order's way.
 */
constexpr Duration hostCopyLoad = std::chrono::milliseconds(40);

/** A call that is refused this soon after a load was due came too early. */
constexpr Duration freshlyFetched = std::chrono::milliseconds(150);

/** Each early call adds this to what loads are expected to take, up to the most. */
constexpr Duration slowerBy = std::chrono::milliseconds(15);
constexpr Duration slowestAlone = std::chrono::milliseconds(600);

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

/**
 * The users' weight stores carry 8 loads at full speed for 9 and 12 engines, 32 for 60 and 64 for
 * 140, by their sheets; no message tells the number, and half of the engines is close to each.
 */
constexpr int leastAtFullSpeed = 8;
constexpr int enginesPerLoad = 2;

void rememberHostCopy(OrderDesk &desk, const std::string &adapter)
{
    desk.hostCopies.remove(adapter);
    desk.hostCopies.push_front(adapter);
    if (desk.hostCopies.size() > hostCopiesCountedOn)
        desk.hostCopies.pop_back();
}

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
        rememberHostCopy(desk, adapter);
    }
    for (const auto &[adapter, version] : report.incoming) {
        SlotUse slot;
        slot.version = version;
        slot.loading = true;
        const auto known = desk.slots.find(adapter);
        const bool expectedLater = known != desk.slots.end() && known->second.readyAt > now;
        slot.readyAt = expectedLater ? known->second.readyAt : now + loadLook;
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
                      Duration loadTime, Instant now)
{
    SlotUse &slot = desk.slots[adapter];
    slot.version = version;
    slot.loading = true;
    slot.fetched = !hasHostCopy(desk, adapter);
    slot.readyAt = now + loadTime;
    slot.usedAt = now + loadTime;
    rememberHostCopy(desk, adapter);
}

void noteUnloaded(OrderDesk &desk, const std::string &adapter)
{
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

int loadsAtFullSpeed(int engines) noexcept
{
    return std::max(leastAtFullSpeed, engines / enginesPerLoad);
}

void noteEarlyCall(LoadPace &pace) noexcept
{
    pace.alone = std::min(pace.alone + slowerBy, slowestAlone);
}

Duration loadTime(const OrderDesk &desk, const std::string &adapter, int underWay,
                  const LoadPace &pace)
{
    if (hasHostCopy(desk, adapter))
        return hostCopyLoad;
    const int crowd = std::max(underWay, pace.atFullSpeed);
    return pace.alone * crowd / pace.atFullSpeed;
}

bool isFreshlyFetched(const SlotUse &slot, Instant now) noexcept
{
    return slot.fetched && !slot.loading && now - slot.readyAt < freshlyFetched;
}

bool hasHostCopy(const OrderDesk &desk, const std::string &adapter)
{
    return std::find(desk.hostCopies.begin(), desk.hostCopies.end(), adapter)
        != desk.hostCopies.end();
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
