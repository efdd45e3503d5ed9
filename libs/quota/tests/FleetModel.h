#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "quota/Admission.h"

namespace monsoonbay {

/** How VMs divide a limit among themselves. */
enum class Division : std::uint8_t {
    Even, ///< each VM a fixed part, nothing is told
    ByDemand, ///< each VM a part by what it is asked for, told with the news
    BySum, ///< the share that the sum of all calls for; see admitCall()
};

/** A day of one workspace in virtual time. */
struct FleetDay
{
    int vms = 70;
    int callersAt = 70; ///< VMs that its calls come to
    Duration newsAge = std::chrono::milliseconds(450);
    WorkspaceLimit limit;
    QuotaPolicy policy;
    double usual = 0.56; ///< of the rate
    double hot = 1; ///< times its usual, from `hotFrom` to 24 s
    int hotFrom = 12; ///< s
    bool quietBefore = false; ///< no calls until then
    int cutAlone = 0; ///< VMs that hear nobody from 10 s to 26 s
    double cutTogether = 0; ///< share of the VMs that hear only each other in that time
    bool restart = false; ///< all lose what they know at 16 s, and are back at 17 s
    double lowered = 1; ///< times the rate, from 18 s on
    std::uint64_t seed = 1;
};

struct FleetOutcome
{
    double mostOfBound = 0; ///< the fullest window, as a part of what the rule allows
    double served = 0; ///< units let run, as a part of what one bucket for all lets run
    double servedInCalm = 0; ///< the same outside the hot hours
};

FleetOutcome playDay(const FleetDay &day, Division division);

} // namespace monsoonbay
