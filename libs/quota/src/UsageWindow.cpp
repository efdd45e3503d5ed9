#include "quota/UsageWindow.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/** Parts over which the demand is averaged: some calls, but no longer than a burst. */
constexpr std::int64_t partsAveraged = UsageWindow::parts / 4;

/** Rate of `units` that were requested in the averaged parts up to `until`. */
double perSecond(const UsageWindow &record, const QuotaPolicy &policy, std::int64_t units,
                 Instant until)
{
    const Duration part = policy.window / static_cast<std::int64_t>(UsageWindow::parts);
    const Duration averaged =
        std::clamp<Duration>(until - record.since, part, part * partsAveraged);
    return static_cast<double>(units) / toSeconds(averaged);
}

} // namespace

void recordRequested(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units,
                     Instant now, CallClass callClass)
{
    advance(record.requested, policy.window, now) += units;
    advance(record.requestedByClass[indexOf(callClass)], policy.window, now) += units;
    advance(record.callsInWindowByClass[indexOf(callClass)], policy.window, now) += 1;
}

void recordUsage(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units, Instant now)
{
    advance(record.used, policy.window, now) += units;
}

void giveBack(UsageWindow &record, const QuotaPolicy &policy, std::int64_t units,
              Instant admittedAt, Instant now)
{
    advance(record.used, policy.window, now);
    const std::int64_t age = ageOf(record.used, policy.window, admittedAt);
    if (age > record.used.inWindow)
        return;
    record.used.part(record.used.newest - age) -= units;
}

WorkspaceUse usageOf(UsageWindow &record, const QuotaPolicy &policy, Instant now)
{
    advance(record.used, policy.window, now);
    advance(record.requested, policy.window, now);
    WorkspaceUse use;
    use.unitsInWindow = sumOf(record.used);
    use.requestedInWindow = sumOf(record.requested);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        advance(record.requestedByClass[index], policy.window, now);
        advance(record.callsInWindowByClass[index], policy.window, now);
        const std::int64_t requestedUnits = sumOf(record.requestedByClass[index], 0, partsAveraged);
        use.requestedByClass[index] = std::llround(perSecond(record, policy, requestedUnits, now));
        // The sum has to equal its classes exactly, so it is taken after rounding.
        use.requestedPerSecond += use.requestedByClass[index];
        use.callsInWindowByClass[index] = sumOf(record.callsInWindowByClass[index]);
    }
    return use;
}

double requestRateBefore(UsageWindow &record, const QuotaPolicy &policy, Duration before,
                         Instant now)
{
    advance(record.requested, policy.window, now);
    const std::int64_t age = ageOf(record.requested, policy.window, now - before);
    const std::int64_t requestedUnits = sumOf(record.requested, age, age + partsAveraged);
    return perSecond(record, policy, requestedUnits, now - before);
}

} // namespace monsoonbay
