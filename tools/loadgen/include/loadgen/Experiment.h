#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loadgen/Simulation.h"

namespace monsoonbay::loadgen {

/** One named experiment in virtual time, run with several policies over the same arrivals. */
struct Experiment
{
    std::string_view name;
    std::string_view description;
    SimulationOptions (*options)(const std::string &deployment);
    double windowStart; ///< the window that the table is about
    double windowEnd;
    int hotRanks; ///< 0: all requests
};

const std::vector<Experiment> &experiments();

/** Runs an experiment with each policy and writes one row a policy, with ratios to plain-good. */
std::string runExperiment(const Experiment &experiment, const std::string &deployment,
                          const std::vector<std::string> &policies, int seeds);

} // namespace monsoonbay::loadgen
