#pragma once

#include <cstdint>

#include "core/Time.h"
#include "quota/UsageWindow.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Usage of one workspace over all reachable VMs: those whose state updates arrive here. */
struct FleetUsage
{
    WorkspaceUse usage; ///< of the reachable VMs, including this one
    int reachableVms = 1; ///< reachable VMs, including this one
    int knownVms = 1; ///< VMs that may admit calls, reachable or not; see FleetSize
    Duration updateAge{}; ///< mean age of the state updates behind `usage`
    double allowedShare = 1; ///< part of the usable units of a window; see shareAllowed()

    bool operator==(const FleetUsage &) const = default;
};

/** Whether a call is admitted, and the values behind that. */
struct QuotaDecision
{
    bool admitted = false;
    Duration retryAfter{}; ///< if refused: when a call of its class is likely to be admitted
    double share = 1; ///< of the calls of its class that is admitted at present
    bool fits = true; ///< into what the reachable VMs may still admit

    auto operator<=>(const QuotaDecision &) const = default;
};

/**
 * Decides whether a call that asks for `units` is admitted. recordRequested() has to be called for
 * it before, with the same class, and recordUsage() afterwards if it is admitted.
 */
QuotaDecision admitCall(UsageWindow &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                        const FleetUsage &fleet, std::int64_t units, Instant now,
                        CallClass callClass = CallClass::Rank2);

/** The part of the limits that the reachable VMs may use. */
double reachableShare(const FleetUsage &fleet) noexcept;

/** Seconds over which the units that are free now are given out. */
double secondsToFill(const QuotaPolicy &policy, const FleetUsage &fleet) noexcept;

/** Units that all VMs together may use in a window, including a part of the tolerance. */
double usableInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

/**
 * Units that a VM may have admitted before its start and that are still in the window. After a
 * restart of all VMs no other VM may know of them. `sinceStart` is the VM's uptime.
 */
WorkspaceUse assumedUsageBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy,
                                     int knownVms, Duration sinceStart) noexcept;

} // namespace monsoonbay
