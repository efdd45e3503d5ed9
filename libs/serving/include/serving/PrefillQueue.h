#pragma once

#include "core/Time.h"

namespace monsoonbay {

/**
 * Prompt tokens that were sent to one engine and not prefilled yet, as counted by the VM that holds
 * the lease on the engine. They are assumed to drain at the engine's prefill rate, so no VM has to
 * report that a prompt was read.
 */
struct PrefillQueue
{
    double tokens = 0; ///< waiting at time `at`
    Instant at{};

    auto operator<=>(const PrefillQueue &) const = default;
};

/** A call that is about to be sent to an engine. */
struct PrefillRequest
{
    double tokens = 0; ///< of its prompt that the engine has to prefill
    double maxAhead = 0; ///< the reservation is refused if more tokens wait before it

    auto operator<=>(const PrefillRequest &) const = default;
};

struct PrefillReply
{
    bool reserved = false; ///< the call's tokens are counted from now on
    double ahead = 0; ///< tokens that wait before it

    auto operator<=>(const PrefillReply &) const = default;
};

/** Tokens that wait now at an engine that prefills `tokensPerMs`. */
double waitingTokens(const PrefillQueue &queue, double tokensPerMs, Instant now) noexcept;

/** Adds the call's tokens unless more than `maxAhead` wait before them. */
PrefillReply reservePrefill(PrefillQueue &queue, const PrefillRequest &request, double tokensPerMs,
                            Instant now) noexcept;

/** Time left for a call's first event, from which the tokens that may wait before it follow. */
struct PrefillBudget
{
    double objectiveLeftMs = 0; ///< until the first event misses its target
    double ownTokens = 0; ///< of the call's prompt that the engine has to prefill
    double otherMs = 0; ///< part of the time to the first event that is not prefill
    double tokensPerMs = 1;

    auto operator<=>(const PrefillBudget &) const = default;
};

/**
 * Largest number of tokens before the call with which its first event is still in time; 0: it is
 * late already.
 */
double maxTokensAhead(const PrefillBudget &budget) noexcept;

} // namespace monsoonbay
