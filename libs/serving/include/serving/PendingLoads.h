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

/** Adapters that are being loaded at one engine, and when each is expected to be there. */
struct PendingLoads
{
    std::map<std::string, Instant> doneAt; ///< by adapter key

    auto operator<=>(const PendingLoads &) const = default;
};

/**
 * Takes what the holder names as being loaded. What is named for the first time is expected after
 * `expected(adapter)`; what was named before keeps its time.
 */
void updatePendingLoads(PendingLoads &loads, const std::set<std::string> &adapters,
                        const std::function<Duration(const std::string &)> &expected, Instant now);

/** Time until the adapter is expected; nothing if it is not being loaded, or is overdue. */
std::optional<Duration> timeUntilLoaded(const PendingLoads &loads, const std::string &adapter,
                                        Instant now);

/**
 * The engine at which the adapter is being loaded and the call's turn comes first; nothing if none
 * has room, or that takes longer than `patienceMs`.
 */
std::optional<std::size_t> chooseLoadingEngine(const std::vector<EngineView> &engines,
                                               const EngineNeed &need,
                                               const std::vector<std::string> &tried,
                                               const EngineWeights &weights, double patienceMs);

} // namespace monsoonbay
