#include "CallRetries.h"

#include <algorithm>

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

/**
 * The slack is for targets in trouble. Some of it is left to a VM that was wrong about what a
 * target holds: where calls are rare, they earn no retry in the time of a caller.
 */
constexpr double slackPartForMistakes = 0.1;

SlackSharing slackForMistakes(const GatewayNode &node)
{
    SlackSharing sharing = slackSharing(node, BootClock::now());
    sharing.part = slackPartForMistakes;
    return sharing;
}

/** A call leaves as much of the time that it has to the attempt itself. */
constexpr double retryWaitShare = 0.5;
constexpr Duration maxRetryWait = std::chrono::seconds(3);
constexpr Duration retryCheckInterval = std::chrono::milliseconds(50);
/** Retry-After of a call that gets no retry in time. */
constexpr Duration minRetryAfter = std::chrono::milliseconds(300);

/** Keeps a call in the queue for as long as it waits for a retry. */
class RetryTicket
{
public:
    explicit RetryTicket(ActiveCall &call)
        : queue(call.node.retryQueues[call.service])
        , id(++this->queue.lastTicket)
    {
        this->queue.tickets.push_back(this->id);
    }

    RetryTicket(const RetryTicket &) = delete;
    RetryTicket &operator=(const RetryTicket &) = delete;

    ~RetryTicket()
    {
        this->queue.tickets.remove(this->id);
    }

    bool isFirst() const
    {
        return this->queue.tickets.front() == this->id;
    }

private:
    RetryQueue &queue;
    std::uint64_t id;
};

Counter retryCounter(const GrantedRetry &retry)
{
    return retry.source == RetrySource::Calls ? Counter::RetriesFromCalls
                                              : Counter::RetriesFromSlack;
}

RetryDecision takeRetry(ActiveCall &call, const SlackSharing &sharing)
{
    GatewayNode &node = call.node;
    call.retry = tryTakeRetry(node.retryBudgets[call.service], node.settings.retries, sharing,
                              BootClock::now());
    if (!call.retry)
        return {false};
    node.metrics.add(retryCounter(*call.retry));
    return {true, call.retry->source};
}

/** True if the target is well, and this VM was wrong about what it holds. */
bool isOwnMistake(const ActiveCall &call, AttemptResult end)
{
    return end == AttemptResult::NotRun
        && (call.notRunCause == NotRunCause::AdapterNotLoaded
            || call.notRunCause == NotRunCause::AdapterGone);
}

/** The retry of a call that was sent too early; it may have to wait for it. */
RetryDecision takeOrAwaitRetry(ActiveCall &call)
{
    if (call.node.retryQueues[call.service].tickets.empty()) {
        const RetryDecision decision = takeRetry(call, slackForMistakes(call.node));
        if (decision.retrying)
            return decision;
    }
    call.awaitsRetry = true;
    RetryDecision awaited{true};
    awaited.awaited = true;
    return awaited;
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
    if (isOwnMistake(call, end))
        return takeOrAwaitRetry(call);
    const RetryDecision decision = takeRetry(call, slackSharing(call.node, BootClock::now()));
    if (!decision.retrying)
        call.node.metrics.add(Counter::RetriesRefused);
    return decision;
}

// A call that was sent before its load was done has lost nothing but one attempt: it waits for what
// other calls earn, rather than being refused while its caller has time left.
asio::awaitable<std::optional<LocalReply>> awaitRetry(ActiveCall &call)
{
    GatewayNode &node = call.node;
    const Instant begun = BootClock::now();
    const Duration longest =
        std::min(maxRetryWait, fromSeconds(retryWaitShare * toSeconds(timeLeft(call))));
    const RetryTicket ticket(call);
    const auto position = static_cast<int>(node.retryQueues[call.service].tickets.size());
    const std::optional<Duration> expected =
        timeToEarn(node.retryBudgets[call.service], node.settings.retries, position,
                   begun - node.bootedAt, begun);
    // In the first window after a start, the calls so far do not show how many will come.
    const bool hopeless =
        begun - node.bootedAt > node.settings.retries.window && (!expected || *expected > longest);
    while (!hopeless && !call.cancelled() && BootClock::now() - begun < longest) {
        if (ticket.isFirst() && takeRetry(call, slackForMistakes(call.node)).retrying) {
            call.awaitsRetry = false;
            co_return std::nullopt;
        }
        co_await node.retryEarned.wait(retryCheckInterval);
    }
    node.metrics.add(Counter::RetriesRefused);
    co_return makeLocalReply(
        503, "no retry was free in time",
        std::clamp(expected.value_or(maxRetryWait), minRetryAfter, maxRetryWait));
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
              {"again",
               decision.awaited        ? "awaited"
                   : decision.retrying ? "yes"
                                       : "no"},
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
    node.retryEarned.notifyAll();
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
