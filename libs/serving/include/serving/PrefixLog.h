#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/Time.h"
#include "serving/PromptPrefixes.h"

namespace monsoonbay {

/** Limit on prefixes in one message. */
constexpr std::size_t maxPrefixesPerMessage = 300;
/** Limit on entries of a log: three messages' worth, so that regular readers miss none. */
constexpr std::size_t maxPrefixLogEntries = 1'024;
/** Entries older than this are no longer sent. */
constexpr Duration prefixLogRetention = std::chrono::seconds(3);

/** An engine has read a prefix. */
struct PrefixRead
{
    std::uint64_t engine = 0; ///< see engineKey()
    PromptPrefix prefix;

    auto operator<=>(const PrefixRead &) const = default;
};

/** Where the observation was made; decides to which readers it is sent. */
enum class PrefixSource : std::uint8_t {
    Own,
    Zone, ///< another VM of the zone, which reports to this one
    Elsewhere, ///< received from this VM's relay or from the relay of another zone
};

/** An entry of the log. */
struct LoggedPrefix
{
    std::uint64_t number = 0;
    PrefixRead read;
    PrefixSource source = PrefixSource::Own;
    std::uint64_t sourceVm = 0; ///< the VM that reported it; 0: this one
    Instant at{};

    auto operator<=>(const LoggedPrefix &) const = default;
};

/**
 * Prefixes that a VM has recently learnt of. Sequence numbers are separate from those of other
 * state updates, as there are as many entries as calls, and they may be lost and must not delay the
 * other updates.
 */
struct PrefixLog
{
    std::deque<LoggedPrefix> entries; ///< oldest first
    std::uint64_t last = 0; ///< sequence number of the newest entry ever
};

/** Reader of a log. */
struct PrefixReader
{
    std::uint64_t seen = 0; ///< last sequence number that it has
    std::uint64_t sourceVm = 0; ///< it does not get back what it reported itself
    bool zonePeer = false; ///< it is in this VM's zone; the relay of another zone only gets
                           ///< observations from this zone
    bool relay = false; ///< it is the relay that this VM reports to, which only gets this VM's own
                        ///< observations
};

void logPrefix(PrefixLog &log, const PrefixRead &read, PrefixSource source, std::uint64_t sourceVm,
               Instant now);

/**
 * Entries that the reader needs, sorted by engine; the newest ones if there are too many for one
 * message.
 */
std::vector<PrefixRead> prefixesFor(const PrefixLog &log, const PrefixReader &reader, Instant now);

} // namespace monsoonbay
