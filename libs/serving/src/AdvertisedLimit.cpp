#include "serving/AdvertisedLimit.h"

#include <algorithm>
#include <cmath>

namespace monsoonbay {

namespace {

/**
 * Used share of the limit. VMs that start sending together draw their shares of the current and of
 * the next window within one window of the target, and by chance more of them send than on average;
 * targets tolerate 1.5 times their limit plus five calls.
 */
constexpr double usedShare = 0.45;

/** Without an occasional call no VM would learn that the limit has been lifted. */
constexpr double minPerSecond = 0.2;

} // namespace

bool updateLimit(AdvertisedLimit &limit, std::optional<double> perSecond) noexcept
{
    const double before = limit.perSecond;
    limit.perSecond = perSecond ? std::max(*perSecond, minPerSecond) : 0;
    return limit.perSecond != before;
}

bool admitsCall(AdvertisedLimit &limit, int vms, double draw, Instant now) noexcept
{
    if (limit.perSecond == 0)
        return true;
    if (vms < 1)
        return false;
    advance(limit.sent, AdvertisedLimit::span, now);
    const std::int64_t current = now.time_since_epoch() / AdvertisedLimit::span;
    if (limit.drawnWindow != current) {
        const double equalShare =
            usedShare * limit.perSecond * toSeconds(AdvertisedLimit::span) / vms;
        limit.share = static_cast<std::uint32_t>(std::floor(equalShare + draw));
        limit.drawnWindow = current;
    }
    return sumOf(limit.sent) < limit.share;
}

void recordSent(AdvertisedLimit &limit, Instant now) noexcept
{
    ++advance(limit.sent, AdvertisedLimit::span, now);
}

} // namespace monsoonbay
