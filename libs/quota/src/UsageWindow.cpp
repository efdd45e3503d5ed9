#include "quota/UsageWindow.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/** Parts over which the demand is averaged: some calls, but no longer than a burst. */
constexpr std::int64_t partsAveraged = UsageWindow::parts / 4;

/** Rate of `units` that were requested in the averaged parts up to `until`. */
double perSecond(const UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
                 Instant until)
{
    const Duration part = policy.window / static_cast<std::int64_t>(UsageWindow::parts);
    const Duration averaged =
        std::clamp<Duration>(until - usageWindow.since, part, part * partsAveraged);
    return static_cast<double>(units) / toSeconds(averaged);
}

} // namespace

void recordRequested(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
                     Instant now, CallClass callClass)
{
    advance(usageWindow.requested, policy.window, now) += units;
    advance(usageWindow.requestedByClass[indexOf(callClass)], policy.window, now) += units;
    advance(usageWindow.callsInWindowByClass[indexOf(callClass)], policy.window, now) += 1;
}

void recordUsage(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
                 Instant now)
{
    advance(usageWindow.used, policy.window, now) += units;
}

void giveBack(UsageWindow &usageWindow, const QuotaPolicy &policy, std::int64_t units,
              Instant admittedAt, Instant now)
{
    advance(usageWindow.used, policy.window, now);
    const std::int64_t age = ageOf(usageWindow.used, policy.window, admittedAt);
    if (age > usageWindow.used.inWindow)
        return;
    usageWindow.used.part(usageWindow.used.newest - age) -= units;
}

WorkspaceUse usageOf(UsageWindow &usageWindow, const QuotaPolicy &policy, Instant now)
{
    advance(usageWindow.used, policy.window, now);
    advance(usageWindow.requested, policy.window, now);
    WorkspaceUse use;
    use.unitsInWindow = sumOf(usageWindow.used);
    use.requestedInWindow = sumOf(usageWindow.requested);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        advance(usageWindow.requestedByClass[index], policy.window, now);
        advance(usageWindow.callsInWindowByClass[index], policy.window, now);
        const std::int64_t requestedUnits =
            sumOf(usageWindow.requestedByClass[index], 0, partsAveraged);
        use.requestedByClass[index] =
            std::llround(perSecond(usageWindow, policy, requestedUnits, now));
        // The sum has to equal its classes exactly, so it is taken after rounding.
        use.requestedPerSecond += use.requestedByClass[index];
        use.callsInWindowByClass[index] = sumOf(usageWindow.callsInWindowByClass[index]);
    }
    return use;
}

double requestRateBefore(UsageWindow &usageWindow, const QuotaPolicy &policy, Duration before,
                         Instant now)
{
    advance(usageWindow.requested, policy.window, now);
    const std::int64_t age = ageOf(usageWindow.requested, policy.window, now - before);
    const std::int64_t requestedUnits = sumOf(usageWindow.requested, age, age + partsAveraged);
    return perSecond(usageWindow, policy, requestedUnits, now - before);
}

} // namespace monsoonbay
