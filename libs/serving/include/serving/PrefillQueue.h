#pragma once

#include "core/Time.h"

namespace monsoonbay {

/**
 * Prompt tokens that calls were sent to one engine with and that it has not read yet, as the VM
 * that orders the engine counts them. The engine reads them at its pace, so nobody has to tell when
 * a prompt was read.
 */
struct PrefillQueue
{
    double tokens = 0; ///< that waited at `at`
    Instant at{};

    auto operator<=>(const PrefillQueue &) const = default;
};

/** A call that is about to be sent to an engine. */
struct PrefillRequest
{
    double tokens = 0; ///< of its prompt that the engine has to read
    double maxAhead = 0; ///< it goes elsewhere if more tokens wait before it

    auto operator<=>(const PrefillRequest &) const = default;
};

struct PrefillReply
{
    bool reserved = false; ///< the call's tokens count from now on
    double ahead = 0; ///< tokens that wait before it

    auto operator<=>(const PrefillReply &) const = default;
};

/** Tokens that wait now at an engine that reads `tokensPerMs`. */
double waitingTokens(const PrefillQueue &queue, double tokensPerMs, Instant now) noexcept;

/** Adds the call's tokens, unless too many wait before them. */
PrefillReply reservePrefill(PrefillQueue &queue, const PrefillRequest &request, double tokensPerMs,
                            Instant now) noexcept;

/** What a call's route and engine allow, to find how many tokens may wait before it. */
struct PrefillBudget
{
    double objectiveLeftMs = 0; ///< until the first event would be later than is good enough
    double ownTokens = 0; ///< of the call's prompt that the engine has to read
    double otherMs = 0; ///< of the first event's wait that is not reading
    double tokensPerMs = 1;

    auto operator<=>(const PrefillBudget &) const = default;
};

/** Most tokens before a call whose first event still comes in time; 0: it is late already. */
double maxTokensAhead(const PrefillBudget &bound) noexcept;

} // namespace monsoonbay
