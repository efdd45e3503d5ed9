#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/**
 * States that a configuration version was the newest one at `at`: a read of the store that started
 * then, by this VM or by the VM that reported it, found no newer version.
 */
struct Confirmation
{
    std::int64_t version = 0;
    Instant at{}; ///< by a clock that keeps counting while the VM is suspended

    auto operator<=>(const Confirmation &) const = default;
};

/**
 * The latest confirmation of each of some versions. A version may be confirmed before it is in
 * force here.
 */
struct Confirmations
{
    std::vector<Confirmation> latest; ///< the newest versions only
};

void recordConfirmation(Confirmations &confirmations, const Confirmation &confirmation);

/** When the version was last confirmed; nothing if never. */
std::optional<Instant> confirmedAt(const Confirmations &confirmations, std::int64_t version);

/**
 * The confirmation contained in another VM's answer. As clocks of VMs are unrelated, it is sent as
 * an age. The age counts from `askedAt`, since the answer may have been in transit for all of the
 * time since then.
 */
Confirmation confirmationFromAnswer(std::int64_t version, Duration age, Instant askedAt);

/** How strictly revoked keys are refused. */
struct AccessPolicy
{
    bool strict = false; ///< also by VMs that cannot know about a revocation
    Duration revokedWithin = std::chrono::seconds(5); ///< upper bound, from the revocation on

    auto operator<=>(const AccessPolicy &) const = default;
};

/** True if the keys of the version in force may still be accepted. */
bool mayAcceptKeys(const AccessPolicy &policy, std::optional<Instant> confirmed, Instant now);

} // namespace monsoonbay
