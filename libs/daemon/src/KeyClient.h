#pragma once

#include "CallerRequest.h"
#include "Node.h"

namespace monsoonbay {

/** The decision by the holders of an Idempotency-Key's record, and the stored answer if any. */
struct KeyOutcome
{
    KeyDecision decision = KeyDecision::RefuseUnknown;
    StoredAnswer answer;
};

/** Reserves the key at its holders and decides whether the request may run. */
asio::awaitable<KeyOutcome> reserveAtHolders(Node &node, const CallerRequest &request);

/** Reports to the holders how the request ended; `notRun` releases the key. */
asio::awaitable<void> completeAtHolders(Node &node, const CallerRequest &request,
                                        StoredAnswer answer, bool notRun);

} // namespace monsoonbay
