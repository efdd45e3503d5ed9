#pragma once

#include <cstdint>
#include <memory>

#include "config/Settings.h"

namespace monsoonbay {

/** Ports in use; they differ from the settings where those asked for port 0. */
struct DaemonPorts
{
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t operators = 0;
};

/** How a daemon ended. */
struct ShutdownReport
{
    std::uint64_t abortedRequests = 0; ///< aborted by the time limit or a second signal
};

/** One entry VM of the system, with all its roles; run by main() and by tests. */
class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    DaemonPorts ports() const;
    bool ready() const;

    /** Begins a graceful shutdown; the second call aborts requests in flight. Thread-safe. */
    void requestShutdown();

    /** Blocks until the shutdown is done. */
    ShutdownReport wait();

    /** Ends at once, like a crash, without a message to any peer. For failure tests. */
    void kill();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
