#pragma once

#include <array>
#include <optional>
#include <vector>

#include "serving/PartitionLease.h"

namespace monsoonbay::leasemodel {

/** What may be switched on or off in a schedule. */
enum class Fault : int {
    StoreUnreachableFromFirst,
    StoreUnreachableFromSecond,
    PeersCut, ///< the VMs do not hear one another
    AnswersLost, ///< the store carries out renewals, their answers are lost
    FirstFrozen,
    SecondFrozen,
    FirstDown, ///< it ends, and is started anew when this ends
    SecondDown,
    Count, ///< number of faults, not one of them
};

/** Turns a fault on or off at a tick; Redeal moves the partition without being asked. */
struct Toggle
{
    int tick = 0;
    std::optional<Fault> fault; ///< none: the store deals all anew
};

constexpr auto tickLength = std::chrono::milliseconds(100);
constexpr int vmCount = 2;
const Instant modelStart = Instant{} + std::chrono::seconds(1000);

/** Deviations of the rules under test, to show that the model finds them. */
struct Mutation
{
    bool trustsAnyPeer = false; ///< a mate's word counts whatever it says
    bool ignoresPause = false; ///< the lease is held by a clock that stands still in a pause
    bool recordsBlindly = false; ///< notes are added whatever was added since they were read
};

/** The platform's store as far as it deals one partition. */
struct ModelStore
{
    std::int64_t generation = 0;
    int owner = -1;
    std::array<Instant, vmCount> joinedAt{};
    HolderRecords notes;

    void expire(Instant now, Duration ttl);
    void join(int vm, Instant now);
    void reassign();

private:
    void assign(int vm);
    bool isMember(int vm) const;
};

struct ModelVm
{
    PartitionLease lease;
    bool renewalFailing = false;
    PeerLeaseState peer;
    bool hasPeerState = false;
    Instant totalPause{}; ///< sum of pauses, for the mutation
    std::vector<HolderClaim> claims; ///< about to be noted
    std::uint64_t readEnd = 0; ///< of the notes that they rest on
    int addAt = 0; ///< tick in which they are added
};

/** Plays a schedule; returns the shortest time between orders of two different VMs. */
std::string nameOf(int vm);

Duration shortestChange(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing,
                        const Mutation &mutation);

/** Ticks in which some VM might order. */
int ticksActive(const std::vector<Toggle> &schedule, int ticks, const LeaseTiming &timing);

} // namespace monsoonbay::leasemodel
