#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "loadgen/Experiment.h"
#include "loadgen/Load.h"
#include "loadgen/PathBench.h"

namespace {

namespace loadgen = monsoonbay::loadgen;

constexpr int exitUsage = 2;
constexpr int exitInvalidAnswers = 4;

cxxopts::Options commandLine()
{
    cxxopts::Options options(
        "monsoonbay-loadgen",
        "Load and experiment tool\n\n"
        "  plan  writes manifest, VM list, settings and process list\n"
        "  load  publishes the manifest to a started deployment and sends a mixed load\n"
        "  path  measures the overhead of an entry VM, with the deployment bench\n"
        "  experiment  simulates placement policies in virtual time\n");
    options.add_options()("command", "plan, load, path or experiment",
                          cxxopts::value<std::string>())(
        "deployment", "bavaria, finland or bench",
        cxxopts::value<std::string>()->default_value("bavaria"))(
        "folder", "folder for the generated files",
        cxxopts::value<std::string>()->default_value("out/demo"))(
        "placement", "forecast or plain-good",
        cxxopts::value<std::string>()->default_value("forecast"))(
        "seconds", "duration of the load", cxxopts::value<double>()->default_value("20"))(
        "rate", "model requests per second", cxxopts::value<double>()->default_value("12"))(
        "plain-rate", "requests to plain services per second",
        cxxopts::value<double>()->default_value("20"))(
        "deadline-ms", "deadline of each request", cxxopts::value<int>()->default_value("20000"))(
        "name", "experiment, or all", cxxopts::value<std::string>()->default_value("all"))(
        "policies", "placement policies to compare, in the order of the rows",
        cxxopts::value<std::vector<std::string>>()->default_value(
            "naive,plain-good,forecast,ranking,oracle"))("seeds", "number of seeds for each policy",
                                                         cxxopts::value<int>()->default_value("4"))(
        "seed", "seed of the random generator",
        cxxopts::value<std::uint64_t>()->default_value("1"))("h,help", "show this help");
    options.parse_positional({"command"});
    options.positional_help("COMMAND");
    return options;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int plan(const loadgen::Deployment &deployment, const cxxopts::ParseResult &arguments)
{
    const std::string folder = arguments["folder"].as<std::string>();
    if (loadgen::writePlan(deployment, folder, arguments["placement"].as<std::string>()))
        return 0;
    std::cerr << folder << ": cannot write the plan; choose another --folder\n";
    return 1;
}

int load(const loadgen::Deployment &deployment, const cxxopts::ParseResult &arguments)
{
    const std::string folder = arguments["folder"].as<std::string>();
    constexpr double timeoutSeconds = 30;
    if (!loadgen::publishAndAwaitReady(deployment, readFile(folder + "/manifest.json"),
                                       timeoutSeconds)) {
        std::cerr << "the deployment was not ready in time; see the logs in " << folder << "\n";
        return 1;
    }
    loadgen::LoadOptions options;
    options.seconds = arguments["seconds"].as<double>();
    options.modelRequestsPerSecond = arguments["rate"].as<double>();
    options.plainRequestsPerSecond = arguments["plain-rate"].as<double>();
    options.deadlineMs = arguments["deadline-ms"].as<int>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    const loadgen::LoadReport report = loadgen::runLoad(deployment, options);
    const loadgen::EngineTotals engines = loadgen::readEngineTotals(deployment);
    const loadgen::StallTotals stalls = loadgen::readStallTotals(deployment);
    std::cout << loadgen::reportTable(report, engines, stalls);
    std::ofstream(folder + "/report.svg")
        << loadgen::reportSvg("monsoonbay, " + deployment.name, report);
    std::cout << "plot: " << folder << "/report.svg\n";
    const bool invalid = report.wrongAnswers + report.streamsWithDuplicates + report.truncated
            + engines.evictionsInUse + engines.executedTwice
        > 0;
    return invalid ? exitInvalidAnswers : 0;
}

int path(const loadgen::Deployment &deployment, const cxxopts::ParseResult &arguments)
{
    const std::string folder = arguments["folder"].as<std::string>();
    constexpr double timeoutSeconds = 30;
    if (!loadgen::publishAndAwaitReady(deployment, readFile(folder + "/manifest.json"),
                                       timeoutSeconds)) {
        std::cerr << "the deployment was not ready in time; see the logs in " << folder << "\n";
        return 1;
    }
    std::cout << loadgen::measureEntryVmOverhead(deployment, arguments["seconds"].as<double>());
    return 0;
}

int experiment(const std::string &deployment, const cxxopts::ParseResult &arguments)
{
    const std::string name = arguments["name"].as<std::string>();
    const auto policies = arguments["policies"].as<std::vector<std::string>>();
    bool found = false;
    for (const loadgen::Experiment &candidate : loadgen::experiments()) {
        if (name != "all" && name != candidate.name)
            continue;
        found = true;
        std::cout << loadgen::runExperiment(candidate, deployment, policies,
                                            arguments["seeds"].as<int>())
                  << std::flush;
    }
    if (found)
        return 0;
    std::cerr << "unknown experiment; choose all or one of:";
    for (const loadgen::Experiment &candidate : loadgen::experiments())
        std::cerr << " " << candidate.name;
    std::cerr << "\n";
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("command") == 0) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : exitUsage;
        }
        const auto deployment = loadgen::findDeployment(arguments["deployment"].as<std::string>());
        if (deployment.name.empty()) {
            std::cerr << "unknown deployment; choose bavaria, finland or bench\n";
            return exitUsage;
        }
        const std::string command = arguments["command"].as<std::string>();
        if (command == "plan")
            return plan(deployment, arguments);
        if (command == "load")
            return load(deployment, arguments);
        if (command == "path")
            return path(deployment, arguments);
        if (command == "experiment")
            return experiment(deployment.name, arguments);
        std::cerr << "unknown command; choose plan, load, path or experiment\n";
        return exitUsage;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
