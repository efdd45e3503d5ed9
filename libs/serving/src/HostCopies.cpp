#include "serving/HostCopies.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** Touches that are remembered; older copies are not counted on, even if an engine keeps them. */
constexpr std::uint64_t maxRemembered = 1024;

/** Share of the excess that a missing copy takes off the retention at once. */
constexpr double shortenShare = 0.5;
constexpr double leastLoads = 4;

/** Only a copy found after this share of the retention shows that it may be longer. */
constexpr double nearEnd = 0.8;
constexpr double longerBy = 1.02;

/** Each load brings an adapter into a slot and, once all slots are in use, evicts another. */
constexpr double touchesPerLoad = 2;

} // namespace

void recordTouch(HostCopies &copies, const std::string &adapter)
{
    copies.touchNumbers[adapter] = ++copies.touches;
    if (copies.touchNumbers.size() <= 2 * maxRemembered)
        return;
    const std::uint64_t oldest = copies.touches - maxRemembered;
    std::erase_if(copies.touchNumbers, [oldest](const auto &copy) { return copy.second < oldest; });
}

double loadsSinceTouch(const HostCopies &copies, const std::string &adapter)
{
    const auto touched = copies.touchNumbers.find(adapter);
    if (touched == copies.touchNumbers.end())
        return -1;
    return static_cast<double>(copies.touches - touched->second) / touchesPerLoad;
}

bool hasHostCopy(const HostCopies &copies, const std::string &adapter, const HostRetention &memory)
{
    const double since = loadsSinceTouch(copies, adapter);
    return since >= 0 && since <= memory.retainedLoads;
}

void shortenRetention(HostRetention &memory, double loads) noexcept
{
    if (loads < memory.retainedLoads)
        memory.retainedLoads -= (memory.retainedLoads - loads) * shortenShare;
    memory.retainedLoads = std::max(memory.retainedLoads, leastLoads);
}

void lengthenRetention(HostRetention &memory, double loads) noexcept
{
    if (loads > nearEnd * memory.retainedLoads)
        memory.retainedLoads =
            std::min(memory.retainedLoads * longerBy, static_cast<double>(maxRemembered));
}

} // namespace monsoonbay
