#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "daemon/Daemon.h"
#include "gateway/Gateway.h"
#include "observe/Events.h"
#include "transport/TakenPort.h"

namespace {

constexpr int exitRefusedSettings = 2;
constexpr int exitCutRequests = 3;

/** A process before this one that shuts down gracefully has ended by then. */
constexpr auto longestPortWait = std::chrono::seconds(30);
constexpr std::chrono::nanoseconds portCheckInterval = std::chrono::milliseconds(50);

/** Environment variable with the path of the settings file, if the command line has none. */
constexpr const char *settingsVariable = "MONSOONBAY_CONFIG";

std::string readFile(const std::string &path, bool &readable)
{
    std::ifstream file(path);
    readable = static_cast<bool>(file);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/**
 * Blocks or unblocks the signals that SignalThread handles, for this thread and those it starts.
 * While they are not blocked, a SIGTERM kills a daemon that listens but has no handlers yet, along
 * with the calls that it has accepted.
 */
void maskSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGINT, SIGTERM, SIGHUP})
        sigaddset(&signals, number);
    pthread_sigmask(how, &signals, nullptr);
}

/** Calls `onStop` on SIGTERM and SIGINT and `onReload` on SIGHUP, on a thread of its own. */
class SignalThread
{
public:
    SignalThread(std::function<void()> onStop, std::function<void()> onReload)
        : onStop(std::move(onStop))
        , onReload(std::move(onReload))
        , signals(this->context, SIGINT, SIGTERM, SIGHUP)
    {
        this->wait();
        this->thread = std::thread([this] {
            maskSignals(SIG_UNBLOCK);
            this->context.run();
        });
    }

    ~SignalThread()
    {
        this->context.stop();
        this->thread.join();
    }

    SignalThread(const SignalThread &) = delete;
    SignalThread &operator=(const SignalThread &) = delete;

private:
    void wait()
    {
        this->signals.async_wait([this](boost::system::error_code error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                this->onReload();
            else
                this->onStop();
            this->wait();
        });
    }

    std::function<void()> onStop;
    std::function<void()> onReload;
    boost::asio::io_context context{1};
    boost::asio::signal_set signals;
    std::thread thread;
};

/** Pauses for portCheckInterval; true if a signal to stop arrived, which is blocked until then. */
bool isStoppedInPause()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGTERM);
    const timespec pause{0, portCheckInterval.count()};
    return sigtimedwait(&stops, nullptr, &pause) > 0;
}

/**
 * Waits until no other process has one of these ports; false if this one is told to stop meanwhile.
 * A process that was killed keeps its ports until it has ended, which takes long where processor
 * time is short.
 */
bool awaitFreePorts(const std::vector<monsoonbay::Endpoint> &endpoints)
{
    const auto limit = std::chrono::steady_clock::now() + longestPortWait;
    std::vector<monsoonbay::Endpoint> logged;
    while (const auto taken = monsoonbay::findTakenPort(endpoints)) {
        if (std::find(logged.begin(), logged.end(), *taken) == logged.end()) {
            monsoonbay::logEvent(monsoonbay::EventId::PortTaken, {{"address", taken->text()}});
            logged.push_back(*taken);
        }
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error("another process listens at " + taken->text()
                                     + "; end it, or correct the settings");
        if (isStoppedInPause())
            return false;
    }
    return true;
}

int run(const monsoonbay::Settings &settings)
{
    const bool json = settings.logFormat == "json";
    monsoonbay::setUpLog(json ? monsoonbay::LogFormat::Json : monsoonbay::LogFormat::Text,
                         settings.vm);
    if (!awaitFreePorts({settings.callers, settings.peers, settings.operators}))
        return 0;
    monsoonbay::Daemon daemon(settings);
    // This kind of daemon cannot reload its settings; SIGHUP must not end it.
    const SignalThread signals([&daemon] { daemon.requestShutdown(); }, [] {});
    const monsoonbay::ShutdownReport report = daemon.wait();
    return report.abortedRequests == 0 ? 0 : exitCutRequests;
}

/** Prints the problems of a document; true if there are none. */
template <typename T> bool isValid(const std::string &path, const monsoonbay::Parsed<T> &parsed)
{
    for (const monsoonbay::Problem &problem : parsed.problems)
        std::cerr << problem.text(path) << "\n";
    return parsed.ok();
}

int runGateway(const std::string &path, const monsoonbay::GatewaySettings &settings)
{
    monsoonbay::setUpLog(monsoonbay::LogFormat::Json, settings.vm, settings.logLinesPerSecond);
    if (!awaitFreePorts(monsoonbay::listenEndpoints(settings)))
        return 0;
    monsoonbay::Gateway gateway(settings);
    const auto reload = [&gateway, path] {
        bool readable = false;
        const auto parsed = monsoonbay::parseGatewaySettings(readFile(path, readable));
        if (readable && isValid(path, parsed))
            gateway.reload(parsed.value);
        else
            monsoonbay::logEvent(monsoonbay::EventId::SettingsRefused, {{"file", path}});
    };
    const SignalThread signals([&gateway] { gateway.requestShutdown(); }, reload);
    const monsoonbay::GatewayShutdown report = gateway.run();
    return report.abortedCalls == 0 ? 0 : exitCutRequests;
}

std::string settingsPath(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") != 0)
        return arguments["settings"].as<std::string>();
    const char *path = std::getenv(settingsVariable);
    return path != nullptr ? path : "";
}

template <typename T, typename Run>
int checkOrRun(const std::string &path, const monsoonbay::Parsed<T> &parsed, bool checkOnly,
               Run start)
{
    if (!isValid(path, parsed))
        return exitRefusedSettings;
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return 0;
    }
    return start(parsed.value);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options(
        "monsoonbayd",
        "Entry VM daemon of monsoonbay: accepts callers' requests and runs each on\n"
        "the adapter and version it names.\n\n"
        "SIGTERM shuts down gracefully: the VM is not ready from then on, hands its targets\n"
        "over and finishes the requests in flight. A second SIGTERM aborts the rest.\n"
        "Exit status: 0 done, 1 it cannot listen, 2 settings refused, 3 requests were aborted.\n");
    options.add_options()("settings", "JSON settings file (see docs/OPERATIONS.md)",
                          cxxopts::value<std::string>(), "FILE")(
        "check-settings", "check the settings file and exit")("h,help", "print this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        maskSignals(SIG_BLOCK);
        const std::string path = settingsPath(arguments);
        if (path.empty()) {
            std::cerr << "give --settings FILE or set " << settingsVariable << "; see --help\n";
            return exitRefusedSettings;
        }
        bool readable = false;
        const std::string text = readFile(path, readable);
        if (!readable) {
            std::cerr << path << ": cannot be read; check its path and permissions\n";
            return exitRefusedSettings;
        }
        const bool checkOnly = arguments.count("check-settings") != 0;
        if (monsoonbay::isGatewaySettings(text)) {
            const auto start = [&path](const monsoonbay::GatewaySettings &settings) {
                return runGateway(path, settings);
            };
            return checkOrRun(path, monsoonbay::parseGatewaySettings(text), checkOnly, start);
        }
        return checkOrRun(path, monsoonbay::parseSettings(text), checkOnly, run);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
