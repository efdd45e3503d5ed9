#include "quota/WorkspaceUse.h"

namespace monsoonbay {

bool isUnused(const WorkspaceUse &use) noexcept
{
    return use == WorkspaceUse();
}

void addUse(WorkspaceUse &sum, const WorkspaceUse &use) noexcept
{
    sum.whole += use.whole;
    sum.askedPerSecond += use.askedPerSecond;
}

void addUses(WorkspaceUses &sums, const WorkspaceUses &uses)
{
    for (const auto &[workspace, use] : uses)
        addUse(sums[workspace], use);
}

void subtractUses(WorkspaceUses &sums, const WorkspaceUses &uses)
{
    for (const auto &[workspace, use] : uses) {
        const auto found = sums.find(workspace);
        if (found == sums.end())
            continue;
        addUse(found->second, {-use.whole, -use.askedPerSecond});
        if (isUnused(found->second))
            sums.erase(found);
    }
}

} // namespace monsoonbay
