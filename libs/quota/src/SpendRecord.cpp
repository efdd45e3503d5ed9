#include "quota/SpendRecord.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/** Parts that asks are averaged over: a few calls, and no longer than a burst. */
constexpr std::int64_t partsAveraged = SpendRecord::parts / 4;

/** `until`: end of the parts that the units are of. */
double perSecond(const SpendRecord &record, const QuotaPolicy &policy, std::int64_t units,
                 Instant until)
{
    const Duration part = policy.window / static_cast<std::int64_t>(SpendRecord::parts);
    const Duration averaged =
        std::clamp<Duration>(until - record.since, part, part * partsAveraged);
    return static_cast<double>(units) / toSeconds(averaged);
}

} // namespace

void noteAsked(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant now)
{
    advance(record.asked, policy.window, now) += units;
}

void noteSpent(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant now)
{
    advance(record.spent, policy.window, now) += units;
}

void giveBack(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant spentAt,
              Instant now)
{
    advance(record.spent, policy.window, now);
    const std::int64_t age = ageOf(record.spent, policy.window, spentAt);
    if (age > record.spent.inWindow)
        return;
    record.spent.part(record.spent.newest - age) -= units;
}

WorkspaceUse useOf(SpendRecord &record, const QuotaPolicy &policy, Instant now)
{
    advance(record.spent, policy.window, now);
    WorkspaceUse use;
    use.whole = sumOf(record.spent);
    use.askedPerSecond = std::llround(askedBefore(record, policy, Duration::zero(), now));
    return use;
}

double askedBefore(SpendRecord &record, const QuotaPolicy &policy, Duration before, Instant now)
{
    advance(record.asked, policy.window, now);
    const std::int64_t age = ageOf(record.asked, policy.window, now - before);
    const std::int64_t asked = sumOf(record.asked, age, age + partsAveraged);
    return perSecond(record, policy, asked, now - before);
}

} // namespace monsoonbay
