#include "access/Confirmation.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** When versions change quickly, one is confirmed while some of the next are already known. */
constexpr std::size_t maxVersions = 8;

/**
 * Keys are accepted for this share of the bound only. The rest covers a read that reported no
 * change although there was one, as happens for about a second before the store drops its history
 * of changes.
 */
constexpr double trustedShare = 0.8;

} // namespace

void recordConfirmation(Confirmations &confirmations, const Confirmation &confirmation)
{
    std::vector<Confirmation> &latest = confirmations.latest;
    const auto same = std::find_if(latest.begin(), latest.end(), [&](const Confirmation &known) {
        return known.version == confirmation.version;
    });
    if (same != latest.end()) {
        same->at = std::max(same->at, confirmation.at);
        return;
    }
    latest.push_back(confirmation);
    if (latest.size() <= maxVersions)
        return;
    latest.erase(std::min_element(latest.begin(), latest.end()));
}

std::optional<Instant> confirmedAt(const Confirmations &confirmations, std::int64_t version)
{
    for (const Confirmation &known : confirmations.latest) {
        if (known.version == version)
            return known.at;
    }
    return std::nullopt;
}

Confirmation confirmationFromAnswer(std::int64_t version, Duration age, Instant askedAt)
{
    return {version, askedAt - std::max(age, Duration::zero())};
}

// Let a key be revoked at T without the VM knowing. The read that confirmed the version in force
// started at C, and the store had acknowledged nothing newer before: C < T. A call that its caller
// sent at S is checked here at N >= S. It is accepted only if N <= C + 0.8 x bound, so S <= N < T +
// bound: no call runs that was sent later than the bound after the revocation. C is taken from a
// clock that keeps counting while the VM is suspended, so after a suspension the confirmation is
// outdated.
bool mayAcceptKeys(const AccessPolicy &policy, std::optional<Instant> confirmed, Instant now)
{
    if (!policy.strict)
        return true;
    if (!confirmed)
        return false;
    return now - *confirmed <= fromSeconds(trustedShare * toSeconds(policy.revokedWithin));
}

} // namespace monsoonbay
