#pragma once

#include <array>
#include <cstdint>

#include "core/Time.h"
#include "core/WindowCounts.h"
#include "quota/CallClass.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** What calls of one workspace used at one VM, by parts of the window. */
struct UsageWindow
{
    static constexpr std::size_t parts = 32; ///< of the window

    WindowCounts<std::int64_t, parts> used;
    WindowCounts<std::int64_t, parts> requested;
    Instant since{}; ///< the VM's start: there were no asks before
    std::array<WindowCounts<std::int64_t, parts>, callClassCount> requestedByClass;
    std::array<WindowCounts<std::int64_t, parts>, callClassCount> callsInWindowByClass;
    double carry = 0; ///< see admitCall(); in [0, 1)
    std::array<double, callClassCount>
        carryByClass{}; ///< by class, what was added to `carry` since
};

/** A call asks for `units`, whether it gets them or not. */
void recordRequested(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units,
                     Instant now, CallClass callClass = CallClass::Rank2);

void recordUsage(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units, Instant now);

/** A call that was let run at `spentAt` has not run. */
void giveBack(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units, Instant spentAt,
              Instant now);

WorkspaceUse usageOf(UsageWindow &record, const QuotaPolicy &policy, Instant now);

/** Units a second that were asked for, as it was told `before` ago. */
double requestRateBefore(UsageWindow &record, const QuotaPolicy &policy, Duration before,
                         Instant now);

} // namespace monsoonbay
