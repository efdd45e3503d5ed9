#pragma once

#include <cstdint>

#include "core/Time.h"

namespace monsoonbay {

/** What connections of this VM to one target came to lately. */
struct LinkObservation
{
    Instant failedAt{}; ///< an attempt to connect, or a connection, was given up; zero: never
    Instant reachedAt{}; ///< it accepted a connection; zero: never

    auto operator<=>(const LinkObservation &) const = default;
};

enum class LinkState : std::uint8_t {
    Unknown, ///< nothing was tried lately
    Reached,
    Failed,
};

/** What this VM has seen last of its link to a target. */
LinkState linkState(const LinkObservation &sight, Instant now) noexcept;

/** How the links of this VM to the targets of one service stand. */
struct LinkCounts
{
    int listed = 0; ///< targets that may take work
    int reached = 0;
    int failed = 0; ///< not reached from here, though other VMs got answers there lately
    bool otherServiceLost = false; ///< links of this VM to another service are lost

    auto operator<=>(const LinkCounts &) const = default;
};

/** True if it may be the links of this VM that fail, and not the targets; probes tell. */
bool linksSeemLost(const LinkCounts &counts) noexcept;

/** Whether this VM has lost its links to the targets of one service. */
struct ServiceLinks
{
    bool lost = false;
    Instant since{}; ///< when they were lost last
    bool checking = false; ///< probes are under way, as they seem to be
    Instant checkedAt{}; ///< when that was last begun
    int goodRounds = 0; ///< of probes, one after the other

    auto operator<=>(const ServiceLinks &) const = default;
};

/** What one round of probes came to. */
struct ProbeRound
{
    int tried = 0;
    int reached = 0;

    auto operator<=>(const ProbeRound &) const = default;
};

/** True if probes of targets that other VMs reach reach none of them, or hardly one. */
bool confirmsLoss(const ProbeRound &round) noexcept;

/** Takes a round of probes while links are lost. True: they are back by this. */
bool recordProbes(ServiceLinks &links, const ProbeRound &round) noexcept;

} // namespace monsoonbay
