#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

/** A VM that reads the configuration from this one. */
struct ConfigReader
{
    Endpoint vm;
    std::string zone;
    Instant askedAt{}; ///< last
    bool done = false; ///< it was given the last part

    auto operator<=>(const ConfigReader &) const = default;
};

/**
 * Who reads a version of the configuration from this VM.
 *
 * A VM serves a few readers at once, and sends the others on to these: they pass on what they have,
 * also while they still read. So a version reaches all VMs of a zone over many links in a few
 * steps, and not over the one link of the VM that had it first.
 */
struct ConfigReaders
{
    std::int64_t version = 0;
    std::vector<ConfigReader> served;
    std::size_t nextRedirect = 0; ///< index in `served`; readers are sent on by turns
};

/** A VM asks for a part. */
struct ConfigPartRequest
{
    Endpoint reader;
    std::string zone;
    std::int64_t version = 0; ///< that it would be given
    bool noRedirect = false; ///< it was sent on before, and got nothing there

    auto operator<=>(const ConfigPartRequest &) const = default;
};

/** The VM of its zone that a reader is to ask instead; nothing: it is served here, and noted. */
std::optional<Endpoint> redirectFor(ConfigReaders &readers, const ConfigPartRequest &ask,
                                    Instant now);

/** A reader that is served here has been given a part; `last`: it has all now. */
void recordPartSent(ConfigReaders &readers, const ConfigPartRequest &ask, bool last, Instant now);

} // namespace monsoonbay
