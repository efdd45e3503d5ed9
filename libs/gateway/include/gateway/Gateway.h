#pragma once

#include <cstdint>
#include <memory>

#include "gateway/GatewaySettings.h"

namespace monsoonbay {

/** How a graceful shutdown ended. */
struct GatewayShutdown
{
    int abortedCalls = 0; ///< ended by the limit of the shutdown

    bool operator==(const GatewayShutdown &) const = default;
};

/** Ports in use; they differ from the settings where those asked for port 0. */
struct GatewayPorts
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t operators = 0;
    std::uint16_t peers = 0;

    auto operator<=>(const GatewayPorts &) const = default;
};

/** One gateway: takes callers' calls and sends each to a target that can run it. */
class Gateway
{
public:
    /** Throws std::system_error if an address cannot be listened on. */
    explicit Gateway(const GatewaySettings &settings);
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    GatewayPorts ports() const;

    /** Serves on the calling thread until a shutdown has ended. */
    GatewayShutdown run();

    /** Thread-safe. Refuses new work, finishes what runs, then ends run(). */
    void requestShutdown();

    /** Thread-safe. Takes settings that may change while it runs; the addresses stay. */
    void reload(const GatewaySettings &settings);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
