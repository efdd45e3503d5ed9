#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

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

using WorkspaceUses = std::unordered_map<std::string, WorkspaceUse>; ///< by workspace

bool isUnused(const WorkspaceUse &use) noexcept;

void addUse(WorkspaceUse &sum, const WorkspaceUse &use) noexcept;

/** Adds all of `uses` to `sums`. */
void addUses(WorkspaceUses &sums, const WorkspaceUses &uses);

/** Takes all of `uses`, which were added before, off `sums`; what is not used any more goes. */
void subtractUses(WorkspaceUses &sums, const WorkspaceUses &uses);

} // namespace monsoonbay
