#include "access/Confirmation.h"

#include <algorithm>

namespace monsoonbay {

namespace {

/** In quick changes a version is confirmed while one of the next few is already heard of. */
constexpr std::size_t mostVersions = 8;

/**
 * Part of the bound after which keys are no longer honoured. What is left of it covers a read that
 * was told of no change although there was one, as for a second before a history is dropped.
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
    if (latest.size() <= mostVersions)
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

// Let a key be taken at T and the VM not know of it. The read that confirmed the version in force
// began at C, and the store had acknowledged nothing newer before that: C < T. A call that its
// caller sent at S is looked at here at N >= S. It is honoured only if N <= C + 0.8 x bound, so
// S <= N < T + bound: no call that was sent later than the bound after the taking runs. C is on a
// clock that runs on while the VM is suspended, so one that wakes up finds it old.
bool mayTrustKeys(const AccessPolicy &policy, std::optional<Instant> confirmed, Instant now)
{
    if (!policy.strict)
        return true;
    if (!confirmed)
        return false;
    return now - *confirmed <= fromSeconds(trustedShare * toSeconds(policy.revokedWithin));
}

} // namespace monsoonbay
