#include "serving/ZoneMembers.h"

#include <algorithm>

namespace monsoonbay {

namespace {

// A VM that has left sends commands again only after it was restarted. Unless it commanded last, in
// which case this VM has no right to extend, it then waits like any VM that is assigned a
// partition: `ttl`, `peerStateTtl` and `handoverGap`. So the report of a VM that left may be older,
// and a VM that restarts while the store is unreachable stops no commands of the others.
Duration validityOf(const PeerLeaseState &report, const LeaseTiming &timing) noexcept
{
    return report.leftGroup ? timing.ttl + timing.peerStateTtl - timing.margin
                            : timing.peerStateTtl;
}

} // namespace

bool isGone(const ZoneMember &member, const LeaseTiming &timing, Instant now) noexcept
{
    Instant last = std::max(member.knownSince, member.lastMessageAt);
    if (member.report)
        last = std::max(last, member.report->receivedAt);
    return now - last > timing.goneAfter;
}

// A member that is silent may be a holder: it may reach the store while this VM does not. That is
// so, too, for one from which nothing came since this VM's own start. When such members did not
// count, a VM that was restarted beside a frozen one and then cut off extended its lease without
// end, and the other one, awake again, was assigned its partitions.
Instant extensionEnd(const LeaseGeneration &held, const ZoneMembers &members,
                     const LeaseTiming &timing, Instant now) noexcept
{
    if (!members.listRead)
        return Instant{};
    Instant end = now + timing.peerStateTtl;
    for (const ZoneMember &member : members.others) {
        if (isGone(member, timing, now))
            continue;
        if (!member.report || !member.report->storeUnreachable || member.report->generation > held)
            return Instant{};
        end = std::min(end, member.report->receivedAt + validityOf(*member.report, timing));
    }
    return end;
}

// A holder that cannot reach the store goes on by the reports of the members that it knows. It
// would not ask a VM that it does not know; a VM that was asked for its report knows this one. What
// it was entitled to before that lasts for `peerStateTtl`, and the gap between two holders follows.
// A member that was first named after this VM had joined was started later, and has this VM in its
// list.
Instant newMemberActiveFrom(const ZoneMembers &members, FormerHolder former,
                            const std::string &named, Instant joinedAt, const LeaseTiming &timing)
{
    if (former == FormerHolder::Nobody)
        return Instant{};
    const Instant latest = joinedAt + timing.newMemberWait;
    Instant from{};
    bool isListed = false;
    for (const ZoneMember &member : members.others) {
        if (former == FormerHolder::Named && member.vm != named)
            continue;
        isListed = true;
        if (!member.report)
            return latest;
        if (member.knownSince <= joinedAt)
            from = std::max(from, member.firstReportAt + timing.peerStateTtl + timing.handoverGap);
    }
    if (former == FormerHolder::Named && !isListed)
        return latest;
    return std::min(from, latest);
}

} // namespace monsoonbay
