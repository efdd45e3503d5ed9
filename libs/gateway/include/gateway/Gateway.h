#pragma once

#include <cstdint>
#include <memory>

#include "gateway/GatewaySettings.h"

namespace monsoonbay {

/** How a graceful shutdown ended. */
struct GatewayShutdown
{
    int abortedCalls = 0; ///< still running when the shutdown limit was reached

    bool operator==(const GatewayShutdown &) const = default;
};

/** Ports that the gateway listens on; they differ from the settings where those name port 0. */
struct GatewayPorts
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t operators = 0;
    std::uint16_t peers = 0;

    auto operator<=>(const GatewayPorts &) const = default;
};

/** Accepts calls from callers and sends each one to a target that can serve it. */
class Gateway
{
public:
    /** Throws std::system_error if it cannot listen on an address. */
    explicit Gateway(const GatewaySettings &settings);
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    GatewayPorts ports() const;

    /** Serves on the calling thread until a shutdown is complete. */
    GatewayShutdown run();

    /** Thread-safe. Finishes calls in flight, refuses new ones, then makes run() return. */
    void requestShutdown();

    /** Thread-safe. Applies the settings that may change at run time; addresses do not change. */
    void reload(const GatewaySettings &settings);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
