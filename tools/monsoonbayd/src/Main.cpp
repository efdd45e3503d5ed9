#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "daemon/Daemon.h"
#include "observe/Events.h"

namespace {

constexpr int exitRefusedSettings = 2;
constexpr int exitCutRequests = 3;

std::string readFile(const std::string &path, bool &readable)
{
    std::ifstream file(path);
    readable = static_cast<bool>(file);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(const monsoonbay::Settings &settings)
{
    const bool json = settings.logFormat == "json";
    monsoonbay::setUpLog(json ? monsoonbay::LogFormat::Json : monsoonbay::LogFormat::Text,
                         settings.vm);
    monsoonbay::Daemon daemon(settings);
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code error, int) {
            if (error)
                return;
            daemon.requestShutdown();
            waitForSignal();
        });
    };
    waitForSignal();
    std::thread signalThread([&context] { context.run(); });
    const monsoonbay::ShutdownReport report = daemon.wait();
    context.stop();
    signalThread.join();
    return report.cutRequests == 0 ? 0 : exitCutRequests;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options(
        "monsoonbayd",
        "Entry VM daemon of monsoonbay: takes callers' requests and runs each on\n"
        "the adapter and version it names.\n\n"
        "SIGTERM shuts down gracefully: not ready at once, targets handed over,\n"
        "all in flight finished. A second one cuts what is left.\n"
        "Exit status: 0 done, 2 settings refused, 3 requests were cut.\n");
    options.add_options()("settings", "JSON settings file (see docs/OPERATIONS.md)",
                          cxxopts::value<std::string>(), "FILE")(
        "check-settings", "check the settings file and end")("h,help", "this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "give --settings FILE; --help tells more\n";
            return exitRefusedSettings;
        }
        const std::string path = arguments["settings"].as<std::string>();
        bool readable = false;
        const std::string text = readFile(path, readable);
        if (!readable) {
            std::cerr << path << ": cannot be read; check the name and the rights\n";
            return exitRefusedSettings;
        }
        const auto settings = monsoonbay::parseSettings(text);
        for (const monsoonbay::Problem &problem : settings.problems)
            std::cerr << problem.text(path) << "\n";
        if (!settings.ok())
            return exitRefusedSettings;
        if (arguments.count("check-settings") != 0) {
            std::cout << path << ": ok\n";
            return 0;
        }
        return run(settings.value);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
