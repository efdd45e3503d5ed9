#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/Time.h"
#include "quota/UsageWindow.h"
#include "quota/WorkspaceLimit.h"

namespace monsoonbay {

/** Equal parts of the window by which units are grouped. */
constexpr std::size_t ageBuckets = 16;

/** Units of the admitted calls of one workspace, by age; the newest first. */
using UnitsByAge = std::array<std::int64_t, ageBuckets>;

using WorkspaceUnits = std::unordered_map<std::string, UnitsByAge>; ///< by workspace

UnitsByAge unitsByAge(UsageWindow &usageWindow, const QuotaPolicy &policy, Instant now);

/** Adds units that were reported `before` ago, which have aged since. */
void addUnits(UnitsByAge &sum, const UnitsByAge &units, const QuotaPolicy &policy, Duration before);

/** Adds the units of all workspaces that `units` names. */
void addUnits(WorkspaceUnits &sums, const WorkspaceUnits &units, const QuotaPolicy &policy,
              Duration before);

} // namespace monsoonbay
