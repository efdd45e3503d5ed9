#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "quota/Admission.h"

namespace monsoonbay {

/** How the VMs divide a limit among themselves. */
enum class Division : std::uint8_t {
    Even, ///< each VM has a fixed part, without any reports
    ByDemand, ///< each VM has a part by its reported demand
    BySum, ///< all VMs admit the same share, by the sum of their demand; see admitCall()
};

/** Calls of one kind, as a part of a workspace's calls. */
struct CallsOfKind
{
    double callsPerSecond = 0; ///< in relation to the other kinds
    std::int64_t units = 0; ///< of each
    int rank = 0; ///< of their route
};

/** A simulated scenario of one workspace in virtual time. */
struct FleetScenario
{
    int vms = 70;
    int vmsWithCalls = 70; ///< VMs that receive its calls
    Duration updateAge = std::chrono::milliseconds(450); ///< mean age of the state updates
    Duration permitAge = std::chrono::milliseconds(70); ///< of the zone relay's permits
    WorkspaceLimit limit;
    QuotaPolicy policy;
    double usualDemand = 0.56; ///< usual demand, as a part of the rate
    double hot = 1; ///< demand from `hotFromSecond` to 24 s, in multiples of the usual one
    int hotFromSecond = 12; ///< s
    bool quietBefore = false; ///< no calls before `hotFromSecond`
    int isolatedVms = 0; ///< VMs that are isolated from 10 s to 26 s
    double partitionedShare = 0; ///< share of the VMs that reach only each other in that time
    std::vector<Duration> restarts; ///< all VMs end then and start again a second later
    Duration restartSpread{}; ///< time over which their ends, and so their starts, are spread
    int zones = 4;
    double largestCall = 0; ///< units; 0: unbounded
    int rejectedZones = 0; ///< zones whose writes the store rejects from `rejectedFrom` on
    Duration rejectedFrom = std::chrono::seconds(12);
    Duration rejectedUntil = std::chrono::seconds(30);
    double rateFactor = 1; ///< factor of the rate from 18 s on
    std::vector<CallsOfKind> kinds; ///< empty: calls of one class and of many sizes
    std::size_t burstOf = 0; ///< kind whose calls are multiplied by `burst` in the hot time
    double burst = 1;
    int vmsWithoutClasses = 0; ///< VMs that report no classes
    bool oneClass = false; ///< all calls are treated as one class
    std::uint64_t seed = 1;
};

/** A refused call and the state of its VM at that time. */
struct Refusal
{
    Duration at{}; ///< since the scenario began
    std::size_t vm = 0;
    CallClass callClass = CallClass::Rank2;
    std::int64_t units = 0;
    bool fits = true; ///< it was refused by the share of its class alone
    double share = 0;
    double window = 0; ///< units counted as used, as a part of what the reachable VMs may use
    double allowed = 0; ///< see FleetUsage
    int reachableVms = 1;
};

struct FleetOutcome
{
    double maxOfBound = 0; ///< usage of the fullest window, as a part of the bound
    double served = 0; ///< units admitted, as a part of what one central token bucket admits
    double servedInCalm = 0; ///< like `served`, outside the hot time
    double servedCalls = 0; ///< part of the calls that was admitted in the hot time
    std::array<double, callClassCount> servedByClass{}; ///< like `servedCalls`; 0: no calls
    double servedAfter = 0; ///< admitted part of the demand in the window after the last restart
    std::vector<Refusal> refusals; ///< in order of time
};

/**
 * Simulates a scenario. With PRINT_REFUSALS in the environment, prints to standard error how many
 * calls of each class were refused in each half second, at how many VMs, why and in which state.
 */
FleetOutcome simulateScenario(const FleetScenario &scenario, Division division);

} // namespace monsoonbay
