#pragma once

#include <cstdint>
#include <string>

#include "config/Manifest.h"
#include "connections/ConnectionLedger.h"

namespace monsoonbay {

/** An IP address and a TCP port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    std::string text() const
    {
        return this->address + ":" + std::to_string(this->port);
    }
};

/** Settings of one monsoonbayd process; the only source of its addresses and zone. */
struct Settings
{
    std::string vm;
    std::string zone;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
    Endpoint log;
    Endpoint vmList;
    Endpoint traces; ///< OTLP/JSON collector; port 0: no traces are exported
    int threads = 2;
    std::string placement = "forecast";
    std::string logFormat = "text";
    int shutdownSeconds = 60;
    int maxQueuedPerVm = 2000;
    int defaultDeadlineMs = 60000;
    int leaseMs = 2000;
    int keyMemorySeconds = 600; ///< how long an Idempotency-Key is remembered
    VmResources resources;

    auto operator<=>(const Settings &) const = default;
};

Parsed<Settings> parseSettings(std::string_view json);

} // namespace monsoonbay
