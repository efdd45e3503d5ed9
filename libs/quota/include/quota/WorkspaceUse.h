#pragma once

#include <cstdint>

#include "core/KeyedSums.h"

namespace monsoonbay {

/**
 * What calls of one workspace used lately: at one VM, or at several together. Whole numbers, so
 * that what was added to a sum can be taken off exactly.
 */
struct WorkspaceUse
{
    std::int64_t whole = 0; ///< units in the window
    std::int64_t askedPerSecond = 0; ///< units, whether they were let run or not

    bool operator==(const WorkspaceUse &) const = default;
};

using WorkspaceUses = KeyedSums<WorkspaceUse>; ///< by workspace

bool isUnused(const WorkspaceUse &use) noexcept;

void addUse(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

/** Takes `use`, which was added before, off `sum`. */
void subtractUse(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

} // namespace monsoonbay
