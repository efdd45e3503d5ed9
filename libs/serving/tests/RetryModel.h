#pragma once

#include <cstdint>
#include <vector>

#include "serving/ServiceRetryBudget.h"

namespace monsoonbay {

/** How callers spread their calls over the VMs from a time on. */
struct CallPhase
{
    Instant from{};
    double callsPerSecond = 0;
    std::vector<double> weights; ///< by VM
};

/** VMs that start again at the same time, without their memory. */
struct VmRestart
{
    Instant at{};
    std::vector<bool> restarted; ///< by VM
};

/** Calls of one service at several VMs, and targets that reject calls from a time on. */
struct RetryScenario
{
    RetryPolicy policy;
    int vms = 1;
    std::vector<CallPhase> phases; ///< in order of time
    std::vector<VmRestart> restarts; ///< in order of time
    Instant rejectingFrom{};
    Instant end{};
    double rejectedShare = 0;
    Duration longestWait{}; ///< a granted retry waits up to this time before it is sent
    std::uint32_t seed = 0;
};

/** Times at which calls and their retries arrive, each in order. */
struct RetryArrivals
{
    std::vector<Instant> calls;
    std::vector<Instant> retries;
};

RetryArrivals simulateRetries(const RetryScenario &scenario);

/**
 * Retries of the worst window as a share of what the policy allows over all VMs: its ratio of the
 * calls, which are counted in that window, in the one before or in the one half a window before,
 * whichever has most, and its slack. Above 1 the budget is exceeded.
 */
double worstShareOfBudget(const RetryArrivals &arrivals, const RetryPolicy &policy);

} // namespace monsoonbay
