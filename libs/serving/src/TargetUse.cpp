#include "serving/TargetUse.h"

namespace monsoonbay {

bool isUnused(const TargetUse &use) noexcept
{
    return use.runs == 0 && use.busySlots == 0 && use.faults == 0 && use.goods == 0;
}

void addUse(TargetUse &sum, const TargetUse &use)
{
    sum.waitingTokens += use.waitingTokens;
    sum.heldTokens += use.heldTokens;
    sum.runs += use.runs;
    sum.busySlots += use.busySlots;
    sum.faults += use.faults;
    sum.goods += use.goods;
}

void subtractUse(TargetUse &sum, const TargetUse &use)
{
    sum.waitingTokens -= use.waitingTokens;
    sum.heldTokens -= use.heldTokens;
    sum.runs -= use.runs;
    sum.busySlots -= use.busySlots;
    sum.faults -= use.faults;
    sum.goods -= use.goods;
}

void addUses(TargetUses &sums, const TargetUses &uses)
{
    for (const auto &[target, use] : uses)
        addUse(sums[target], use);
}

void subtractUses(TargetUses &sums, const TargetUses &uses)
{
    for (const auto &[target, use] : uses) {
        const auto found = sums.find(target);
        if (found == sums.end())
            continue;
        subtractUse(found->second, use);
        if (isUnused(found->second))
            sums.erase(found);
    }
}

} // namespace monsoonbay
