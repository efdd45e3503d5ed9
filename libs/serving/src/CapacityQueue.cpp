#include "serving/CapacityQueue.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>

namespace monsoonbay {

namespace {

/**
 * A call waits at most for these shares of its latency objective and of the time left to the
 * caller's deadline. Then it is refused while the caller can still retry. Calls held for longer are
 * mostly answered late or not at all, and delay others.
 */
constexpr double objectiveShare = 0.7;
constexpr double timeLeftShare = 0.35;
/** For routes without an objective. */
constexpr Duration minWaitLimit = std::chrono::milliseconds(300);

/** A long prompt whose caller has this much time left is still useful if it is answered late. */
constexpr Duration minLongTimeLeft = std::chrono::seconds(10);
constexpr double longTimeLeftShare = 0.5;
/** A prompt is long if its prefill takes this share of the shortest objective. */
constexpr double longPromptShare = 0.25;

/** Time constant of the decay of observations. */
constexpr double decaySeconds = 2;
/** With calls waiting for less time than this, the rate is not meaningful. */
constexpr double minBusySeconds = 0.2;

Duration share(Duration duration, double part) noexcept
{
    return fromSeconds(toSeconds(duration) * part);
}

CapacityRate rateAt(const CapacityQueue &queue, Instant now)
{
    CapacityRate rate = queue.rate;
    const double kept =
        std::exp(-toSeconds(std::max(now - rate.updatedAt, Duration::zero())) / decaySeconds);
    rate.updatedAt = std::max(rate.updatedAt, now);
    rate.found *= kept;
    rate.busySeconds *= kept;
    // While no calls wait, a lack of placements says nothing about capacity.
    if (!queue.calls.empty())
        rate.busySeconds += (1 - kept) * decaySeconds;
    return rate;
}

} // namespace

WaitLimits waitLimits(const WaitLimitInputs &inputs) noexcept
{
    WaitLimits limits;
    limits.usual = std::min(std::max(share(inputs.objective, objectiveShare), minWaitLimit),
                            share(inputs.timeLeft, timeLeftShare));
    limits.extended = limits.usual;
    const bool longPrompt = inputs.minObjective > Duration::zero()
        && inputs.promptMs > longPromptShare * 1000 * toSeconds(inputs.minObjective);
    if (longPrompt && inputs.timeLeft >= minLongTimeLeft)
        limits.extended = std::max(limits.usual, share(inputs.timeLeft, longTimeLeftShare));
    return limits;
}

bool enqueueCall(CapacityQueue &queue, const WaitingCall &call, Instant now)
{
    if (queue.calls.size() >= maxWaitingCalls)
        return false;
    queue.rate = rateAt(queue, now);
    queue.calls.push_back(call);
    return true;
}

void dequeueCall(CapacityQueue &queue, std::uint64_t id, Instant now)
{
    queue.rate = rateAt(queue, now);
    std::erase_if(queue.calls, [id](const WaitingCall &call) { return call.id == id; });
}

void recordCapacityFound(CapacityQueue &queue, Instant now)
{
    queue.rate = rateAt(queue, now);
    queue.rate.found += 1;
}

int agedRank(const WaitingCall &call, Instant now) noexcept
{
    const Duration usualLimit = call.softDeadline - call.since;
    if (usualLimit <= Duration::zero())
        return call.rank;
    const Duration waited = std::clamp(now - call.since, Duration::zero(), usualLimit);
    return call.rank - static_cast<int>(2 * waited / usualLimit);
}

bool isServedBefore(const WaitingCall &first, const WaitingCall &second, Instant now) noexcept
{
    const bool firstYields = now >= first.softDeadline;
    const bool secondYields = now >= second.softDeadline;
    if (firstYields != secondYields)
        return secondYields;
    const int firstRank = agedRank(first, now);
    const int secondRank = agedRank(second, now);
    if (firstRank != secondRank)
        return firstRank < secondRank;
    if (first.deadline != second.deadline)
        return first.deadline < second.deadline;
    return first.id < second.id;
}

// Otherwise each waiting call would look for capacity at each update about any engine; all would
// find the same slot and all but one would be declined. On the weakest VMs that took most of the
// CPU.
std::vector<std::uint64_t> callsToWake(const CapacityQueue &queue, int loads, Instant now)
{
    std::vector<const WaitingCall *> ordered;
    ordered.reserve(queue.calls.size());
    for (const WaitingCall &call : queue.calls) {
        if (now >= call.notBefore)
            ordered.push_back(&call);
    }
    std::sort(ordered.begin(), ordered.end(),
              [now](const WaitingCall *first, const WaitingCall *next) {
                  return isServedBefore(*first, *next, now);
              });
    std::vector<std::uint64_t> woken;
    for (const WaitingCall *call : ordered) {
        if (call->adapterReady) {
            woken.push_back(call->id);
        } else if (loads > 0) {
            --loads;
            woken.push_back(call->id);
        }
    }
    return woken;
}

namespace {

/** When a load starts that has `ahead` others before it; `now` if unknown. */
Instant loadStartTime(const ServiceCapacity &capacity, std::size_t ahead, Duration loadTime,
                      Instant now)
{
    if (capacity.mayFreeAnytime || capacity.expectedAt.empty()
        || ahead < static_cast<std::size_t>(capacity.loads))
        return now;
    std::vector<Instant> startTimes = capacity.expectedAt;
    const auto later = std::greater<>();
    std::make_heap(startTimes.begin(), startTimes.end(), later);
    for (std::size_t load = static_cast<std::size_t>(capacity.loads); load < ahead; ++load) {
        std::pop_heap(startTimes.begin(), startTimes.end(), later);
        startTimes.back() += loadTime;
        std::push_heap(startTimes.begin(), startTimes.end(), later);
    }
    return std::max(startTimes.front(), now);
}

} // namespace

// A call with none before it is never refused because of the rate: with no calls waiting, nothing
// would show that there is capacity again.
Duration expectedCapacityWait(const CapacityQueue &queue, const WaitingCall &call,
                              const ServiceCapacity &capacity, Duration loadTime, Instant now)
{
    const auto ahead = static_cast<std::size_t>(
        std::count_if(queue.calls.begin(), queue.calls.end(),
                      [&](const WaitingCall &other) { return isServedBefore(other, call, now); }));
    const Duration waitForLoad = loadStartTime(capacity, ahead, loadTime, now) - now;
    const CapacityRate rate = rateAt(queue, now);
    if (ahead == 0 || rate.busySeconds < minBusySeconds)
        return waitForLoad;
    const double secondsPerCall = rate.busySeconds / std::max(rate.found, 1.0);
    return std::max(waitForLoad, fromSeconds(secondsPerCall * static_cast<double>(ahead)));
}

} // namespace monsoonbay
