#pragma once

#include <string>
#include <unordered_map>

namespace monsoonbay {

/**
 * Sums that are kept by name, for what has addUsage(), subtractUsage() and isUnused(). What is
 * added is whole numbers, so that it can be taken off exactly.
 */
template <typename Use> using KeyedSums = std::unordered_map<std::string, Use>;

/** Adds all of `uses` to `sums`. */
template <typename Use> void addUsages(KeyedSums<Use> &sums, const KeyedSums<Use> &uses)
{
    for (const auto &[name, use] : uses)
        addUsage(sums[name], use);
}

/** Takes all of `uses`, which were added before, off `sums`; what nothing uses any more goes. */
template <typename Use> void subtractUsages(KeyedSums<Use> &sums, const KeyedSums<Use> &uses)
{
    for (const auto &[name, use] : uses) {
        const auto found = sums.find(name);
        if (found == sums.end())
            continue;
        subtractUsage(found->second, use);
        if (isUnused(found->second))
            sums.erase(found);
    }
}

} // namespace monsoonbay
