#pragma once

#include <cstdint>

#include "core/KeyedSums.h"
#include "quota/CallClass.h"

namespace monsoonbay {

/**
 * What calls of one workspace used lately: at one VM, or at several together. Whole numbers, so
 * that what was added to a sum can be taken off exactly.
 */
struct WorkspaceUse
{
    std::int64_t unitsInWindow = 0; ///< units in the window
    std::int64_t requestedPerSecond = 0; ///< units, whether they were let run or not
    CountsByClass requestedByClass{}; ///< of requestedPerSecond; the rest is of the last class
    CountsByClass callsInWindowByClass{}; ///< calls that asked in the window
    std::int64_t requestedInWindow = 0; ///< units of these calls

    bool operator==(const WorkspaceUse &) const = default;
};

using WorkspaceUses = KeyedSums<WorkspaceUse>; ///< by workspace

/**
 * Class of a call of `units` on a route of `rank`; `use` is of all calls of its workspace before.
 */
CallClass classOf(const WorkspaceUse &use, std::int64_t units, int rank) noexcept;

bool isUnused(const WorkspaceUse &use) noexcept;

void addUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

/** Takes `use`, which was added before, off `sum`. */
void subtractUsage(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

} // namespace monsoonbay
