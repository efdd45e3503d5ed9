#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/**
 * That a version of the configuration was the newest one at `at`: a read of the store that began
 * then, at this VM or at the one that told it, found nothing newer.
 */
struct Confirmation
{
    std::int64_t version = 0;
    Instant at{}; ///< by a clock that runs on while the VM is suspended

    auto operator<=>(const Confirmation &) const = default;
};

/** The latest confirmation of some versions: one may be heard of before it is in force here. */
struct Confirmations
{
    std::vector<Confirmation> latest; ///< the newest versions only
};

void recordConfirmation(Confirmations &confirmations, const Confirmation &confirmation);

/** When the version was last confirmed; nothing if it never was. */
std::optional<Instant> confirmedAt(const Confirmations &confirmations, std::int64_t version);

/**
 * The confirmation that an answer of another VM carries. Clocks of VMs are unrelated, so it is told
 * as an age; the answer may have been under way for all of the time since it was asked for.
 */
Confirmation confirmationFromAnswer(std::int64_t version, Duration age, Instant askedAt);

/** How a deployment wants taken keys to be refused. */
struct AccessPolicy
{
    bool strict = false; ///< also by VMs that cannot know that a key was taken
    Duration revokedWithin = std::chrono::seconds(5); ///< from the taking of a key on

    auto operator<=>(const AccessPolicy &) const = default;
};

/** Whether keys of the version in force may be honoured. */
bool mayTrustKeys(const AccessPolicy &policy, std::optional<Instant> confirmed, Instant now);

} // namespace monsoonbay
