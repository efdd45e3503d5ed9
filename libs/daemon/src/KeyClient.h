#pragma once

#include "CallerRequest.h"
#include "Node.h"

namespace monsoonbay {

/** What the holders of an Idempotency-Key's record allow, and the kept answer if it ran. */
struct KeyOutcome
{
    KeyDecision decision = KeyDecision::RefuseUnknown;
    StoredAnswer answer;
};

/** Reserves the key at its holders and decides whether the request may run. */
asio::awaitable<KeyOutcome> reserveAtHolders(Node &node, const CallerRequest &request);

/** Tells the holders how the request ended; "not run" frees the key. */
asio::awaitable<void> completeAtHolders(Node &node, const CallerRequest &request,
                                        StoredAnswer answer, bool notRun);

} // namespace monsoonbay
