#include "membership/Membership.h"

#include <algorithm>
#include <bit>

namespace monsoonbay {

namespace {

using Known = MembershipState::Known;

// The state has its own random generator, so that runs with the same events are reproducible.
std::uint64_t nextRandom(MembershipState &state)
{
    state.random = rendezvousScore(state.random, 0x9e3779b97f4a7c15ULL);
    return state.random;
}

Known *findKnown(MembershipState &state, VmId vm)
{
    const auto found = std::find_if(state.others.begin(), state.others.end(),
                                    [vm](const Known &known) { return known.member.vm == vm; });
    return found == state.others.end() ? nullptr : &*found;
}

int repeatsFor(const MembershipState &state)
{
    const auto members = static_cast<unsigned>(state.others.size() + 2);
    return state.config.gossipRepeats * static_cast<int>(std::bit_width(members));
}

bool countsAsAlive(MemberState memberState)
{
    return memberState == MemberState::Alive || memberState == MemberState::Suspect;
}

void change(MembershipState &state, Known &known, const Member &member, Instant now)
{
    if (countsAsAlive(known.member.state) != countsAsAlive(member.state))
        ++state.version;
    known.member = member;
    known.changedAt = now;
    known.gossipBudget = repeatsFor(state);
    if (member.state == MemberState::Alive)
        known.lastContactAt = now;
}

void setState(MembershipState &state, Known &known, MemberState memberState, Instant now)
{
    Member member = known.member;
    member.state = memberState;
    change(state, known, member, now);
}

// A higher incarnation wins; within one, the worse state wins, since only the member itself may
// clear a suspicion and it does so by a new incarnation.
bool supersedes(const Member &gossip, const Member &known)
{
    if (gossip.incarnation != known.incarnation)
        return gossip.incarnation > known.incarnation;
    return gossip.state > known.state;
}

void add(MembershipState &state, const Member &member, Instant now)
{
    Known known;
    known.member = member;
    known.changedAt = now;
    known.lastContactAt = now;
    known.gossipBudget = repeatsFor(state);
    state.others.push_back(known);
    ++state.version;
}

void refuteIfNeeded(MembershipState &state, const Member &gossip)
{
    const bool declaredFailed = gossip.state != MemberState::Alive
        && gossip.incarnation >= state.self.incarnation && state.self.state == MemberState::Alive;
    if (declaredFailed)
        state.self.incarnation = gossip.incarnation + 1;
}

void shuffleOrder(MembershipState &state)
{
    state.probeOrder.clear();
    for (std::size_t index = 0; index < state.others.size(); ++index) {
        if (state.others[index].member.state != MemberState::Left)
            state.probeOrder.push_back(index);
    }
    for (std::size_t left = state.probeOrder.size(); left > 1; --left)
        std::swap(state.probeOrder[left - 1], state.probeOrder[nextRandom(state) % left]);
    state.probeNext = 0;
}

void forgetOld(MembershipState &state, Instant now)
{
    const auto tooOld = [&](const Known &known) {
        return !countsAsAlive(known.member.state)
            && known.changedAt + state.config.forgetAfter < now;
    };
    const std::size_t erased = std::erase_if(state.others, tooOld);
    if (erased > 0)
        shuffleOrder(state);
}

void startProbes(MembershipState &state, std::vector<Probe> &probes, Instant now)
{
    for (int count = 0; count < state.config.probesPerPeriod; ++count) {
        if (state.probeNext >= state.probeOrder.size())
            shuffleOrder(state);
        if (state.probeOrder.empty())
            return;
        Known &known = state.others[state.probeOrder[state.probeNext++]];
        if (known.probing)
            continue;
        known.probing = true;
        known.indirect = false;
        known.probedAt = now;
        probes.push_back(Probe{known.member.vm, VmId{}});
    }
}

void addIndirectProbes(MembershipState &state, Known &silent, std::vector<Probe> &probes)
{
    silent.indirect = true;
    const std::size_t count = state.others.size();
    const std::size_t first = count == 0 ? 0 : nextRandom(state) % count;
    int sent = 0;
    for (std::size_t step = 0; step < count && sent < state.config.indirectProbes; ++step) {
        const Known &helper = state.others[(first + step) % count];
        const bool fit =
            helper.member.vm != silent.member.vm && helper.member.state == MemberState::Alive;
        if (!fit)
            continue;
        probes.push_back(Probe{silent.member.vm, helper.member.vm});
        ++sent;
    }
}

} // namespace

MembershipState makeMembership(const MembershipConfig &config, const Member &self,
                               std::uint64_t seed, Instant now)
{
    MembershipState state;
    state.config = config;
    state.self = self;
    state.random = seed;
    state.nextPeriod = now;
    return state;
}

void addSeed(MembershipState &state, const Member &member, Instant now)
{
    const bool known = member.vm == state.self.vm || findKnown(state, member.vm) != nullptr;
    if (known)
        return;
    // The list lags, so that a VM on it may be gone. It starts as a suspect until it reports or is
    // declared dead.
    Member seed = member;
    seed.incarnation = 0;
    seed.state = MemberState::Suspect;
    add(state, seed, now);
}

void applyGossip(MembershipState &state, const std::vector<Member> &gossip, Instant now)
{
    for (const Member &member : gossip) {
        if (member.vm == state.self.vm) {
            refuteIfNeeded(state, member);
            continue;
        }
        Known *known = findKnown(state, member.vm);
        if (known == nullptr) {
            if (countsAsAlive(member.state))
                add(state, member, now);
            continue;
        }
        if (supersedes(member, known->member))
            change(state, *known, member, now);
    }
}

void recordMessage(MembershipState &state, VmId vm, std::uint64_t incarnation, Instant now)
{
    Known *known = findKnown(state, vm);
    if (known == nullptr)
        return;
    known->lastContactAt = now;
    known->probing = false;
    // A message from a suspect clears the suspicion here at once. The other VMs wait for the
    // member's own refutation, which the gossip that follows triggers.
    const bool returned =
        incarnation > known->member.incarnation || known->member.state == MemberState::Suspect;
    // After a long partition the two sides have each other marked dead and no longer gossip it. A
    // dead member that sends a message has to be sent its state, or it would never refute it.
    if (!returned && known->member.state != MemberState::Alive)
        known->gossipBudget = std::max(known->gossipBudget, 1);
    if (!returned || known->member.state == MemberState::Left)
        return;
    Member member = known->member;
    member.incarnation = std::max(member.incarnation, incarnation);
    member.state = MemberState::Alive;
    change(state, *known, member, now);
}

void recordExchange(MembershipState &state, VmId vm, Instant now)
{
    Known *known = findKnown(state, vm);
    if (known != nullptr)
        known->exchangedAt = now;
}

void recordProbeResult(MembershipState &state, VmId vm, bool answered, Instant now)
{
    Known *known = findKnown(state, vm);
    if (known == nullptr || !answered)
        return;
    recordMessage(state, vm, known->member.incarnation, now);
}

std::vector<Probe> tick(MembershipState &state, Instant now)
{
    std::vector<Probe> probes;
    for (Known &known : state.others) {
        const bool silent = known.probing && known.probedAt + state.config.probeTimeout <= now;
        if (silent && !known.indirect) {
            addIndirectProbes(state, known, probes);
            continue;
        }
        const bool silentToAll =
            known.probing && known.probedAt + 3 * state.config.probeTimeout <= now;
        if (silentToAll) {
            known.probing = false;
            if (known.member.state == MemberState::Alive)
                setState(state, known, MemberState::Suspect, now);
        }
        const bool suspectedLong = known.member.state == MemberState::Suspect
            && known.changedAt + state.config.suspicion <= now;
        if (suspectedLong)
            setState(state, known, MemberState::Dead, now);
    }
    if (now < state.nextPeriod)
        return probes;
    state.nextPeriod = now + state.config.probePeriod;
    forgetOld(state, now);
    startProbes(state, probes, now);
    return probes;
}

std::vector<Member> nextGossip(MembershipState &state)
{
    std::vector<Member> gossip{state.self};
    std::vector<Known *> fresh;
    for (Known &known : state.others) {
        if (known.gossipBudget > 0)
            fresh.push_back(&known);
    }
    std::sort(fresh.begin(), fresh.end(), [](const Known *a, const Known *b) {
        return a->gossipBudget != b->gossipBudget ? a->gossipBudget > b->gossipBudget
                                                  : a->member.vm < b->member.vm;
    });
    for (Known *known : fresh) {
        if (static_cast<int>(gossip.size()) > state.config.gossipPerMessage)
            break;
        --known->gossipBudget;
        gossip.push_back(known->member);
    }
    return gossip;
}

void leave(MembershipState &state)
{
    state.self.state = MemberState::Left;
    ++state.self.incarnation;
    ++state.version;
}

std::vector<Member> aliveMembers(const MembershipState &state)
{
    std::vector<Member> alive;
    if (state.self.state == MemberState::Alive)
        alive.push_back(state.self);
    for (const Known &known : state.others) {
        // A seed that never sent anything is not a member yet: nothing may be assigned to it.
        const bool hasReported = known.member.incarnation > 0;
        if (hasReported && countsAsAlive(known.member.state))
            alive.push_back(known.member);
    }
    std::sort(alive.begin(), alive.end(),
              [](const Member &a, const Member &b) { return a.vm < b.vm; });
    return alive;
}

const Member *findMember(const MembershipState &state, VmId vm)
{
    if (vm == state.self.vm)
        return &state.self;
    for (const Known &known : state.others) {
        if (known.member.vm == vm)
            return &known.member;
    }
    return nullptr;
}

VmId rendezvousOwner(std::uint64_t key, const std::vector<VmId> &candidates)
{
    VmId best;
    std::uint64_t highest = 0;
    for (const VmId candidate : candidates) {
        const std::uint64_t score = rendezvousScore(key, candidate.value);
        const bool better =
            best.value == 0 || score > highest || (score == highest && candidate < best);
        if (!better)
            continue;
        best = candidate;
        highest = score;
    }
    return best;
}

} // namespace monsoonbay
