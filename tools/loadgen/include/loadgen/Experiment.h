#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loadgen/Simulation.h"

namespace monsoonbay::loadgen {

/** A named scenario of the simulation; all policies get the same arrivals. */
struct Experiment
{
    std::string_view name;
    std::string_view description;
    SimulationOptions (*options)(const std::string &deployment);
    double windowStart; ///< the table counts requests that arrive from here, in seconds
    double windowEnd; ///< and before here
    int hotRanks; ///< counts only requests of this many hottest adapters; 0: all requests
};

const std::vector<Experiment> &experiments();

/**
 * Runs an experiment with each policy, with the seeds 1 to `seeds`. Returns a Markdown table with
 * one row a policy; ratios are relative to the policy "plain-good", or 1 if it is not among them.
 */
std::string runExperiment(const Experiment &experiment, const std::string &deployment,
                          const std::vector<std::string> &policies, int seeds);

} // namespace monsoonbay::loadgen
