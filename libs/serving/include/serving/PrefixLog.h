#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/Time.h"
#include "serving/PromptPrefixes.h"

namespace monsoonbay {

/** Prefixes that one message may carry. */
constexpr std::size_t maxPrefixesPerMessage = 300;
/** Entries of a log; three messages' worth, so that readers that ask at their pace lose none. */
constexpr std::size_t maxPrefixLogEntries = 1'024;
/** What no reader has asked for within this time is no longer worth telling. */
constexpr Duration prefixLogRetention = std::chrono::seconds(3);

/** An engine has read a prefix. */
struct PrefixRead
{
    std::uint64_t engine = 0; ///< see engineKey()
    PromptPrefix prefix;

    auto operator<=>(const PrefixRead &) const = default;
};

/** Whose call showed it, which says to whom it is told on. */
enum class PrefixSource : std::uint8_t {
    Own,
    Zone, ///< another VM of the zone that reports here
    Elsewhere, ///< told by the own relay, or by the relay of another zone
};

/** A change of the log. */
struct LoggedPrefix
{
    std::uint64_t number = 0;
    PrefixRead read;
    PrefixSource source = PrefixSource::Own;
    std::uint64_t sourceVm = 0; ///< of that VM; 0: this one
    Instant at{};

    auto operator<=>(const LoggedPrefix &) const = default;
};

/**
 * What a VM has learnt lately of prefixes. Numbered apart from the other news of a VM: it is as
 * much as the calls, it may be lost, and must not hold the others up.
 */
struct PrefixLog
{
    std::deque<LoggedPrefix> entries; ///< oldest first
    std::uint64_t last = 0; ///< number of the newest ever
};

/** Who asks what is in a log. */
struct PrefixReader
{
    std::uint64_t seen = 0; ///< the last number that it has
    std::uint64_t sourceVm = 0; ///< its own word is not told back to it
    bool zonePeer =
        false; ///< of the own zone; another zone's relay hears only of calls of this zone
    bool relay = false; ///< the relay that this VM reports to hears only of own calls
};

void logPrefix(PrefixLog &log, const PrefixRead &read, PrefixSource source, std::uint64_t sourceVm,
               Instant now);

/** What the reader is to be told, by engine; the newest if it is too much for a message. */
std::vector<PrefixRead> prefixesFor(const PrefixLog &log, const PrefixReader &reader, Instant now);

} // namespace monsoonbay
