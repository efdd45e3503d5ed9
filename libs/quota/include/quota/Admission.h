#pragma once

#include <cstdint>

#include "core/Time.h"
#include "quota/SpendRecord.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** What is known of one workspace over all VMs that are in touch with this one. */
struct FleetUse
{
    WorkspaceUse use; ///< of these VMs, this one among them
    int reachableVms = 1;
    int knownVms = 1;
    Duration updateAge{}; ///< of what these VMs told, in the mean
    double allowed = 1; ///< part of what may be used in a window; see SpendNoting

    bool operator==(const FleetUse &) const = default;
};

struct QuotaVerdict
{
    bool admitted = false;
    Duration retryAfter{}; ///< if not: when a call of its class is likely to fit
    double share = 1; ///< of the calls of its class that run at present
    bool fits = true; ///< into what the VMs in touch may still let run

    auto operator<=>(const QuotaVerdict &) const = default;
};

/**
 * Whether a call that asks for `units` may run. What it asks for must have been noted before, with
 * its class; what it uses is noted by the caller if it is admitted.
 */
QuotaVerdict admitCall(SpendRecord &own, const WorkspaceLimit &limit, const QuotaPolicy &policy,
                       const FleetUse &fleet, std::int64_t units, Instant now,
                       CallClass callClass = CallClass::Rank2);

/** The part of the limits that the VMs in touch may use. */
double shareInTouch(const FleetUse &fleet) noexcept;

/** The time in which room that there is now is given away. */
double secondsToFill(const QuotaPolicy &policy, const FleetUse &fleet) noexcept;

/** Units that all VMs may use in a window, some of the tolerance among them. */
double usableInWindow(const WorkspaceLimit &limit, const QuotaPolicy &policy) noexcept;

/**
 * What a VM may have let run before its start, as far as the window still holds it: nobody else
 * may know of it after a common restart. `sinceStart` is the time that it has been up.
 */
WorkspaceUse useBeforeStart(const WorkspaceLimit &limit, const QuotaPolicy &policy, int knownVms,
                            Duration sinceStart) noexcept;

} // namespace monsoonbay
