#include <criterion/criterion.h>

#include "FleetModel.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

FleetDay dayOf(int vms)
{
    FleetDay day;
    day.vms = vms;
    day.callersAt = vms;
    day.newsAge = 100ms + 5ms * vms;
    day.limit.unit = QuotaUnit::Tokens;
    day.limit.ratePerSecond = 887000;
    day.limit.burst = 887000;
    day.policy.slack = 110000;
    return day;
}

} // namespace

// Guards against a second allowance after a restart of all VMs when all of the window was used in
// its second half: for four seconds nothing of it leaves the window.
Test(spend_notes, a_window_used_just_before_a_common_restart_is_not_given_again)
{
    for (const int vms : {7, 83}) {
        FleetDay day = dayOf(vms);
        day.hot = 7.5;
        day.hotFrom = 12;
        day.quietBefore = true;
        day.restart = true;
        const FleetOutcome outcome = playDay(day, Division::BySum);
        cr_expect_leq(outcome.mostOfBound, 1.0, "%d VMs: %g of the bound", vms,
                      outcome.mostOfBound);
    }
}
