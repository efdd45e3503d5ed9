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
// so, too, for one that this VM has not heard since its own start. When such members did not count,
// a VM that was restarted beside a frozen one and then cut off extended its lease without end, and
// the other one, awake again, was assigned its partitions.
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
// would not ask a VM that it does not know; a VM that was asked for its report knows this one.
bool mayBeUnknownToHolder(const ZoneMembers &members, Instant joinedAt, const LeaseTiming &timing,
                          Instant now) noexcept
{
    if (now - joinedAt >= timing.newMemberWait)
        return false;
    return std::any_of(members.others.begin(), members.others.end(),
                       [](const ZoneMember &member) { return !member.report; });
}

} // namespace monsoonbay
