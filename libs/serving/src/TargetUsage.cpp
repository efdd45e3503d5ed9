#include "serving/TargetUsage.h"

namespace monsoonbay {

bool isUnused(const TargetUsage &use) noexcept
{
    return use.runs == 0 && use.busySlots == 0 && use.failures == 0 && use.successes == 0;
}

void addUsage(TargetUsage &sum, const TargetUsage &use)
{
    sum.waitingTokens += use.waitingTokens;
    sum.heldTokens += use.heldTokens;
    sum.runs += use.runs;
    sum.busySlots += use.busySlots;
    sum.failures += use.failures;
    sum.successes += use.successes;
    sum.shortObjectiveRuns += use.shortObjectiveRuns;
}

void subtractUsage(TargetUsage &sum, const TargetUsage &use)
{
    sum.waitingTokens -= use.waitingTokens;
    sum.heldTokens -= use.heldTokens;
    sum.runs -= use.runs;
    sum.busySlots -= use.busySlots;
    sum.failures -= use.failures;
    sum.successes -= use.successes;
    sum.shortObjectiveRuns -= use.shortObjectiveRuns;
}

} // namespace monsoonbay
