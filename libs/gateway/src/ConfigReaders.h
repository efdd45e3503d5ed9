#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

/** A VM that downloads the configuration from this one. */
struct ConfigReader
{
    Endpoint vm;
    std::string zone;
    Instant askedAt{}; ///< time of its latest request
    bool done = false; ///< the last part was sent to it

    auto operator<=>(const ConfigReader &) const = default;
};

/**
 * The VMs that download one version of the configuration from this VM.
 *
 * A VM serves a few readers at a time and redirects the others to these, which pass on the parts
 * that they have even while they are still downloading. So a version reaches all VMs of a zone in a
 * few hops over many links, and not over the one link of the VM that had it first.
 */
struct ConfigReaders
{
    std::int64_t version = 0;
    std::vector<ConfigReader> served;
    std::size_t nextRedirect = 0; ///< index in `served`; redirects are distributed round robin
};

/** A VM's request for a part, as far as it decides who serves it. */
struct ConfigPartRequest
{
    Endpoint reader;
    std::string zone;
    std::int64_t version = 0; ///< version that it would be sent
    bool noRedirect = false; ///< it was redirected before, and got nothing there

    auto operator<=>(const ConfigPartRequest &) const = default;
};

/**
 * The VM of its own zone that a reader is redirected to; nothing: it is served here, and recorded
 * in `readers`.
 */
std::optional<Endpoint> redirectFor(ConfigReaders &readers, const ConfigPartRequest &request,
                                    Instant now);

/** Records that a reader served here was sent a part; `last`: it has the whole document now. */
void recordPartSent(ConfigReaders &readers, const ConfigPartRequest &request, bool last,
                    Instant now);

} // namespace monsoonbay
