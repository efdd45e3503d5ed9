#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Timing of the failure detector; its cost per VM does not depend on the number of VMs. */
struct MembershipConfig
{
    Duration probePeriod = std::chrono::milliseconds(200);
    Duration probeTimeout = std::chrono::milliseconds(150);
    Duration suspicion = std::chrono::milliseconds(600);
    Duration forgetAfter = std::chrono::minutes(5); ///< dead members are kept this long
    int probesPerPeriod = 2;
    int indirectProbes = 3;
    int gossipPerMessage = 12;
    int gossipRepeats = 4; ///< times log2(members) that a change is passed on
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Left,
};

/** One entry VM as the others know it. */
struct Member
{
    VmId vm;
    std::string name;
    std::string zone;
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    auto operator<=>(const Member &) const = default;
};

/** A direct probe to `to`, or, if `via` is set, a request to `via` to probe `to`. */
struct Probe
{
    VmId to;
    VmId via;
};

/** Failure detector of one VM in the manner of SWIM: random probes, indirect ones, gossip. */
struct MembershipState
{
    struct Known
    {
        Member member;
        Instant changedAt{};
        Instant lastContactAt{};
        Instant exchangedAt{}; ///< a message of ours was answered by the member itself
        int gossipBudget = 0;
        bool probing = false;
        bool indirect = false;
        Instant probedAt{};
    };

    MembershipConfig config;
    Member self;
    std::vector<Known> others;
    std::vector<std::size_t> probeOrder;
    std::size_t probeNext = 0;
    Instant nextPeriod{};
    std::uint64_t random = 1;
    std::uint64_t version = 0; ///< grows with every change of who is alive
};

MembershipState makeMembership(const MembershipConfig &config, const Member &self,
                               std::uint64_t seed, Instant now);

/** A hint from the VM list: an unknown VM is probed, a known one is left as it is. */
void addSeed(MembershipState &state, const Member &member, Instant now);

/** Members' news from a peer. */
void applyGossip(MembershipState &state, const std::vector<Member> &news, Instant now);

/** Something was heard from this VM itself. */
void noteHeard(MembershipState &state, VmId vm, std::uint64_t incarnation, Instant now);

/** A direct message of ours was answered: the member knows what we told it. */
void recordExchange(MembershipState &state, VmId vm, Instant now);

/** How a direct or indirect probe ended. */
void recordProbeResult(MembershipState &state, VmId vm, bool answered, Instant now);

/** Probes to send now; also turns silent members suspect and suspects dead. */
std::vector<Probe> tick(MembershipState &state, Instant now);

/** News to put into the next message; takes what is told from the budget of repeats. */
std::vector<Member> nextGossip(MembershipState &state);

/** This VM leaves; others learn it by gossip. */
void leave(MembershipState &state);

/** Members that count as alive (alive or suspect), this VM among them, by id. */
std::vector<Member> aliveMembers(const MembershipState &state);

const Member *findMember(const MembershipState &state, VmId vm);

/** The candidate with the highest rendezvous score for a key; value 0 if there is none. */
VmId rendezvousOwner(std::uint64_t key, const std::vector<VmId> &candidates);

} // namespace monsoonbay
