#include "serving/PlainTargetChoice.h"

#include <algorithm>

namespace monsoonbay {

namespace {

// A target in the VM's own zone loses to one in another zone when it has this many more of this
// VM's calls per slot, which is about where calls start to queue.
constexpr double otherZonePenalty = 0.34;

double costOf(const PlainTargetView &target, const std::string &zone)
{
    const double load = static_cast<double>(target.runs) / std::max(target.slots, 1);
    return load + (target.zone == zone ? 0 : otherZonePenalty);
}

} // namespace

std::optional<std::size_t> choosePlainTarget(const std::vector<PlainTargetView> &targets,
                                             const std::string &zone,
                                             const std::vector<std::string> &tried,
                                             std::uint64_t draw)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const std::size_t index = (draw + step) % targets.size();
        const PlainTargetView &target = targets[index];
        const bool tryIt =
            target.usable && std::find(tried.begin(), tried.end(), target.id) == tried.end();
        if (!tryIt)
            continue;
        const double cost = costOf(target, zone);
        if (best && cost >= bestCost)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

} // namespace monsoonbay
