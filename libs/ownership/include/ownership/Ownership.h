#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Orders claims to a target: by the offset in the log, then by a counter of zone-local claims. */
struct FencingToken
{
    std::uint64_t offset = 0;
    std::uint64_t local = 0;

    auto operator<=>(const FencingToken &) const = default;
};

/** Timing of leases. All on CLOCK_BOOTTIME, which also counts while the owner is paused. */
struct OwnershipConfig
{
    Duration lease = std::chrono::milliseconds(2000);
    Duration margin = std::chrono::milliseconds(300); ///< for clocks that run at different rates
    Duration startupDelay =
        std::chrono::milliseconds(1000); ///< no claims for this long after the start
    Duration reachableFor = std::chrono::milliseconds(3000); ///< after a target's last answer
    Duration minTenure = std::chrono::seconds(5); ///< least time of ownership before a hand-over
};

/** A target as the VM list and the manifest describe it. */
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
    Appending, ///< the claim is being appended to the log
    Confirming, ///< it has a token that the engine has not accepted yet
    Owner,
};

/** What this VM knows about the ownership of one target. */
struct TargetClaim
{
    OwnedTarget target;
    ClaimPhase phase = ClaimPhase::None;
    FencingToken token;
    Instant claimedAt{};
    Instant commandAfter{}; ///< before that, the previous owner may still send commands
    Instant leaseUntil{};
    Instant reachableAt{};
    Instant renewedAt{};
    VmId owner; ///< the owner with the highest known token; value 0: none
    FencingToken ownerToken;
    bool released = false; ///< its previous owner handed it over
    bool wasOwned = false; ///< some VM is known to have owned it
};

/** Ownership of all targets as known to one VM; the arbiter is the engine, the log or the peers. */
struct OwnershipState
{
    OwnershipConfig config;
    VmId self;
    std::string zone;
    Instant startedAt{};
    std::vector<TargetClaim> claims;
    std::vector<OwnerCandidate> candidates; ///< alive entry VMs, including this one
    FencingToken highest; ///< of all tokens seen
    Instant logReadAt{}; ///< start of the last complete read of the log
    Instant zonePeersContactAt{}; ///< when all zone peers had last reported
    bool hasReadLog = false;
    bool leaving = false;
};

/** A command to announce or renew a claim at the engine. */
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
    std::vector<TargetId> append; ///< to be claimed with one append to the log
    std::vector<EngineClaim> engineClaims;
    std::vector<HandOver> handOvers;
};

OwnershipState makeOwnership(const OwnershipConfig &config, VmId self, const std::string &zone,
                             Instant now);

/** Replaces the list of targets; claims of targets that stay are kept. */
void setTargets(OwnershipState &state, const std::vector<OwnedTarget> &targets);

/** Replaces the list of alive entry VMs. */
void setCandidates(OwnershipState &state, const std::vector<OwnerCandidate> &candidates);

/** The target answered; only a reachable target is claimed. */
void recordReachable(OwnershipState &state, TargetId target, Instant now);

/** All claims in the log were read; the read was started at `startedAt`. */
void recordLogRead(OwnershipState &state, Instant startedAt);

/** Every other entry VM of this zone had reported by `reportedAt`. */
void recordZonePeersContact(OwnershipState &state, Instant reportedAt);

/** A claim of a VM, from the log or from a peer. `released`: the VM gives the target up. */
void applyClaim(OwnershipState &state, TargetId target, VmId owner, const FencingToken &token,
                bool released);

/** The append of claims ended; offset 0: it failed, or its answer was lost. */
void finishAppend(OwnershipState &state, const std::vector<TargetId> &targets, std::uint64_t offset,
                  Instant now);

/** The engine accepted a command with our token that was sent at `askedAt`. */
void recordEngineAccepted(OwnershipState &state, TargetId target, const FencingToken &token,
                          Instant askedAt, Instant now);

/** The engine refused our token, as it knows a higher one. */
void recordEngineRefused(OwnershipState &state, TargetId target, const FencingToken &higher);

OwnershipActions tick(OwnershipState &state, Instant now);

/** Ends all ownership for a shutdown; the targets are to be reported as released. */
void releaseAll(OwnershipState &state);

/** True if this VM may send requests to the target now. */
bool mayDispatch(const OwnershipState &state, TargetId target, Instant now);

/** True if this VM may command loads and evictions at the target now; check before each command. */
bool mayCommand(const OwnershipState &state, TargetId target, Instant now);

/** The VM to which requests for a target are sent; value 0: none is known. */
VmId ownerOf(const OwnershipState &state, TargetId target);

const TargetClaim *findClaim(const OwnershipState &state, TargetId target);

} // namespace monsoonbay
