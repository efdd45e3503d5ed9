#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "standins/Standins.h"

namespace {

using monsoonbay::Endpoint;
namespace standins = monsoonbay::standins;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::unique_ptr<standins::Standin> startRole(boost::asio::io_context &context,
                                             const cxxopts::ParseResult &arguments)
{
    const std::string role = arguments["role"].as<std::string>();
    const Endpoint listen{arguments["address"].as<std::string>(),
                          arguments["port"].as<std::uint16_t>()};
    const Endpoint store{arguments["store-address"].as<std::string>(),
                         arguments["store-port"].as<std::uint16_t>()};
    if (role == "engine") {
        standins::EngineOptions options;
        options.name = arguments["name"].as<std::string>();
        options.listen = listen;
        options.store = store;
        options.slots = arguments["slots"].as<int>();
        options.maxBatch = arguments["max-batch"].as<int>();
        options.stepMs = arguments["step-ms"].as<double>();
        options.stepMsPerSequence = arguments["step-ms-per-sequence"].as<double>();
        options.reportLagMs = arguments["report-lag-ms"].as<int>();
        options.checksTokens = arguments["checks-tokens"].as<bool>();
        return standins::startEngine(context, options);
    }
    if (role == "service")
        return standins::startPlainService(
            context,
            {arguments["name"].as<std::string>(), listen, arguments["service-ms"].as<int>()});
    if (role == "store")
        return standins::startStore(context, {listen, arguments["loads-per-second"].as<double>()});
    if (role == "log")
        return standins::startLog(context,
                                  {listen, arguments["retained-records"].as<std::size_t>()});
    if (role == "collector")
        return standins::startCollector(context, {listen});
    if (role == "vmlist")
        return standins::startVmList(context,
                                     {listen, readFile(arguments["vms"].as<std::string>()),
                                      arguments["vm-list-lag-ms"].as<int>()});
    return nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("monsoonbay-standins",
                             "Stand-ins for the platform and for targets, for tests and demos");
    options.add_options()("role", "engine, service, store, log, collector or vmlist",
                          cxxopts::value<std::string>())(
        "name", "name of the VM", cxxopts::value<std::string>()->default_value("standin"))(
        "address", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port, 0 for any", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "store-address", "address of the weight store",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "store-port", "port of the weight store",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "slots", "adapter slots of the engine", cxxopts::value<int>()->default_value("8"))(
        "max-batch", "sequences in one step", cxxopts::value<int>()->default_value("16"))(
        "step-ms", "duration of a step", cxxopts::value<double>()->default_value("20"))(
        "step-ms-per-sequence", "added to a step for each sequence",
        cxxopts::value<double>()->default_value("0.5"))(
        "report-lag-ms", "interval between status reports",
        cxxopts::value<int>()->default_value("500"))("checks-tokens",
                                                     "reject commands with an old fencing token",
                                                     cxxopts::value<bool>()->default_value("true"))(
        "service-ms", "duration of a call to a plain service",
        cxxopts::value<int>()->default_value("5"))("loads-per-second",
                                                   "loads per second of the store",
                                                   cxxopts::value<double>()->default_value("2"))(
        "retained-records", "number of records that the log keeps",
        cxxopts::value<std::size_t>()->default_value("1000000"))(
        "vms", "file with the VM list", cxxopts::value<std::string>()->default_value(""))(
        "vm-list-lag-ms", "delay until a change of the VM list is visible",
        cxxopts::value<int>()->default_value("0"))("h,help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("role") == 0) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : 2;
        }
        boost::asio::io_context context(1);
        const auto standin = startRole(context, arguments);
        if (!standin) {
            std::cerr << "unknown role; choose engine, service, store, log, collector or vmlist\n";
            return 2;
        }
        std::cout << standin->port() << std::endl;
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](auto, int) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
