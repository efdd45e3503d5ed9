#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/Settings.h"

namespace monsoonbay::loadgen {

/** A VM that accepts calls: it runs the daemon `monsoonbayd`. */
struct EntryVm
{
    std::string name;
    std::string zone;
    std::string address;
};

/** A target of a deployment: a model engine, or a plain service. */
struct Target
{
    std::string name;
    std::string zone;
    std::string address;
    bool model = true; ///< false: a plain service
    bool checksTokens = true; ///< rejects commands with an old fencing token
};

/** Sizes and speeds of a deployment. Those of "bavaria" and "finland" come from the requirements.
 */
struct Deployment
{
    std::string name;
    std::vector<std::string> zones;
    std::vector<EntryVm> entryVms;
    std::vector<Target> targets;
    int adapters = 3000;
    int slots = 8; ///< adapter slots of each engine
    int maxBatch = 16; ///< sequences in one step of an engine
    double loadsPerSecond = 2; ///< adapter loads that the weight store can serve
    double stallWeight = 0.5; ///< weight of load stalls in placement
    double batchWeight = 0.5; ///< weight of batch efficiency in placement
    std::string baseModel;
    double stepMs = 20; ///< fixed part of a decoding step of the engine stand-ins
    double stepMsPerSequence = 0.5; ///< added to a step for each sequence in the batch
    int threads = 2; ///< worker threads of each entry VM
};

/**
 * Returns the deployment "bavaria" or "finland", or "bench", which measures the overhead of one
 * entry VM. For any other name the result has an empty name.
 */
Deployment findDeployment(const std::string &name);

/** Ports of the entry VMs: for callers, for other entry VMs, and for operators. */
constexpr std::uint16_t callersPort = 8080;
constexpr std::uint16_t peersPort = 8081;
constexpr std::uint16_t operatorsPort = 8082;
constexpr std::uint16_t targetPort = 9000;
constexpr std::uint16_t platformPort = 9100;
/** Bearer token of the only service in the manifest, which holds just its SHA-256 digest. */
inline const std::string demoToken = "demo-token-of-the-load-tool";

/** Name of the adapter with this index, without its version. */
std::string adapterName(int index);
std::string manifestJson(const Deployment &deployment);
std::string vmListJson(const Deployment &deployment);
std::string settingsJson(const Deployment &deployment, const EntryVm &vm,
                         const std::string &placement);

/** Command lines of all processes of the deployment, with paths relative to the build folder. */
std::vector<std::string> processCommandLines(const Deployment &deployment,
                                             const std::string &folder);

/** Writes manifest, VM list, settings and process list; false if a file cannot be written. */
bool writePlan(const Deployment &deployment, const std::string &folder,
               const std::string &placement);

} // namespace monsoonbay::loadgen
