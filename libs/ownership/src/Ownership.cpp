#include "ownership/Ownership.h"

#include <algorithm>

namespace monsoonbay {

namespace {

TargetClaim *claimOf(OwnershipState &state, TargetId target)
{
    const auto found = std::lower_bound(
        state.claims.begin(), state.claims.end(), target,
        [](const TargetClaim &claim, TargetId id) { return claim.target.target < id; });
    const bool present = found != state.claims.end() && found->target.target == target;
    return present ? &*found : nullptr;
}

bool isCandidate(const OwnershipState &state, VmId vm)
{
    return std::any_of(state.candidates.begin(), state.candidates.end(),
                       [vm](const OwnerCandidate &candidate) { return candidate.vm == vm; });
}

// Rendezvous hashing over the entry VMs of the target's zone, or over all of them if it has none.
VmId preferredOwner(const OwnershipState &state, const OwnedTarget &target)
{
    const bool zoneHasOne = std::any_of(
        state.candidates.begin(), state.candidates.end(),
        [&target](const OwnerCandidate &candidate) { return candidate.zone == target.zone; });
    VmId best;
    std::uint64_t highest = 0;
    for (const OwnerCandidate &candidate : state.candidates) {
        if (zoneHasOne && candidate.zone != target.zone)
            continue;
        const std::uint64_t score = rendezvousScore(target.target.value, candidate.vm.value);
        if (best.value != 0 && score <= highest)
            continue;
        best = candidate.vm;
        highest = score;
    }
    return best;
}

int ownedBy(const OwnershipState &state, VmId vm, const std::string &zone)
{
    return static_cast<int>(
        std::count_if(state.claims.begin(), state.claims.end(), [&](const TargetClaim &claim) {
            return claim.owner == vm && claim.target.zone == zone;
        }));
}

// Two VMs that claim during the same outage start from the same highest token. The engine would
// accept commands of both if their tokens were equal, so the low half is the claimant's id.
FencingToken nextLocalToken(const OwnershipState &state)
{
    constexpr unsigned counterShift = 32;
    const std::uint64_t counter = (state.highest.local >> counterShift) + 1;
    const std::uint64_t claimant = state.self.value & 0xffffffffU;
    return FencingToken{state.highest.offset, counter << counterShift | claimant};
}

bool isOurs(const OwnershipState &state, const TargetClaim &claim)
{
    return claim.phase == ClaimPhase::Owner && claim.owner == state.self;
}

void dropClaim(TargetClaim &claim)
{
    claim.phase = ClaimPhase::None;
    claim.leaseUntil = Instant{};
}

bool shouldClaim(const OwnershipState &state, const TargetClaim &claim, Instant now)
{
    if (state.leaving || claim.phase != ClaimPhase::None)
        return false;
    if (now < state.startedAt + state.config.startupDelay)
        return false;
    // Claiming an unreachable target would take it from a zone that is cut off but still serves
    // it, without being able to serve it here.
    if (claim.reachableAt + state.config.reachableFor < now)
        return false;
    const bool heldByAnother = claim.owner.value != 0 && claim.owner != state.self
        && !claim.released && isCandidate(state, claim.owner);
    if (heldByAnother)
        return false;
    return preferredOwner(state, claim.target) == state.self;
}

// The previous owner may send commands until its lease ends, at the latest one lease duration after
// the claim takes effect: from then on a fenced engine refuses its commands; an unfenced one does
// not, but the owner itself stops when it cannot renew.
void startOwning(OwnershipState &state, TargetClaim &claim, Instant now)
{
    claim.phase = ClaimPhase::Owner;
    claim.claimedAt = now;
    const bool handedOver = claim.released;
    // The last requests of the previous owner may still be in flight to the engine.
    claim.commandAfter = now + state.config.margin + (handedOver ? Duration{} : state.config.lease);
    claim.owner = state.self;
    claim.ownerToken = claim.token;
    claim.released = false;
    claim.wasOwned = true;
}

// For unfenced engines, the log is the arbiter of claims that are in it; otherwise the zone's peers
// are, and only while all of them report. A silent peer may have claimed through a log that this VM
// cannot read, and an owner that relies on the log does not know claims that are not in it.
Instant unfencedLease(const OwnershipState &state, const TargetClaim &claim)
{
    const bool inLog = claim.token.local == 0 && state.hasReadLog;
    const Instant byLog = inLog ? state.logReadAt + state.config.lease : Instant{};
    const Instant byPeers = state.zonePeersContactAt + state.config.lease;
    return std::max(byLog, byPeers);
}

Instant leaseOf(const OwnershipState &state, const TargetClaim &claim)
{
    return claim.target.checksTokens ? claim.leaseUntil : unfencedLease(state, claim);
}

// A zone-local claim is recorded once the log is back; the new claim waits like any other.
bool shouldRecord(const OwnershipState &state, const TargetClaim &claim, Instant now)
{
    const bool logIsBack = state.hasReadLog && state.logReadAt + state.config.lease / 2 > now;
    return claim.phase == ClaimPhase::Owner && !claim.target.checksTokens && claim.token.local != 0
        && logIsBack && !state.leaving && claim.claimedAt + state.config.lease < now;
}

void confirm(OwnershipState &state, TargetClaim &claim, const FencingToken &token, Instant now)
{
    claim.token = token;
    state.highest = std::max(state.highest, token);
    if (claim.target.checksTokens)
        claim.phase = ClaimPhase::Confirming;
    else
        startOwning(state, claim, now);
}

void addHandOver(const OwnershipState &state, TargetClaim &claim, OwnershipActions &actions,
                 Instant now)
{
    if (!isOurs(state, claim) || now < claim.claimedAt + state.config.minTenure)
        return;
    const VmId preferred = preferredOwner(state, claim.target);
    if (preferred == state.self || preferred.value == 0)
        return;
    const bool foreign = claim.target.zone != state.zone;
    const int ours = ownedBy(state, state.self, claim.target.zone);
    const int theirs = ownedBy(state, preferred, claim.target.zone);
    if (!foreign && ours < theirs + 2)
        return;
    dropClaim(claim);
    claim.released = true;
    actions.handOvers.push_back(HandOver{claim.target.target, preferred});
}

} // namespace

OwnershipState makeOwnership(const OwnershipConfig &config, VmId self, const std::string &zone,
                             Instant now)
{
    OwnershipState state;
    state.config = config;
    state.self = self;
    state.zone = zone;
    state.startedAt = now;
    return state;
}

void setTargets(OwnershipState &state, const std::vector<OwnedTarget> &targets)
{
    std::vector<TargetClaim> claims;
    for (const OwnedTarget &target : targets) {
        const TargetClaim *known = findClaim(state, target.target);
        TargetClaim claim = known == nullptr ? TargetClaim{} : *known;
        claim.target = target;
        claims.push_back(claim);
    }
    std::sort(claims.begin(), claims.end(), [](const TargetClaim &a, const TargetClaim &b) {
        return a.target.target < b.target.target;
    });
    state.claims = std::move(claims);
}

void setCandidates(OwnershipState &state, const std::vector<OwnerCandidate> &candidates)
{
    state.candidates = candidates;
}

void recordReachable(OwnershipState &state, TargetId target, Instant now)
{
    TargetClaim *claim = claimOf(state, target);
    if (claim != nullptr)
        claim->reachableAt = std::max(claim->reachableAt, now);
}

void recordLogRead(OwnershipState &state, Instant startedAt)
{
    state.logReadAt = std::max(state.logReadAt, startedAt);
    state.hasReadLog = true;
}

void recordZonePeersContact(OwnershipState &state, Instant reportedAt)
{
    state.zonePeersContactAt = std::max(state.zonePeersContactAt, reportedAt);
}

void applyClaim(OwnershipState &state, TargetId target, VmId owner, const FencingToken &token,
                bool released)
{
    state.highest = std::max(state.highest, token);
    TargetClaim *claim = claimOf(state, target);
    if (claim == nullptr)
        return;
    const bool newer = token > claim->ownerToken;
    const bool releasedNow = released && token == claim->ownerToken && owner == claim->owner;
    if (owner != state.self && releasedNow)
        claim->released = true;
    if (!newer)
        return;
    const bool replacesUs =
        owner != state.self && claim->phase != ClaimPhase::None && token > claim->token;
    if (replacesUs)
        dropClaim(*claim);
    if (owner == state.self)
        return;
    claim->owner = owner;
    claim->ownerToken = token;
    claim->released = released;
    claim->wasOwned = true;
}

void finishAppend(OwnershipState &state, const std::vector<TargetId> &targets, std::uint64_t offset,
                  Instant now)
{
    for (const TargetId target : targets) {
        TargetClaim *claim = claimOf(state, target);
        if (claim == nullptr || claim->phase != ClaimPhase::Appending)
            continue;
        FencingToken token{offset, 0};
        // The log is down, or its answer was lost, or its offsets were reset: the engine would
        // refuse a token that is not above all that it has seen. The local counter puts it above.
        if (token <= state.highest)
            token = nextLocalToken(state);
        confirm(state, *claim, token, now);
    }
}

void recordEngineAccepted(OwnershipState &state, TargetId target, const FencingToken &token,
                          Instant askedAt, Instant now)
{
    TargetClaim *claim = claimOf(state, target);
    if (claim == nullptr || claim->phase == ClaimPhase::None || claim->token != token)
        return;
    claim->reachableAt = std::max(claim->reachableAt, now);
    if (claim->phase == ClaimPhase::Confirming)
        startOwning(state, *claim, now);
    claim->leaseUntil = std::max(claim->leaseUntil, askedAt + state.config.lease);
}

void recordEngineRefused(OwnershipState &state, TargetId target, const FencingToken &higher)
{
    state.highest = std::max(state.highest, higher);
    TargetClaim *claim = claimOf(state, target);
    if (claim == nullptr || claim->token >= higher)
        return;
    dropClaim(*claim);
}

OwnershipActions tick(OwnershipState &state, Instant now)
{
    OwnershipActions actions;
    const Duration renewEvery = state.config.lease / 4;
    for (TargetClaim &claim : state.claims) {
        addHandOver(state, claim, actions, now);
        if (shouldClaim(state, claim, now) || shouldRecord(state, claim, now)) {
            claim.phase = ClaimPhase::Appending;
            actions.append.push_back(claim.target.target);
            continue;
        }
        const bool announces =
            claim.phase == ClaimPhase::Confirming || claim.phase == ClaimPhase::Owner;
        if (!announces || now < claim.renewedAt + renewEvery)
            continue;
        claim.renewedAt = now;
        actions.engineClaims.push_back(EngineClaim{claim.target.target, claim.token});
    }
    return actions;
}

void releaseAll(OwnershipState &state)
{
    state.leaving = true;
    for (TargetClaim &claim : state.claims) {
        if (claim.phase == ClaimPhase::None)
            continue;
        claim.released = claim.owner == state.self;
        dropClaim(claim);
    }
}

bool mayDispatch(const OwnershipState &state, TargetId target, Instant now)
{
    const TargetClaim *claim = findClaim(state, target);
    if (claim == nullptr || !isOurs(state, *claim) || now >= leaseOf(state, *claim))
        return false;
    // A fenced engine no longer accepts evictions of the previous owner, so requests may run next
    // to its last ones. An unfenced engine still does.
    return claim->target.checksTokens || now >= claim->commandAfter;
}

bool mayCommand(const OwnershipState &state, TargetId target, Instant now)
{
    const TargetClaim *claim = findClaim(state, target);
    return claim != nullptr && mayDispatch(state, target, now) && now >= claim->commandAfter;
}

VmId ownerOf(const OwnershipState &state, TargetId target)
{
    const TargetClaim *claim = findClaim(state, target);
    return claim == nullptr ? VmId{} : claim->owner;
}

const TargetClaim *findClaim(const OwnershipState &state, TargetId target)
{
    return claimOf(const_cast<OwnershipState &>(state), target);
}

} // namespace monsoonbay
