#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/LeaseGeneration.h"
#include "serving/LeaseTiming.h"

namespace monsoonbay {

/** A VM's report whether it may send commands, to another one of its zone. */
struct PeerLeaseState
{
    Instant receivedAt{};
    LeaseGeneration generation; ///< newest generation that it knows
    bool storeUnreachable = false; ///< its own last renewal failed
    bool leftGroup = false; ///< it sends no command until it is started again

    auto operator<=>(const PeerLeaseState &) const = default;
};

/** A VM that may be assigned partitions of this zone, whether or not it ever sent a message. */
struct ZoneMember
{
    Instant knownSince{}; ///< when the store's list, or a message, first named it
    Instant lastMessageAt{}; ///< zero: none yet
    std::optional<PeerLeaseState> report; ///< its last one; nullopt: none yet
    Instant firstReportAt{}; ///< since then it knows this VM
    std::string vm; ///< its name

    auto operator<=>(const ZoneMember &) const = default;
};

/** The other VMs of the zone. */
struct ZoneMembers
{
    bool listRead = false; ///< the store's list of VMs was read, so that none is missing
    std::vector<ZoneMember> others;

    bool operator==(const ZoneMembers &) const = default;
};

/** True if the VM was silent for so long that it is taken as gone. */
bool isGone(const ZoneMember &member, const LeaseTiming &timing, Instant now) noexcept;

/**
 * Until when a VM that cannot reach the store may go on with what it was assigned in `held`; zero:
 * not at all. Each other member has to have reported lately that it does not send commands.
 */
Instant extensionEnd(const LeaseGeneration &held, const ZoneMembers &members,
                     const LeaseTiming &timing, Instant now) noexcept;

/** Who may still send commands to the engines of a partition that another VM was assigned. */
enum class FormerHolder {
    Nobody, ///< no other VM ever could, or not since this one did
    Named, ///< one VM at most
    Unknown, ///< any VM of the zone
};

/**
 * From when a VM that joined the lease group at `joinedAt` may send commands to a partition whose
 * former holder is the VM `named`, or as `former` says: not beside one that cannot reach the store
 * and does not know this VM.
 */
Instant newMemberActiveFrom(const ZoneMembers &members, FormerHolder former,
                            const std::string &named, Instant joinedAt, const LeaseTiming &timing);

} // namespace monsoonbay
