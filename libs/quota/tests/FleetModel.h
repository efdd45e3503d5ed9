#pragma once

#include <array>
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

/** Calls of one kind, as a part of a workspace's calls. */
struct CallsOfKind
{
    double callsPerSecond = 0; ///< against those of the other kinds
    std::int64_t units = 0; ///< of each
    int rank = 0; ///< of their route
};

/** A day of one workspace in virtual time. */
struct FleetScenario
{
    int vms = 70;
    int callersAt = 70; ///< VMs that its calls come to
    Duration updateAge = std::chrono::milliseconds(450);
    Duration permitAge = std::chrono::milliseconds(70); ///< of what the zone's relay told
    WorkspaceLimit limit;
    QuotaPolicy policy;
    double usual = 0.56; ///< of the rate
    double hot = 1; ///< times its usual, from `hotFrom` to 24 s
    int hotFrom = 12; ///< s
    bool quietBefore = false; ///< no calls until then
    int cutAlone = 0; ///< VMs that hear nobody from 10 s to 26 s
    double cutTogether = 0; ///< share of the VMs that hear only each other in that time
    std::vector<Duration> restarts; ///< all VMs end then, and are back a second later
    Duration apart{}; ///< within this time they end, and likewise come back
    int zones = 4;
    double largestCall = 0; ///< units; 0: no largest
    int storeAwayFor = 0; ///< zones whose notes the store refuses from `storeAwayFrom` on
    Duration storeAwayFrom = std::chrono::seconds(12);
    Duration storeAwayUntil = std::chrono::seconds(30);
    double lowered = 1; ///< times the rate, from 18 s on
    std::vector<CallsOfKind> kinds; ///< none: calls of one class and of many sizes
    std::size_t burstOf = 0; ///< kind of which `burst` times as many calls come from 12 s to 24 s
    double burst = 1;
    int silentOnClasses = 0; ///< VMs that tell nothing of classes
    bool oneClass = false; ///< all calls are taken for one class
    std::uint64_t seed = 1;
};

/** A call that was refused, and what its VM knew. */
struct Refusal
{
    Duration at{}; ///< since the day began
    std::size_t vm = 0;
    CallClass callClass = CallClass::Rank2;
    std::int64_t units = 0;
    bool fits = true; ///< it was refused for the share of its class alone
    double share = 0;
    double window = 0; ///< units counted as used, as a part of what its VMs may use at all
    double allowed = 0; ///< see FleetUsage
    int reachableVms = 1;
};

struct FleetOutcome
{
    double mostOfBound = 0; ///< the fullest window, as a part of what the rule allows
    double served = 0; ///< units let run, as a part of what one bucket for all lets run
    double servedInCalm = 0; ///< the same outside the hot hours
    double servedCalls = 0; ///< part of the calls that were let run in the hot hours
    std::array<double, callClassCount> servedByClass{}; ///< the same by class; 0: none came
    double servedAfter = 0; ///< of what was asked for in the window after the last restart
    std::vector<Refusal> refusals; ///< in order of time
};

/**
 * With PRINT_REFUSALS in the environment, prints on standard error how many calls of each class
 * were refused in each half of a second, at how many VMs, for which reason and with which
 * knowledge.
 */
FleetOutcome simulateDay(const FleetScenario &day, Division division);

} // namespace monsoonbay
