#pragma once

#include <cstdint>

#include "core/Time.h"
#include "core/WindowCounts.h"

namespace monsoonbay {

/** How many sends beyond the first of each call a service may see, over all VMs. */
struct RetryPolicy
{
    double ratio = 0.2; ///< of the calls in the window
    double slack = 50; ///< beside the ratio, over all VMs
    Duration window = std::chrono::seconds(10);

    auto operator<=>(const RetryPolicy &) const = default;
};

/** Counts of one VM for one service, by parts of the window. */
struct ServiceRetryBudget
{
    static constexpr std::size_t parts = 20; ///< of the window

    WindowCounts<std::uint32_t, parts> calls;
    WindowCounts<std::uint32_t, parts> repeats;
};

void noteCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now);

/** Takes one repeat out of this VM's share; false if the share is used up. */
bool takeRepeat(ServiceRetryBudget &budget, const RetryPolicy &policy, int vms, Instant now);

/** Repeats that this VM has taken in the window, as of the last call or repeat. */
std::uint32_t repeatsTaken(const ServiceRetryBudget &budget) noexcept;

} // namespace monsoonbay
