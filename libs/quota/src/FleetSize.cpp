#include "quota/FleetSize.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** A VM that was silent for so long, while the store was heard, is taken as gone. */
constexpr Duration silentCounts = std::chrono::seconds(60);

} // namespace

void noteInTouch(FleetSize &size, int inTouch, int listed, bool mayForget, Instant now) noexcept
{
    const int counted = std::max(inTouch, listed);
    if (counted >= size.known) {
        size.known = counted;
        size.heardAt = now;
        return;
    }
    if (mayForget && now - size.heardAt > silentCounts) {
        size.known = counted;
        size.heardAt = now;
    }
}

} // namespace monsoonbay
