#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Orders two claims to one target: the log's offset, then a counter of zone-local claims. */
struct FencingToken
{
    std::uint64_t offset = 0;
    std::uint64_t local = 0;

    auto operator<=>(const FencingToken &) const = default;
};

/** Timing of leases. All on CLOCK_BOOTTIME, so that a paused owner sees its pause. */
struct OwnershipConfig
{
    Duration lease = std::chrono::milliseconds(2000);
    Duration margin = std::chrono::milliseconds(300); ///< for clocks that run unequally fast
    Duration startupDelay = std::chrono::milliseconds(1000); ///< no claims so soon after the start
    Duration reachableFor = std::chrono::milliseconds(3000);
    Duration minTenure = std::chrono::seconds(5); ///< before a target moves for balance
};

/** A target as the VM list and the manifest tell of it. */
struct OwnedTarget
{
    TargetId target;
    std::string zone;
    bool checksTokens = false;

    auto operator<=>(const OwnedTarget &) const = default;
};

/** An entry VM that could own targets. */
struct OwnerCandidate
{
    VmId vm;
    std::string zone;

    auto operator<=>(const OwnerCandidate &) const = default;
};

enum class ClaimPhase : std::uint8_t {
    None,
    Appending, ///< the claim is on its way to the log
    Confirming, ///< has a token, the engine has not answered it yet
    Owner,
};

/** What this VM knows of the ownership of one target. */
struct TargetClaim
{
    OwnedTarget target;
    ClaimPhase phase = ClaimPhase::None;
    FencingToken token;
    Instant claimedAt{};
    Instant commandAfter{}; ///< earlier, the previous owner may still order
    Instant leaseUntil{};
    Instant reachableAt{};
    Instant renewedAt{};
    VmId owner; ///< the owner with the highest token heard of; value 0: none
    FencingToken ownerToken;
    bool released = false; ///< its previous owner handed it over
    bool wasOwned = false; ///< somebody was heard to own it
};

/** Ownership of all targets as one VM sees it; the arbiter is the engine, the log or the peers. */
struct OwnershipState
{
    OwnershipConfig config;
    VmId self;
    std::string zone;
    Instant startedAt{};
    std::vector<TargetClaim> claims;
    std::vector<OwnerCandidate> candidates; ///< alive entry VMs, this one among them
    FencingToken highest; ///< of any token seen anywhere
    Instant logReadAt{}; ///< start of the last complete read of the log
    Instant zonePeersContactAt{}; ///< when all zone peers had last been heard
    bool hasReadLog = false;
    bool leaving = false;
};

/** An order to renew or make known a claim at the engine. */
struct EngineClaim
{
    TargetId target;
    FencingToken token;
};

/** A target that another VM should take over now. */
struct HandOver
{
    TargetId target;
    VmId to;
};

struct OwnershipActions
{
    std::vector<TargetId> append; ///< claim all these with one append to the log
    std::vector<EngineClaim> engineClaims;
    std::vector<HandOver> handOvers;
};

OwnershipState makeOwnership(const OwnershipConfig &config, VmId self, const std::string &zone,
                             Instant now);

/** Replaces the list of targets; claims of targets that stay are kept. */
void setTargets(OwnershipState &state, const std::vector<OwnedTarget> &targets);

/** Replaces the list of alive entry VMs. */
void setCandidates(OwnershipState &state, const std::vector<OwnerCandidate> &candidates);

/** The target answered something; only a reachable target is claimed. */
void noteReachable(OwnershipState &state, TargetId target, Instant now);

/** A complete read of the log, begun at `startedAt`, showed all claims in it. */
void recordLogRead(OwnershipState &state, Instant startedAt);

/** Every other entry VM of this zone had been heard at `heardAt`. */
void recordZonePeersContact(OwnershipState &state, Instant heardAt);

/** A claim of another VM, from the log or from a peer. `released`: it gives the target up. */
void applyClaim(OwnershipState &state, TargetId target, VmId owner, const FencingToken &token,
                bool released);

/** The append of a claim ended; offset 0 means it failed or its answer was lost. */
void finishAppend(OwnershipState &state, const std::vector<TargetId> &targets, std::uint64_t offset,
                  Instant now);

/** The engine took an order with our token that was sent at `askedAt`. */
void recordEngineAccepted(OwnershipState &state, TargetId target, const FencingToken &token,
                          Instant askedAt, Instant now);

/** The engine refused our token; it knows of a higher one. */
void recordEngineRefused(OwnershipState &state, TargetId target, const FencingToken &higher);

OwnershipActions tick(OwnershipState &state, Instant now);

/** Ends all ownership for a shutdown; the targets are to be told as released. */
void releaseAll(OwnershipState &state);

/** True if this VM may send requests to the target now. */
bool mayDispatch(const OwnershipState &state, TargetId target, Instant now);

/** True if this VM may order loads and evictions on the target now. Check before every order. */
bool mayCommand(const OwnershipState &state, TargetId target, Instant now);

/** The VM to send requests for a target to; value 0 if none is known. */
VmId ownerOf(const OwnershipState &state, TargetId target);

const TargetClaim *findClaim(const OwnershipState &state, TargetId target);

} // namespace monsoonbay
