#pragma once

#include <string>
#include <vector>

#include "config/Settings.h"

namespace monsoonbay::ctl {

/** Exit codes; stable, as build pipelines rely on them. */
enum class ExitCode : int {
    Done = 0,
    Unreachable = 1,
    Usage = 2,
    Invalid = 3, ///< the document has problems, or was rejected as invalid
    Conflict = 4, ///< based on another manifest than the one in force
    Dangerous = 5, ///< drops a service or too many adapters without acknowledging it
    NotInForce = 6, ///< accepted, but not seen in force on every VM in time
};

/** Options that all commands share. */
struct CommandOptions
{
    std::vector<Endpoint>
        vms; ///< operators' addresses of entry VMs; queries go to the first that answers
    Endpoint log;
    bool json = false;
    bool delta = false; ///< the document is a delta
    std::vector<std::string> acknowledge;
    int waitSeconds = 30;
    bool off = false; ///< end a drain
};

ExitCode showStatus(const CommandOptions &options);
ExitCode explainAdapter(const CommandOptions &options, const std::string &adapter);
ExitCode drainTarget(const CommandOptions &options, const std::string &target);
ExitCode showVerdicts(const CommandOptions &options);
ExitCode checkDocument(const CommandOptions &options, const std::string &file);
ExitCode showDifference(const CommandOptions &options, const std::string &file);
ExitCode publishDocument(const CommandOptions &options, const std::string &file);

} // namespace monsoonbay::ctl
