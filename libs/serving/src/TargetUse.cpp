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
    sum.shortObjectiveRuns += use.shortObjectiveRuns;
}

void subtractUse(TargetUse &sum, const TargetUse &use)
{
    sum.waitingTokens -= use.waitingTokens;
    sum.heldTokens -= use.heldTokens;
    sum.runs -= use.runs;
    sum.busySlots -= use.busySlots;
    sum.faults -= use.faults;
    sum.goods -= use.goods;
    sum.shortObjectiveRuns -= use.shortObjectiveRuns;
}

} // namespace monsoonbay
