#include "serving/ListWatch.h"

namespace monsoonbay {

void checkWatch(ListWatch &watch, bool isCurrent, Instant now) noexcept
{
    const bool begun = watch.since != Instant{};
    const bool missedChecks = now - watch.checkedAt > maxWatchGap;
    if (begun && (!isCurrent || missedChecks)) {
        watch.since = Instant{};
        watch.interrupted = true;
    }
    if (isCurrent && watch.since == Instant{})
        watch.since = now;
    watch.checkedAt = now;
}

bool coversSince(const ListWatch &watch, Instant from) noexcept
{
    return watch.since != Instant{} && watch.since <= from;
}

} // namespace monsoonbay
