#pragma once

#include <cstdint>

#include "core/Time.h"

namespace monsoonbay {

/** Latest results of exchanges of this VM with one target. */
struct LinkObservation
{
    Instant failedAt{}; ///< last one that ended without an answer of the target; zero: never
    Instant reachedAt{}; ///< last answer on a new connection; zero: never

    auto operator<=>(const LinkObservation &) const = default;
};

enum class LinkState : std::uint8_t {
    Unknown, ///< no recent attempt
    Reached,
    Failed,
};

/** State of this VM's link to a target by the newest result. */
LinkState linkState(const LinkObservation &observation, Instant now) noexcept;

/** Answers of one target that calls of this VM wait for. */
struct AwaitedAnswers
{
    int calls = 0;
    Instant since{}; ///< start of the first of these calls
    Instant heardAt{}; ///< last received byte; zero: none yet

    auto operator<=>(const AwaitedAnswers &) const = default;
};

void beginAwaiting(AwaitedAnswers &answers, Instant now) noexcept;
void endAwaiting(AwaitedAnswers &answers) noexcept;

/** Time for which calls have waited and nothing was received; zero: no call waits. */
Duration silenceOf(const AwaitedAnswers &answers, Instant now) noexcept;

/** True if calls have waited in vain for so long that the link may have failed. */
bool isSilent(const AwaitedAnswers &answers, Instant now) noexcept;

/** True if something was received a moment ago. */
bool isHeard(const AwaitedAnswers &answers, Instant now) noexcept;

/** States of this VM's links to the targets of one service. */
struct LinkCounts
{
    int listed = 0; ///< targets that may take work
    int reached = 0;
    int failed = 0; ///< unreachable from here although other VMs recently got answers there
    int heard = 0; ///< neither of these, and a part of an answer was received a moment ago
    int silent = 0; ///< none of these, and calls wait there in vain although other VMs recently
                    ///< got answers there
    bool otherServiceLost = false; ///< this VM has lost its links to another service

    auto operator<=>(const LinkCounts &) const = default;
};

/** True if this VM's links may have failed rather than the targets; probes then decide. */
bool linksSeemLost(const LinkCounts &counts) noexcept;

/** Whether this VM has lost its links to the targets of one service. */
struct ServiceLinks
{
    bool lost = false;
    Instant since{}; ///< when they were last lost
    bool checking = false; ///< probes are running because the links seem lost
    Instant checkedAt{}; ///< when the last check started
    bool partlyReached = false; ///< the latest probes reached some targets
    Instant noPeerUntil{}; ///< until then, no other VM is expected to take calls
    int goodRounds = 0; ///< consecutive successful rounds of probes
    Instant backAt{}; ///< when they last recovered; zero: never
    int roundsToRecover = 0; ///< consecutive successful rounds that end the loss

    auto operator<=>(const ServiceLinks &) const = default;
};

/** How a VM probes the targets of a service. */
struct ProbePlan
{
    std::size_t targets = 0; ///< most targets of one round
    Duration interval{}; ///< between rounds

    auto operator<=>(const ProbePlan &) const = default;
};

/** Many VMs may lose their links at once; together they must not occupy the targets. */
ProbePlan planProbes(int vms, std::size_t listed) noexcept;

/** Result of one round of probes. */
struct ProbeRound
{
    int tried = 0;
    int reached = 0; ///< answered by their targets
    int silent = 0; ///< accepted, and not answered in time

    auto operator<=>(const ProbeRound &) const = default;
};

/** What probes that are not answered in time say about links. */
enum class Silence : std::uint8_t { ProvesNothing, IsLoss };

/** True if probes reach none, or hardly any, of the targets that other VMs reach. */
bool confirmsLoss(const ProbeRound &round, Silence silence) noexcept;

/** Marks the links as lost. */
void recordLoss(ServiceLinks &links, Instant now) noexcept;

/** Applies a round of probes while the links are lost. True if the links have recovered by it. */
bool recordProbes(ServiceLinks &links, const ProbeRound &round, Instant now) noexcept;

} // namespace monsoonbay
