#include "AnswerHints.h"

#include <algorithm>

#include "FleetCount.h"
#include "TargetRestarts.h"
#include "observe/Events.h"

namespace monsoonbay {

void markLeaving(GatewayNode &node, const std::string &target, std::string_view source)
{
    const auto found = node.targetTable.records.find(target);
    if (found == node.targetTable.records.end() || found->second.entry.leaving)
        return;
    found->second.entry.leaving = true;
    runtimeOf(node, target).leaving = true;
    node.shared.targets.set(target, {found->second.entry, false}, node.shared.counter);
    logEvent(EventId::TargetLeaving, {{"target", target}, {"source", std::string(source)}});
    node.reportDue.notifyAll();
}

// A peer that does not know yet that the target has restarted would otherwise keep it from getting
// work for good, at this VM and at all VMs that this one reports to.
void markLeavingByPeer(GatewayNode &node, const std::string &target, std::int64_t startTime)
{
    if (recordStartTime(node, target, startTime) == StartOrder::Older)
        return;
    markLeaving(node, target, "peer");
}

namespace {

// A refusal need not repeat the limit, so only an authentic answer without a limit removes it.
void applyLimit(GatewayNode &node, const std::string &target, const AnswerMetadata &answer)
{
    if (!answer.callsPerSecond && !answer.authentic)
        return;
    AdvertisedLimit &limit = runtimeOf(node, target).limit;
    if (!updateLimit(limit, answer.callsPerSecond))
        return;
    logEvent(EventId::TargetLimited,
             {{"target", target},
              {"callsPerSecond", std::to_string(limit.perSecond)},
              {"vms", std::to_string(knownVms(node, BootClock::now()))}});
}

} // namespace

bool acceptsCalls(GatewayNode &node, const std::string &target, Instant now)
{
    const auto found = node.targets.find(target);
    if (found == node.targets.end())
        return true;
    TargetRuntime &runtime = *found->second;
    if (runtime.pausedUntil > now)
        return false;
    if (runtime.limit.perSecond == 0)
        return true;
    const int vms = knowsFleetSize(node, now) ? knownVms(node, now) : 0;
    const double draw = std::uniform_real_distribution<double>(0, 1)(node.random);
    return admitsCall(runtime.limit, vms, draw, now);
}

// The list may be unavailable for as long as a target needs to shut down. Its answers still arrive,
// and calls sent to it after them would be aborted when it ends.
void applyAnswerHints(GatewayNode &node, const std::string &target, const AnswerMetadata &answer)
{
    if (!answer.answeredBy.empty() && answer.answeredBy != target)
        return;
    if (answer.leaving)
        markLeaving(node, target, "answer");
    applyLimit(node, target, answer);
    if (answer.backoffTime == Duration::zero())
        return;
    TargetRuntime &runtime = runtimeOf(node, target);
    const Instant until = BootClock::now() + answer.backoffTime;
    runtime.pausedUntil = std::max(runtime.pausedUntil, until);
    logEvent(EventId::TargetHeldBack,
             {{"target", target}, {"forMs", std::to_string(toMillis(answer.backoffTime))}});
}

} // namespace monsoonbay
