#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** An adapter in a slot of an engine, as its holder knows it. */
struct SlotUse
{
    std::int64_t version = 0;
    bool loading = false;
    Instant readyAt{}; ///< while loading: when it is expected to be there
    Instant usedAt{}; ///< last time some VM was seen to use it
    bool leaving = false; ///< it will be dropped when the calls that use it have ended
    bool fetched = false; ///< from the weight store, not from the engine's own memory
    int runs = 0; ///< calls that use it now, as far as the VMs have told
};

/** State of one engine at the VM that orders it. */
struct OrderDesk
{
    std::int64_t born = 0; ///< start of the engine that all this is of; see TargetEntry
    int adapterSlots = 0;
    std::int64_t sequence = -1; ///< orders the engine has accepted; below 0: not known
    std::int64_t leastSequence = 0; ///< a report that counts fewer is older than what is known
    Instant acceptedAt{}; ///< of the last order
    std::unordered_map<std::string, SlotUse> slots; ///< by adapter key
    std::set<std::string> models; ///< base models that are there
    Instant modelReadyAt{}; ///< when the model under way is expected; zero: none is
    std::list<std::string> hostCopies; ///< adapters that load fast again, newest first
};

/** Takes what the engine reports of itself. */
struct EngineReport
{
    std::int64_t born = 0; ///< start of the engine that this is of; see TargetEntry
    std::int64_t sequence = 0;
    std::set<std::string> models;
    std::unordered_map<std::string, std::int64_t> resident;
    std::unordered_map<std::string, std::int64_t> incoming;
};

/**
 * The engine was started anew under its id: it holds nothing, counts its orders anew, and what was
 * under way at it is of no account. A report tells the rest.
 */
void restartDesk(OrderDesk &desk, std::int64_t born);

/** Takes a report; false, and nothing changed, if it is older than what is known already. */
bool takeReport(OrderDesk &desk, const EngineReport &report, Instant now);

enum class DeskStep : std::uint8_t {
    Ready, ///< it is there
    Wait, ///< it is being loaded
    Unload, ///< unload `victim` first
    Load, ///< order the load
    NoSlot, ///< every slot that would have to go is in use
};

struct DeskChoice
{
    DeskStep step = DeskStep::NoSlot;
    std::string victim;

    auto operator<=>(const DeskChoice &) const = default;
};

/** What to do so that `adapter` becomes resident in at least `version`. */
DeskChoice nextDeskStep(const OrderDesk &desk, const std::string &adapter, std::int64_t version,
                        Instant now);

/** Loads an engine may have under way; a fifth is refused by the engines of the users' sheets. */
constexpr int maxLoadsPerEngine = 4;

void noteLoadAccepted(OrderDesk &desk, const std::string &adapter, std::int64_t version,
                      Duration loadTime, Instant now);
void noteUnloaded(OrderDesk &desk, const std::string &adapter);

/** The engine drops it only when its calls have ended: somebody used it after all. */
void noteUnloadDeferred(OrderDesk &desk, const std::string &adapter);

/** True if some adapter will be dropped when its calls have ended: only a report tells when. */
bool awaitsDrop(const OrderDesk &desk) noexcept;

/** A call for it has been let through and is on its way. */
void noteCallComing(OrderDesk &desk, const std::string &adapter, Instant now);

/** An order was accepted; the engine counts one more. */
void noteSequence(OrderDesk &desk, Instant now);

/** It is not known whether the last order was accepted; a report has to tell. */
void forgetSequence(OrderDesk &desk);

/** Takes how many calls of all VMs use each adapter now. */
void noteRuns(OrderDesk &desk, const std::map<std::string, int> &runs, Instant now);

/** Slots that could take another adapter now. */
int idleSlots(const OrderDesk &desk, Instant now);

/** How fast adapters come from the weight store. */
struct LoadPace
{
    /**
     * Until calls for the adapter are accepted: 250 ms by the sheets of the users' smaller sites,
     * and a little for the order's way. It grows when engines turn out to be slower.
     */
    Duration alone = std::chrono::milliseconds(265);
    int atFullSpeed = 8; ///< loads under way over all engines; more of them share the speed

    auto operator<=>(const LoadPace &) const = default;
};

/** Loads at full speed of a weight store for so many engines. */
int loadsAtFullSpeed(int engines) noexcept;

/** A call that came when a load was due to be done was refused: loads take longer than expected. */
void noteEarlyCall(LoadPace &pace) noexcept;

/** Expected time of a load. `underWay`: loads under way at all engines, this one counted. */
Duration loadTime(const OrderDesk &desk, const std::string &adapter, int underWay,
                  const LoadPace &pace);

/** True if calls for this slot are only accepted since just now, by what was expected. */
bool isFreshlyFetched(const SlotUse &slot, Instant now) noexcept;
bool hasHostCopy(const OrderDesk &desk, const std::string &adapter);

/** Marks loads whose time has come as done; true if any was. */
bool settleLoads(OrderDesk &desk, Instant now);

} // namespace monsoonbay
