#include "CallRetries.h"

#include "FirstStart.h"
#include "FleetCount.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** With less time left, another attempt cannot be answered in time. */
constexpr Duration minTimeForRetry = std::chrono::milliseconds(60);

/** Bounds the targets that one call tries, unreachable ones included. */
constexpr std::size_t maxTargetsTried = 6;

SlackSharing slackSharing(const GatewayNode &node, Instant now)
{
    SlackSharing sharing;
    if (knowsFleetSize(node, now))
        sharing.vms = knownVms(node, now);
    sharing.rank = rankAmongVms(node);
    if (!isFirstStart(node))
        sharing.from = slackAvailableFrom(node.settings.retries, node.bootedAt);
    return sharing;
}

Counter retryCounter(const std::optional<GrantedRetry> &retry)
{
    if (!retry)
        return Counter::RetriesRefused;
    return retry->source == RetrySource::Calls ? Counter::RetriesFromCalls
                                               : Counter::RetriesFromSlack;
}

RetryDecision takeRetry(ActiveCall &call)
{
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    call.retry = tryTakeRetry(node.retryBudgets[call.service], node.settings.retries,
                              slackSharing(node, now), now);
    node.metrics.add(retryCounter(call.retry));
    if (!call.retry)
        return {false};
    return {true, call.retry->source};
}

/** Counts the call's latest retry from now on. */
void recountLatestRetry(ActiveCall &call)
{
    if (!call.retry)
        return;
    recountRetry(call.node.retryBudgets[call.service], call.node.settings.retries, *call.retry,
                 BootClock::now());
}

} // namespace

// A call that certainly has not run may always go elsewhere; one that may have run only if its
// route lets it run twice.
RetryDecision decideRetry(ActiveCall &call, AttemptResult end)
{
    if (call.cannotContinue || call.timedOut || timeLeft(call) < minTimeForRetry)
        return {false};
    if (call.triedTargets.size() >= maxTargetsTried)
        return {false};
    if (end == AttemptResult::Unreachable)
        return {true};
    if (call.mayHaveRun && !mayRetry(*call.route))
        return {false};
    const bool ran = end == AttemptResult::Failed || end == AttemptResult::Broken;
    if (ran && call.runsStarted >= call.route->maxAttempts)
        return {false};
    return takeRetry(call);
}

namespace {

/** Why an attempt gave the caller no answer. */
struct BounceCause
{
    std::string_view name;
    std::optional<Counter> counter{}; ///< nothing: it is not counted
};

BounceCause notRunCauseOf(NotRunCause cause)
{
    switch (cause) {
    case NotRunCause::AdapterNotLoaded:
        return {"adapter not loaded yet", Counter::BouncedAdapterNotLoaded};
    case NotRunCause::AdapterGone:
        return {"adapter gone", Counter::BouncedAdapterGone};
    case NotRunCause::OtherTarget:
        return {"other target", Counter::BouncedOtherTarget};
    case NotRunCause::Full:
        return {"full", Counter::BouncedFull};
    case NotRunCause::Leaving:
        return {"leaving", Counter::BouncedLeaving};
    case NotRunCause::None:
        break;
    }
    return {"refused"};
}

BounceCause bounceCauseOf(const ActiveCall &call, AttemptResult end)
{
    switch (end) {
    case AttemptResult::NotRun:
        return notRunCauseOf(call.notRunCause);
    case AttemptResult::Unreachable:
        return {"unreachable", Counter::BouncedUnreachable};
    case AttemptResult::Failed:
        return {"failed", Counter::BouncedFailed};
    case AttemptResult::Broken:
        return {"answer lost", Counter::BouncedFailed};
    default:
        return {"ended"};
    }
}

} // namespace

void logFailedAttempt(const ActiveCall &call, const FailedAttempt &attempt,
                      const RetryDecision &decision)
{
    GatewayNode &node = call.node;
    const ServiceRetryBudget &budget = node.retryBudgets[call.service];
    const TargetUsage others = othersUsageAt(node, attempt.target);
    const BounceCause cause = bounceCauseOf(call, attempt.end);
    if (cause.counter)
        node.metrics.add(*cause.counter);
    logEvent(EventId::CallBounced,
             {{"call", call.metadata.attemptId},
              {"target", attempt.target},
              {"software", attempt.software},
              {"end", std::to_string(static_cast<int>(attempt.end))},
              {"cause", std::string(cause.name)},
              {"adapter", call.metadata.adapter},
              {"believedMs", millisText(call.adapterBelieved)},
              {"error", attempt.error ? attempt.error.message() : ""},
              {"othersGood", std::to_string(others.successes)},
              {"othersFailed", std::to_string(others.failures)},
              {"sends", std::to_string(call.attempts)},
              {"again", decision.retrying ? "yes" : "no"},
              {"service", call.service},
              {"grantedFrom", decision.source ? std::string(sourceName(*decision.source)) : ""},
              {"repeats", std::to_string(retriesTaken(budget))},
              {"callsCounted", std::to_string(callsCounted(budget))},
              {"vmsCounted", std::to_string(slackSharing(node, BootClock::now()).vms)},
              {"identity", identityText(identityOf(call))}});
}

void recordAcceptedCall(const ActiveCall &call)
{
    GatewayNode &node = call.node;
    recordCall(node.retryBudgets[call.service], node.settings.retries, call.arrivedAt);
}

void recordAttempt(ActiveCall &call)
{
    ++call.attempts;
    recountLatestRetry(call);
}

void recordArrival(ActiveCall &call)
{
    recountLatestRetry(call);
    call.retry.reset();
}

} // namespace monsoonbay
