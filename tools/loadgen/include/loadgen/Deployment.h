#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/Settings.h"

namespace monsoonbay::loadgen {

/** An entry VM of a deployment. */
struct EntryVm
{
    std::string name;
    std::string zone;
    std::string address;
};

/** A target of a deployment. */
struct Target
{
    std::string name;
    std::string zone;
    std::string address;
    bool model = true;
    bool checksTokens = true;
};

/** The sizes of a deployment as the brief gives them. */
struct Deployment
{
    std::string name;
    std::vector<std::string> zones;
    std::vector<EntryVm> entryVms;
    std::vector<Target> targets;
    int adapters = 3000;
    int slots = 8;
    int maxBatch = 16;
    double loadsPerSecond = 2;
    double stallWeight = 0.5;
    double batchWeight = 0.5;
    std::string baseModel;
    double stepMs = 20; ///< of the engine stand-ins
    double stepMsPerSequence = 0.5;
    int threads = 2; ///< of each entry VM
};

/** "bavaria", "finland", or "bench" for the path alone; an empty name in the result if it is
 * neither. */
Deployment findDeployment(const std::string &name);

constexpr std::uint16_t callersPort = 8080;
constexpr std::uint16_t peersPort = 8081;
constexpr std::uint16_t operatorsPort = 8082;
constexpr std::uint16_t targetPort = 9000;
constexpr std::uint16_t platformPort = 9100;
/** Token of the demo's one service; only its digest goes into the manifest. */
inline const std::string demoToken = "demo-token-of-the-load-tool";

std::string adapterName(int index);
std::string manifestJson(const Deployment &deployment);
std::string vmListJson(const Deployment &deployment);
std::string settingsJson(const Deployment &deployment, const EntryVm &vm,
                         const std::string &placement);

/** Command lines of all processes of the deployment, one a line, relative to the build folder. */
std::vector<std::string> processCommandLines(const Deployment &deployment,
                                             const std::string &folder);

/** Writes manifest, VM list, settings and process list; false if the folder cannot be written. */
bool writePlan(const Deployment &deployment, const std::string &folder,
               const std::string &placement);

} // namespace monsoonbay::loadgen
