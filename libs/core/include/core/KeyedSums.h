#pragma once

#include <string>
#include <unordered_map>

namespace monsoonbay {

/**
 * Sums by name, for types with addUsage(), subtractUsage() and isUnused(). Values are whole
 * numbers, so subtracting what was added is exact.
 */
template <typename Use> using KeyedSums = std::unordered_map<std::string, Use>;

/** Adds all of `uses` to `sums`. */
template <typename Use> void addUsages(KeyedSums<Use> &sums, const KeyedSums<Use> &uses)
{
    for (const auto &[name, use] : uses)
        addUsage(sums[name], use);
}

/** Subtracts all of `uses`, which were added before, from `sums` and erases what becomes unused. */
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
