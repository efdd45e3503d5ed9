#pragma once

#include <array>
#include <cstdint>

#include "core/Time.h"
#include "core/WindowCounts.h"
#include "quota/CallClass.h"
#include "quota/WorkspaceLimit.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Usage and demand of one workspace at one VM, in a sliding window of equal parts. */
struct UsageWindow
{
    static constexpr std::size_t parts = 32; ///< of the window

    WindowCounts<std::int64_t, parts> used;
    WindowCounts<std::int64_t, parts> requested;
    Instant since{}; ///< the VM's start: nothing was requested before
    std::array<WindowCounts<std::int64_t, parts>, callClassCount> requestedByClass;
    std::array<WindowCounts<std::int64_t, parts>, callClassCount> callsInWindowByClass;
    double carry = 0; ///< random phase of `carryByClass`, in [0, 1); see admitCall()
    std::array<double, callClassCount> carryByClass{}; ///< sum of shares less admitted calls
};

/** Records the demand of a call for `units`, whether it is admitted or not. */
void recordRequested(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
                     Instant now, CallClass callClass = CallClass::Rank2);

/** Records the usage of an admitted call. */
void recordUsage(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
                 Instant now);

/** Takes back the usage of a call that was admitted at `admittedAt` but has not run. */
void giveBack(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
              Instant admittedAt, Instant now);

/** Advances the window to `now` and sums it up. */
WorkspaceUse usageOf(UsageWindow &usageWindow, const QuotaPolicy &policy, Instant now);

/** Units a second that were requested, as this VM reported them `before` ago. */
double requestRateBefore(UsageWindow &usageWindow, const QuotaPolicy &policy, Duration before,
                         Instant now);

} // namespace monsoonbay
