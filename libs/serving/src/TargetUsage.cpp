#include "serving/TargetUsage.h"

namespace monsoonbay {

bool isUnused(const TargetUsage &usage) noexcept
{
    return usage.runs == 0 && usage.busySlots == 0 && usage.failures == 0 && usage.successes == 0;
}

void addUsage(TargetUsage &sum, const TargetUsage &usage)
{
    sum.waitingTokens += usage.waitingTokens;
    sum.heldTokens += usage.heldTokens;
    sum.runs += usage.runs;
    sum.busySlots += usage.busySlots;
    sum.failures += usage.failures;
    sum.successes += usage.successes;
    sum.shortObjectiveRuns += usage.shortObjectiveRuns;
}

void subtractUsage(TargetUsage &sum, const TargetUsage &usage)
{
    sum.waitingTokens -= usage.waitingTokens;
    sum.heldTokens -= usage.heldTokens;
    sum.runs -= usage.runs;
    sum.busySlots -= usage.busySlots;
    sum.failures -= usage.failures;
    sum.successes -= usage.successes;
    sum.shortObjectiveRuns -= usage.shortObjectiveRuns;
}

} // namespace monsoonbay
