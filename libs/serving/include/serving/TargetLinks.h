#pragma once

#include <cstdint>

#include "core/Time.h"

namespace monsoonbay {

/** What connections of this VM to one target came to lately. */
struct LinkSight
{
    Instant failedAt{}; ///< an attempt to connect, or a connection, was given up; zero: never
    Instant reachedAt{}; ///< it accepted a connection or answered; zero: never

    auto operator<=>(const LinkSight &) const = default;
};

enum class LinkState : std::uint8_t {
    Unknown, ///< nothing was tried lately
    Reached,
    Failed,
};

/** What this VM has seen last of its link to a target. */
LinkState linkState(const LinkSight &sight, Instant now) noexcept;

/** How the links of this VM to the targets of one service stand. */
struct LinkCounts
{
    int listed = 0; ///< targets that may take work
    int reached = 0;
    int failed = 0; ///< not reached from here, though other VMs do not see them fail
    bool othersServed = false; ///< other VMs get answers of the service
    bool otherServiceLost = false; ///< links of this VM to another service are lost

    auto operator<=>(const LinkCounts &) const = default;
};

/** True if it is the links of this VM that fail, and not the targets. */
bool linksSeemLost(const LinkCounts &counts) noexcept;

/** Whether this VM has lost its links to the targets of one service. */
struct ServiceLinks
{
    bool lost = false;
    Instant since{}; ///< when they were lost last
    int goodRounds = 0; ///< of probes, one after the other

    auto operator<=>(const ServiceLinks &) const = default;
};

/** Takes one round of probes. True: the links are back by this. */
bool noteProbes(ServiceLinks &links, int reached, int tried) noexcept;

} // namespace monsoonbay
