#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/EngineChoice.h"

namespace monsoonbay {

/**
 * Adapters being loaded at one engine, each with the time at which the load is expected to be done.
 */
struct PendingLoads
{
    std::map<std::string, Instant> doneAt; ///< by adapter key

    auto operator<=>(const PendingLoads &) const = default;
};

/**
 * Replaces the set of loading adapters with the one that the lease holder reports. An adapter that
 * is new in it is expected after `expected(adapter)`; one that was there before keeps its time.
 */
void updatePendingLoads(PendingLoads &loads, const std::set<std::string> &adapters,
                        const std::function<Duration(const std::string &)> &expected, Instant now);

/** Remaining time until the adapter is loaded; nothing if it is not being loaded or is overdue. */
std::optional<Duration> timeUntilLoaded(const PendingLoads &loads, const std::string &adapter,
                                        Instant now);

/**
 * The engine at which the adapter is being loaded and the call would start first; nothing if none
 * has capacity or the wait exceeds `waitLimitMs`.
 */
std::optional<std::size_t> chooseLoadingEngine(const std::vector<EngineView> &engines,
                                               const EngineNeed &need,
                                               const std::vector<std::string> &tried,
                                               const EngineWeights &weights, double waitLimitMs);

} // namespace monsoonbay
