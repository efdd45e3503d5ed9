#include <charconv>
#include <iostream>
#include <optional>

#include <cxxopts.hpp>

#include "Commands.h"

namespace {

using monsoonbay::Endpoint;
namespace ctl = monsoonbay::ctl;

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint{text.substr(0, colon), 0};
    const char *begin = text.data() + colon + 1;
    const auto [end, error] = std::from_chars(begin, text.data() + text.size(), endpoint.port);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return endpoint;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options(
        "monsoonbayctl",
        "Operators' tool of monsoonbay\n\n"
        "  status             members, targets, manifest, who is behind\n"
        "  explain ADAPTER    where a request for adapter@version goes, and why\n"
        "  drain TARGET       send a target no new requests (--off ends the drain)\n"
        "  log                verdicts on published manifests, with reasons\n"
        "  check FILE         check a manifest (or --delta) without any server\n"
        "  diff FILE          what FILE would change\n"
        "  publish FILE       check, publish, and wait until it is in force on every --vm\n\n"
        "Exit status: 0 done, 1 unreachable, 2 usage, 3 invalid, 4 conflict, 5 dangerous,\n"
        "6 accepted, but not in force on every --vm in time.\n");
    options.add_options()("command", "", cxxopts::value<std::string>())(
        "argument", "", cxxopts::value<std::string>())(
        "vm", "operators' address of an entry VM, ADDRESS:PORT; may be given several times",
        cxxopts::value<std::vector<std::string>>())("log", "address of the platform's log service",
                                                    cxxopts::value<std::string>())(
        "delta", "FILE is a delta")("acknowledge", "drops-adapters or drops-services",
                                    cxxopts::value<std::vector<std::string>>())(
        "patience", "seconds to wait for a verdict, and for the manifest to be in force",
        cxxopts::value<int>()->default_value("30"))("off", "end a drain")("json", "print JSON")(
        "h,help", "print this help");
    options.parse_positional({"command", "argument"});
    options.positional_help("COMMAND [ARGUMENT]");
    return options;
}

/** Reads the addresses; if one is invalid, prints an error and returns false. */
bool readAddresses(const cxxopts::ParseResult &arguments, ctl::CommandOptions &options)
{
    std::vector<std::string> texts;
    if (arguments.count("vm") != 0)
        texts = arguments["vm"].as<std::vector<std::string>>();
    for (const std::string &text : texts) {
        const std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint) {
            std::cerr << "'" << text << "' is not ADDRESS:PORT\n";
            return false;
        }
        options.vms.push_back(*endpoint);
    }
    if (arguments.count("log") == 0)
        return true;
    const std::optional<Endpoint> log = parseEndpoint(arguments["log"].as<std::string>());
    if (!log)
        std::cerr << "--log needs ADDRESS:PORT\n";
    options.log = log.value_or(Endpoint{});
    return log.has_value();
}

ctl::ExitCode run(const std::string &command, const std::string &argument,
                  const ctl::CommandOptions &options)
{
    const bool needsVm = command != "check";
    if (needsVm && options.vms.empty()) {
        std::cerr << "give --vm ADDRESS:PORT, the operators' address of an entry VM\n";
        return ctl::ExitCode::Usage;
    }
    const bool needsArgument = command != "status" && command != "log";
    if (needsArgument && argument.empty()) {
        std::cerr << command << " needs an argument; see --help\n";
        return ctl::ExitCode::Usage;
    }
    if (command == "status")
        return ctl::showStatus(options);
    if (command == "explain")
        return ctl::explainAdapter(options, argument);
    if (command == "drain")
        return ctl::drainTarget(options, argument);
    if (command == "log")
        return ctl::showVerdicts(options);
    if (command == "check")
        return ctl::checkDocument(options, argument);
    if (command == "diff")
        return ctl::showDifference(options, argument);
    if (command == "publish" && options.log.port == 0) {
        std::cerr << "publish needs --log ADDRESS:PORT\n";
        return ctl::ExitCode::Usage;
    }
    if (command == "publish")
        return ctl::publishDocument(options, argument);
    std::cerr << "no such command '" << command << "'; --help lists them\n";
    return ctl::ExitCode::Usage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = commandLine();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("command") == 0) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : static_cast<int>(ctl::ExitCode::Usage);
        }
        ctl::CommandOptions command;
        if (!readAddresses(arguments, command))
            return static_cast<int>(ctl::ExitCode::Usage);
        command.json = arguments.count("json") != 0;
        command.delta = arguments.count("delta") != 0;
        command.off = arguments.count("off") != 0;
        command.waitSeconds = arguments["patience"].as<int>();
        if (arguments.count("acknowledge") != 0)
            command.acknowledge = arguments["acknowledge"].as<std::vector<std::string>>();
        const std::string argument =
            arguments.count("argument") != 0 ? arguments["argument"].as<std::string>() : "";
        return static_cast<int>(run(arguments["command"].as<std::string>(), argument, command));
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ctl::ExitCode::Usage);
    }
}
