#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/Time.h"
#include "quota/UsageWindow.h"
#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

/** Equal parts of the window by which units are told apart. */
constexpr std::size_t ageBuckets = 16;

/** Units that calls of one workspace were let run with, by age; the newest first. */
using UnitsByAge = std::array<std::int64_t, ageBuckets>;

using WorkspaceUnits = std::unordered_map<std::string, UnitsByAge>; ///< by workspace

UnitsByAge unitsByAge(UsageWindow &record, const QuotaPolicy &policy, Instant now);

/** Adds units that were told `before` ago. */
void addUnits(UnitsByAge &sum, const UnitsByAge &units, const QuotaPolicy &policy, Duration before);

/** The same for all workspaces that `units` names. */
void addUnits(WorkspaceUnits &sums, const WorkspaceUnits &units, const QuotaPolicy &policy,
              Duration before);

} // namespace monsoonbay
