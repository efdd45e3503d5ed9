#pragma once

#include <cstdint>

#include "core/KeyedSums.h"
#include "quota/CallClass.h"

namespace monsoonbay {

/**
 * Recent usage and demand of one workspace, at one VM or summed over several. Whole numbers, so
 * that what was added to a sum can be subtracted exactly.
 */
struct WorkspaceUse
{
    std::int64_t unitsInWindow = 0; ///< units of admitted calls in the window
    std::int64_t requestedPerSecond = 0; ///< demand: units of all calls, admitted or not
    CountsByClass requestedByClass{}; ///< parts of it by class; the rest is of the last class
    CountsByClass callsInWindowByClass{}; ///< all calls in the window, admitted or not
    std::int64_t requestedInWindow = 0; ///< units of these calls

    bool operator==(const WorkspaceUse &) const = default;
};

using WorkspaceUses = KeyedSums<WorkspaceUse>; ///< by workspace

/**
 * Class of a call of `units` on a route of `rank`; `use` covers all earlier calls of its workspace.
 */
CallClass classOf(const WorkspaceUse &use, std::int64_t units, int rank) noexcept;

bool isUnused(const WorkspaceUse &use) noexcept;

void addUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

/** Subtracts `use`, which was added before, from `sum`. */
void subtractUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

} // namespace monsoonbay
