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

void subtractUse(WorkspaceUse &sum, const WorkspaceUse &use) noexcept
{
    sum.whole -= use.whole;
    sum.askedPerSecond -= use.askedPerSecond;
}

} // namespace monsoonbay
