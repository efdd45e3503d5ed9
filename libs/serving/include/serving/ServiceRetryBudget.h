#pragma once

#include <array>
#include <cstdint>

#include "core/Time.h"

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
    /** Parts kept; one more than the window has, as the newest is never a whole one. */
    static constexpr std::size_t parts = 21;

    std::array<std::uint32_t, parts> calls{};
    std::array<std::uint32_t, parts> repeats{};
    std::int64_t newestPart = 0;
};

void noteCall(ServiceRetryBudget &budget, const RetryPolicy &policy, Instant now);

/** Takes one repeat out of this VM's share; false if the share is used up. */
bool takeRepeat(ServiceRetryBudget &budget, const RetryPolicy &policy, int vms, Instant now);

} // namespace monsoonbay
