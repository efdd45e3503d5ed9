#include <array>
#include <vector>

#include <criterion/criterion.h>

#include "membership/Membership.h"

using namespace monsoonbay;

namespace {

constexpr Duration step = std::chrono::milliseconds(50);

Member memberOf(std::size_t index)
{
    Member member;
    member.vm = VmId{index + 1};
    member.name = "vm-" + std::to_string(index);
    member.incarnation = 1;
    return member;
}

/** Entry VMs whose messages arrive at once or are lost. */
struct Cluster
{
    std::vector<MembershipState> vms;
    std::vector<bool> dead;
    std::vector<std::vector<bool>> cut; ///< cut[a][b]: nothing from a reaches b
    Instant now = Instant{} + std::chrono::seconds(10);
    std::uint64_t messages = 0;

    explicit Cluster(std::size_t count)
        : dead(count, false)
        , cut(count, std::vector<bool>(count, false))
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->vms.push_back(makeMembership({}, memberOf(index), index + 77, this->now));
            for (std::size_t other = 0; other < count; ++other)
                addSeed(this->vms.back(), memberOf(other), this->now);
        }
    }

    bool reaches(std::size_t a, std::size_t b) const
    {
        return !this->dead[a] && !this->dead[b] && !this->cut[a][b];
    }

    bool exchange(std::size_t from, std::size_t to)
    {
        ++this->messages;
        if (!this->reaches(from, to))
            return false;
        const std::vector<Member> gossip = nextGossip(this->vms[from]);
        applyGossip(this->vms[to], gossip, this->now);
        recordMessage(this->vms[to], VmId{from + 1}, this->vms[from].self.incarnation, this->now);
        if (!this->reaches(to, from))
            return false;
        const std::vector<Member> answer = nextGossip(this->vms[to]);
        recordMessage(this->vms[from], VmId{to + 1}, this->vms[to].self.incarnation, this->now);
        applyGossip(this->vms[from], answer, this->now);
        return true;
    }

    void run(Duration duration)
    {
        const Instant until = this->now + duration;
        while (this->now < until) {
            this->now += step;
            for (std::size_t index = 0; index < this->vms.size(); ++index) {
                if (this->dead[index])
                    continue;
                for (const Probe &probe : tick(this->vms[index], this->now))
                    this->answer(index, probe);
            }
        }
    }

    void answer(std::size_t from, const Probe &probe)
    {
        const std::size_t to = probe.to.value - 1;
        if (probe.via.value == 0) {
            recordProbeResult(this->vms[from], probe.to, this->exchange(from, to), this->now);
            return;
        }
        const std::size_t via = probe.via.value - 1;
        const bool answered = this->exchange(from, via) && this->exchange(via, to);
        recordProbeResult(this->vms[from], probe.to, answered, this->now);
    }

    std::size_t aliveSeenBy(std::size_t index) const
    {
        return aliveMembers(this->vms[index]).size();
    }
};

} // namespace

// Guards against listed VMs that stay unknown to each other.
Test(membership, all_find_each_other)
{
    Cluster cluster(7);
    cluster.run(std::chrono::seconds(3));
    for (std::size_t index = 0; index < 7; ++index)
        cr_assert_eq(cluster.aliveSeenBy(index), 7);
}

// Guards against slow detection of a failed VM.
Test(membership, a_dead_vm_is_seen_by_all_within_three_seconds)
{
    Cluster cluster(7);
    cluster.run(std::chrono::seconds(3));
    cluster.dead[4] = true;
    cluster.run(std::chrono::seconds(3));
    for (std::size_t index = 0; index < 7; ++index) {
        if (index != 4)
            cr_assert_eq(cluster.aliveSeenBy(index), 6);
    }
}

// Guards against targets that keep changing owners because of one bad link: two VMs do not reach
// each other, all others reach both, and silence towards one VM was taken for a failure.
Test(membership, one_cut_link_fails_no_member)
{
    Cluster cluster(5);
    cluster.run(std::chrono::seconds(3));
    cluster.cut[0][1] = true;
    cluster.cut[1][0] = true;
    for (int second = 0; second < 20; ++second) {
        cluster.run(std::chrono::seconds(1));
        cr_assert_eq(cluster.aliveSeenBy(0), 5);
        cr_assert_eq(cluster.aliveSeenBy(1), 5);
    }
}

// Guards against two sides that stay apart after a partition of a minute was healed: each side has
// the other marked dead but no longer sends that state, so that there is nothing to refute.
Test(membership, two_sides_find_each_other_after_a_partition)
{
    Cluster cluster(6);
    cluster.run(std::chrono::seconds(3));
    const auto cutBetween = [&cluster](bool isCut) {
        for (std::size_t a = 0; a < 2; ++a) {
            for (std::size_t b = 2; b < 6; ++b) {
                cluster.cut[a][b] = isCut;
                cluster.cut[b][a] = isCut;
            }
        }
    };
    cutBetween(true);
    cluster.run(std::chrono::seconds(60));
    cr_assert_eq(cluster.aliveSeenBy(0), 2);
    cr_assert_eq(cluster.aliveSeenBy(3), 4);
    cutBetween(false);
    cluster.run(std::chrono::seconds(10));
    for (std::size_t index = 0; index < 6; ++index)
        cr_assert_eq(cluster.aliveSeenBy(index), 6);
}

// Guards against a VM that left and still counts as alive where its leave was received.
Test(membership, a_leave_takes_effect_where_it_is_received)
{
    Cluster cluster(4);
    cluster.run(std::chrono::seconds(3));
    leave(cluster.vms[0]);
    cluster.exchange(0, 1);
    cr_assert_eq(cluster.aliveSeenBy(1), 3);
}

// Guards against messages per VM that grow with the number of VMs.
Test(membership, messages_of_a_vm_do_not_grow_with_all_vms)
{
    std::vector<double> perVm;
    for (const std::size_t count : {8U, 64U}) {
        Cluster cluster(count);
        cluster.run(std::chrono::seconds(5));
        const std::uint64_t before = cluster.messages;
        cluster.run(std::chrono::seconds(5));
        perVm.push_back(static_cast<double>(cluster.messages - before)
                        / static_cast<double>(count));
    }
    cr_assert_leq(perVm[1], perVm[0] * 1.1);
}

// Guards against assigning a target to a VM that failed long ago: the lagging VM list still had it,
// and being listed was taken for being alive.
Test(membership, a_listed_vm_that_never_reported_is_no_member)
{
    MembershipState state = makeMembership({}, memberOf(0), 1, Instant{});
    addSeed(state, memberOf(1), Instant{});
    cr_assert_eq(aliveMembers(state).size(), 1);
}
