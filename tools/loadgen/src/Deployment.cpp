#include "loadgen/Deployment.h"

#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

#include "core/Digest.h"

namespace monsoonbay::loadgen {

namespace {

using Json = nlohmann::json;

/** Number of VMs of each kind in each zone, in the order of the zones. */
struct VmCounts
{
    std::vector<int> entryVms;
    std::vector<int> models;
    std::vector<int> apps;
};

// Each VM gets its own loopback address, 127.DEPLOYMENT.ZONE.N, so that all of them can use the
// same ports, as real VMs do.
std::string addressOf(int deployment, std::size_t zone, int number)
{
    return "127." + std::to_string(deployment) + "." + std::to_string(zone + 1) + "."
        + std::to_string(number);
}

void addVms(Deployment &deployment, int network, const VmCounts &counts)
{
    for (std::size_t zone = 0; zone < deployment.zones.size(); ++zone) {
        const std::string &name = deployment.zones[zone];
        for (int index = 0; index < counts.entryVms[zone]; ++index)
            deployment.entryVms.push_back({name + "-entry-" + std::to_string(index + 1), name,
                                           addressOf(network, zone, 10 + index)});
        for (int index = 0; index < counts.models[zone]; ++index)
            deployment.targets.push_back({name + "-model-" + std::to_string(index + 1), name,
                                          addressOf(network, zone, 50 + index), true, index != 1});
        for (int index = 0; index < counts.apps[zone]; ++index)
            deployment.targets.push_back({name + "-app-" + std::to_string(index + 1), name,
                                          addressOf(network, zone, 100 + index), false, true});
    }
}

Deployment bavaria()
{
    Deployment deployment;
    deployment.name = "bavaria";
    deployment.zones = {"nbg-halle-a", "nbg-halle-b", "erl-saal", "bam-raum"};
    deployment.loadsPerSecond = 2;
    deployment.stallWeight = 0.8;
    deployment.batchWeight = 0.2;
    deployment.baseModel = "bauakte";
    addVms(deployment, 41, VmCounts{{2, 2, 2, 1}, {3, 2, 2, 2}, {1, 1, 1, 1}});
    return deployment;
}

Deployment finland()
{
    Deployment deployment;
    deployment.name = "finland";
    deployment.zones = {"sali-a", "sali-b", "sali-c"};
    deployment.loadsPerSecond = 3;
    deployment.stallWeight = 0.2;
    deployment.batchWeight = 0.8;
    deployment.baseModel = "rappaus";
    addVms(deployment, 42, VmCounts{{2, 2, 2}, {4, 4, 4}, {1, 1, 1}});
    return deployment;
}

/** One entry VM and four engines with steps of 0 ms, so that the entry VM dominates latency. */
Deployment bench()
{
    Deployment deployment;
    deployment.name = "bench";
    deployment.zones = {"bench"};
    deployment.adapters = 4;
    deployment.maxBatch = 256;
    deployment.loadsPerSecond = 100;
    deployment.stepMs = 0;
    deployment.stepMsPerSequence = 0;
    deployment.threads = 4;
    deployment.baseModel = "bench";
    addVms(deployment, 43, VmCounts{{1}, {4}, {0}});
    return deployment;
}

bool writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream file(path);
    file << text << "\n";
    return static_cast<bool>(file);
}

/** Address of a platform service, 127.DEPLOYMENT.200.N. */
std::string platformAddress(const Deployment &deployment, int number)
{
    const std::string &anyAddress = deployment.entryVms.front().address;
    const std::string network = anyAddress.substr(0, anyAddress.find('.', 4));
    return network + ".200." + std::to_string(number);
}

// Last byte of the addresses of the platform services.
constexpr int logNumber = 1;
constexpr int vmListNumber = 2;
constexpr int storeNumber = 3;

} // namespace

Deployment findDeployment(const std::string &name)
{
    if (name == "bavaria")
        return bavaria();
    if (name == "finland")
        return finland();
    if (name == "bench")
        return bench();
    return {};
}

std::string adapterName(int index)
{
    std::string digits = std::to_string(index);
    return "plan-" + std::string(5 - std::min<std::size_t>(5, digits.size()), '0') + digits;
}

std::string manifestJson(const Deployment &deployment)
{
    Json adapters = Json::array();
    for (int index = 0; index < deployment.adapters; ++index)
        adapters.push_back(
            {{"name", adapterName(index)}, {"version", "1"}, {"baseModel", deployment.baseModel}});
    Json targets = Json::array();
    for (const Target &target : deployment.targets) {
        Json json{{"name", target.name}, {"checksTokens", target.checksTokens}};
        if (target.model) {
            json["baseModel"] = deployment.baseModel;
            json["slots"] = deployment.slots;
            json["maxBatch"] = deployment.maxBatch;
        } else {
            json["plainService"] = "tiles";
        }
        targets.push_back(json);
    }
    const Json service{{"name", "viewer"},  {"tokenSha256", sha256Hex(demoToken)},
                       {"adapters", {"*"}}, {"plainServices", {"tiles"}},
                       {"priority", 5},     {"share", 1.0}};
    const Json plain{
        {"name", "tiles"}, {"path", "/tiles"}, {"nonIdempotent", {"POST /tiles/bookings*"}}};
    const Json manifest{
        {"format", 1},
        {"baseModels", {deployment.baseModel}},
        {"adapters", adapters},
        {"services", Json::array({service})},
        {"plainServices", Json::array({plain})},
        {"targets", targets},
        {"weights", {{"stall", deployment.stallWeight}, {"batch", deployment.batchWeight}}},
        {"loadsPerSecond", deployment.loadsPerSecond}};
    return manifest.dump(1);
}

std::string vmListJson(const Deployment &deployment)
{
    Json vms = Json::array();
    for (const EntryVm &vm : deployment.entryVms)
        vms.push_back({{"name", vm.name},
                       {"kind", "entry"},
                       {"zone", vm.zone},
                       {"address", vm.address},
                       {"port", peersPort},
                       {"state", "live"}});
    for (const Target &target : deployment.targets)
        vms.push_back({{"name", target.name},
                       {"kind", target.model ? "model" : "app"},
                       {"zone", target.zone},
                       {"address", target.address},
                       {"port", targetPort},
                       {"state", "live"}});
    return vms.dump(1);
}

std::string settingsJson(const Deployment &deployment, const EntryVm &vm,
                         const std::string &placement)
{
    const auto endpoint = [](const std::string &address, std::uint16_t port) {
        return Json{{"address", address}, {"port", port}};
    };
    const Json settings{
        {"vm", vm.name},
        {"zone", vm.zone},
        {"callers", endpoint(vm.address, callersPort)},
        {"peers", endpoint(vm.address, peersPort)},
        {"operators", endpoint(vm.address, operatorsPort)},
        {"log", endpoint(platformAddress(deployment, logNumber), platformPort)},
        {"vmList", endpoint(platformAddress(deployment, vmListNumber), platformPort)},
        {"threads", deployment.threads},
        {"placement", placement},
        {"keyMemorySeconds", 3}};
    return settings.dump(1);
}

std::vector<std::string> processCommandLines(const Deployment &deployment,
                                             const std::string &folder)
{
    const std::string standin = "tools/standins/monsoonbay-standins ";
    const std::string store = platformAddress(deployment, storeNumber);
    const auto listen = [](const std::string &address, std::uint16_t port) {
        return " --address " + address + " --port " + std::to_string(port);
    };
    std::vector<std::string> commandLines;
    commandLines.push_back(standin + "--role log"
                           + listen(platformAddress(deployment, logNumber), platformPort));
    commandLines.push_back(standin + "--role vmlist --vms " + folder + "/vms.json"
                           + listen(platformAddress(deployment, vmListNumber), platformPort));
    commandLines.push_back(standin + "--role store --loads-per-second "
                           + std::to_string(deployment.loadsPerSecond)
                           + listen(store, platformPort));
    for (const Target &target : deployment.targets) {
        const std::string where = listen(target.address, targetPort) + " --name " + target.name;
        if (!target.model) {
            commandLines.push_back(standin + "--role service" + where);
            continue;
        }
        commandLines.push_back(standin + "--role engine" + where + " --slots "
                               + std::to_string(deployment.slots) + " --max-batch "
                               + std::to_string(deployment.maxBatch) + " --step-ms "
                               + std::to_string(deployment.stepMs) + " --step-ms-per-sequence "
                               + std::to_string(deployment.stepMsPerSequence) + " --checks-tokens="
                               + (target.checksTokens ? "true" : "false") + " --store-address "
                               + store + " --store-port " + std::to_string(platformPort));
    }
    for (const EntryVm &vm : deployment.entryVms)
        commandLines.push_back("tools/monsoonbayd/monsoonbayd --settings " + folder + "/" + vm.name
                               + ".json");
    return commandLines;
}

bool writePlan(const Deployment &deployment, const std::string &folder,
               const std::string &placement)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::filesystem::path base(folder);
    bool written = writeFile(base / "manifest.json", manifestJson(deployment));
    written = writeFile(base / "vms.json", vmListJson(deployment)) && written;
    for (const EntryVm &vm : deployment.entryVms)
        written = writeFile(base / (vm.name + ".json"), settingsJson(deployment, vm, placement))
            && written;
    std::string commandLines;
    for (const std::string &line : processCommandLines(deployment, folder))
        commandLines += line + "\n";
    return writeFile(base / "processes.txt", commandLines) && written;
}

} // namespace monsoonbay::loadgen
