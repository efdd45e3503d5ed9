#pragma once

#include <array>
#include <optional>
#include <vector>

#include "serving/PartitionLease.h"

namespace monsoonbay::leasemodel {

/** Faults that a schedule may turn on or off. */
enum class Fault : int {
    StoreUnreachableFromFirst,
    StoreUnreachableFromSecond,
    PeersCut, ///< the VMs get no reports from each other
    AnswersLost, ///< the store executes renewals, but their answers are lost
    FirstFrozen,
    SecondFrozen,
    FirstUnlinked, ///< it reaches no engine, sends no command, and yields after a while
    SecondUnlinked,
    FirstDown, ///< the process ends; it restarts when the fault is turned off
    SecondDown,
    SecondStopped, ///< as down, after it has left the lease group
    ListUnreadable, ///< the store answers no read of the list of VMs
    Count, ///< number of faults, not one of them
};

/** What the store does of itself. */
enum class StoreEvent : int {
    Reassign, ///< it assigns the partition to the other member
    RestoreRecent, ///< it comes back from a copy that is 2 s old
    RestoreOlder, ///< from one that is 6 s old
    RestoreAgain, ///< from the copy that it came back from before, else as RestoreOlder
    Count, ///< number of events, not one of them
};

/** Turns a fault on or off at a tick, or lets the store do something. */
struct Toggle
{
    int tick = 0;
    std::optional<Fault> fault; ///< nullopt: the event happens
    StoreEvent event = StoreEvent::Reassign;
};

constexpr auto tickLength = std::chrono::milliseconds(100);
constexpr int vmCount = 2;
const Instant modelStart = Instant{} + std::chrono::seconds(1000);

/** Deviations from the rules under test, to show that the model finds them. */
struct Mutation
{
    bool trustsAnyPeer = false; ///< any report of the other VM extends the lease
    bool ignoresPause = false; ///< the clock of the lease stops while the VM is paused
    bool recordsBlindly = false; ///< records are added even if others were added since the read
    bool forgetsCommands = false; ///< a release does not count the last command
    bool ignoresEra = false; ///< all that the store answers counts as of one era
    bool trustsOldRecords = false; ///< holder records of an earlier era count as of this one
    bool countsOldWait = false; ///< time waited in an earlier era counts in this one
    bool ignoresUnheard = false; ///< a member that was not heard yet has no say in an extension
    bool assumesList = false; ///< a list of VMs that was not read yet counts as an empty one
    bool newMemberNeverWaits = false; ///< a VM that the holder may not know waits like any other
    bool recordsWhileWaiting = false; ///< such a VM adds its records first, and trusts them later
    bool trustsOldLeave = false; ///< a member that left has no say, also once it is back
};

/** The platform's store, as far as it assigns one partition. */
struct ModelStore
{
    LeaseGeneration generation;
    int owner = -1;
    std::array<Instant, vmCount> joinedAt{};
    std::array<bool, vmCount> listed{}; ///< in the list of VMs
    HolderRecords records;

    void expire(Instant now, Duration ttl);
    void join(int vm, Instant now);
    void leave(int vm);
    void reassign();
    void restore(const ModelStore &copy, Instant now);

private:
    void assign(int vm);
    bool isMember(int vm) const;
};

struct ModelVm
{
    PartitionLease lease;
    bool renewalFailing = false;
    bool listRead = false;
    std::optional<ZoneMember> peer; ///< the other VM, once the list or a report has named it
    Instant joinedAt{};
    bool left = false; ///< it has left the lease group and is about to end
    bool namedAsHolder = false; ///< by records that it has read, for the mutation
    Instant totalPause{}; ///< sum of all pauses, for the mutation
    std::vector<HolderClaim> claims; ///< about to be added to the store
    LeaseGeneration claimedIn;
    std::uint64_t readEnd = 0; ///< `logEnd` of the records that the claims are based on
    int addAt = 0; ///< tick in which they are added
    int unlinkedTicks = 0; ///< since when it reaches no engine; 0: it does
};

std::string nameOf(int vm);

/** What an engine saw of the commands in a schedule. */
struct Outcome
{
    Duration shortestHandover = Duration::max(); ///< between commands of two different VMs
    int wrongTokens = 0; ///< commands with a lower token than one before, or with another VM's
    int activeTicks = 0; ///< in which some VM could send commands
};

Outcome play(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
             const Mutation &mutation = {});

} // namespace monsoonbay::leasemodel
