#pragma once

#include <cstdint>

#include "core/Time.h"
#include "quota/UsageWindow.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** What is known of one workspace over all VMs that are in touch with this one. */
struct FleetUsage
{
    WorkspaceUse usage; ///< of these VMs, this one among them
    int reachableVms = 1;
    int knownVms = 1;
    Duration updateAge{}; ///< of what these VMs told, in the mean
    double allowedShare = 1; ///< part of what may be used in a window; see UsageSnapshotWriter

    bool operator==(const FleetUsage &) const = default;
};

struct QuotaDecision
{
    bool admitted = false;
    Duration retryAfter{}; ///< if not: when a call of its class is likely to fit
    double share = 1; ///< of the calls of its class that run at present
    bool fits = true; ///< into what the VMs in touch may still let run

    auto operator<=>(const QuotaDecision &) const = default;
};

/**
 * Whether a call that asks for `units` may run. What it asks for must have been noted before, with
 * its class; what it uses is noted by the caller if it is admitted.
 */
QuotaDecision admitCall(UsageWindow &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                        const FleetUsage &fleet, std::int64_t units, Instant now,
                        CallClass callClass = CallClass::Rank2);

/** The part of the limits that the VMs in touch may use. */
double reachableShare(const FleetUsage &fleet) noexcept;

/** The time in which room that there is now is given away. */
double secondsToFill(const QuotaPolicy &policy, const FleetUsage &fleet) noexcept;

/** Units that all VMs may use in a window, some of the tolerance among them. */
double usableInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

/**
 * What a VM may have let run before its start, as far as the window still holds it: nobody else
 * may know of it after a common restart. `sinceStart` is the time that it has been up.
 */
WorkspaceUse assumedUsageBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                                     int knownVms, Duration sinceStart) noexcept;

} // namespace monsoonbay
