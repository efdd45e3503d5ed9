#include "quota/SpendRecord.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

constexpr std::int64_t partsInWindow = SpendRecord::parts - 1;
/** Parts that asks are averaged over: a few calls, and no longer than a burst. */
constexpr std::int64_t partsAveraged = partsInWindow / 4;

std::int64_t partOf(const QuotaPolicy &policy, Instant at)
{
    return at.time_since_epoch() / (policy.window / partsInWindow);
}

std::size_t slotOf(std::int64_t part)
{
    return static_cast<std::size_t>(part) % SpendRecord::parts;
}

void advance(SpendRecord &record, const QuotaPolicy &policy, Instant now)
{
    const std::int64_t part = partOf(policy, now);
    const auto kept = static_cast<std::int64_t>(SpendRecord::parts);
    const std::int64_t steps = std::min(part - record.newestPart, kept);
    for (std::int64_t step = 0; step < steps; ++step) {
        record.spent[slotOf(part - step)] = 0;
        record.asked[slotOf(part - step)] = 0;
    }
    record.newestPart = std::max(record.newestPart, part);
}

/** Sum of the parts from `newest` back to `oldest`, ages counted from the newest one kept. */
std::int64_t sumOf(const std::array<std::int64_t, SpendRecord::parts> &units, std::int64_t newest,
                   std::int64_t youngest, std::int64_t oldest)
{
    std::int64_t sum = 0;
    for (std::int64_t age = youngest; age <= std::min(oldest, partsInWindow); ++age)
        sum += units[slotOf(newest - age)];
    return sum;
}

/** `until`: end of the parts that the units are of. */
double perSecond(const SpendRecord &record, const QuotaPolicy &policy, std::int64_t units,
                 Instant until)
{
    const Duration part = policy.window / partsInWindow;
    const Duration averaged =
        std::clamp<Duration>(until - record.since, part, part * partsAveraged);
    return static_cast<double>(units) / toSeconds(averaged);
}

} // namespace

void noteAsked(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant now)
{
    advance(record, policy, now);
    record.asked[slotOf(record.newestPart)] += units;
}

void noteSpent(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant now)
{
    advance(record, policy, now);
    record.spent[slotOf(record.newestPart)] += units;
}

void giveBack(SpendRecord &record, const QuotaPolicy &policy, std::int64_t units, Instant spentAt,
              Instant now)
{
    advance(record, policy, now);
    const std::int64_t part = partOf(policy, spentAt);
    if (record.newestPart - part > partsInWindow)
        return;
    record.spent[slotOf(part)] -= units;
}

WorkspaceUse useOf(SpendRecord &record, const QuotaPolicy &policy, Instant now)
{
    advance(record, policy, now);
    WorkspaceUse use;
    use.whole = sumOf(record.spent, record.newestPart, 0, partsInWindow);
    const std::int64_t asked = sumOf(record.asked, record.newestPart, 0, partsAveraged);
    use.askedPerSecond = std::llround(perSecond(record, policy, asked, now));
    return use;
}

double askedBefore(SpendRecord &record, const QuotaPolicy &policy, Duration before, Instant now)
{
    advance(record, policy, now);
    const std::int64_t age = record.newestPart - partOf(policy, now - before);
    const std::int64_t asked = sumOf(record.asked, record.newestPart, age, age + partsAveraged);
    return perSecond(record, policy, asked, now - before);
}

} // namespace monsoonbay
