#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Parameters of the failure detector. Its messages per VM do not grow with the number of VMs. */
struct MembershipConfig
{
    Duration probePeriod = std::chrono::milliseconds(200);
    Duration probeTimeout = std::chrono::milliseconds(150);
    Duration suspicion = std::chrono::milliseconds(600);
    Duration forgetAfter = std::chrono::minutes(5); ///< dead members are kept this long
    int probesPerPeriod = 2;
    int indirectProbes = 3;
    int gossipPerMessage = 12;
    int gossipRepeats = 4; ///< a change goes into this many times log2(members) messages
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Left,
};

/** One entry VM as known to the others. */
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

/** SWIM failure detector of one VM: random probes, indirect probes and gossip. */
struct MembershipState
{
    struct Known
    {
        Member member;
        Instant changedAt{};
        Instant lastContactAt{};
        Instant exchangedAt{}; ///< the member itself answered a message of this VM
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

/** Adds a VM of the VM list as a suspect to be probed, unless it is known. */
void addSeed(MembershipState &state, const Member &member, Instant now);

/** Applies members' states received from a peer. */
void applyGossip(MembershipState &state, const std::vector<Member> &gossip, Instant now);

/** A message from this VM itself was received. */
void recordMessage(MembershipState &state, VmId vm, std::uint64_t incarnation, Instant now);

/** The member answered a direct message of this VM, so it has received its content. */
void recordExchange(MembershipState &state, VmId vm, Instant now);

/** Applies the result of a direct or indirect probe. */
void recordProbeResult(MembershipState &state, VmId vm, bool answered, Instant now);

/** Returns the probes to send now; marks silent members suspect, and suspects dead in time. */
std::vector<Probe> tick(MembershipState &state, Instant now);

/** Members' states for the next message; counts against their `gossipBudget`. */
std::vector<Member> nextGossip(MembershipState &state);

/** Marks this VM as left; the others learn that by gossip. */
void leave(MembershipState &state);

/** Members that count as alive (alive or suspect), sorted by id; this VM too until it leaves. */
std::vector<Member> aliveMembers(const MembershipState &state);

const Member *findMember(const MembershipState &state, VmId vm);

/** The candidate with the highest rendezvous score for a key; value 0 if there is none. */
VmId rendezvousOwner(std::uint64_t key, const std::vector<VmId> &candidates);

} // namespace monsoonbay
