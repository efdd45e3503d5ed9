#pragma once

#include <optional>
#include <string>

#include <boost/system/error_code.hpp>

#include "ActiveCall.h"
#include "AttemptResult.h"

namespace monsoonbay {

/** Retries of calls, within the budget that all VMs share. */

/** Whether a call goes on to another target after a failed attempt. */
struct RetryDecision
{
    bool retrying = false;
    std::optional<RetrySource> source{}; ///< nullopt: nothing was taken from the budget
    bool awaited = false; ///< the retry has to be awaited before the call is sent; see awaitRetry()
};

/** Decides, and takes the retry from the budget if it needs one. */
RetryDecision decideRetry(ActiveCall &call, AttemptResult end);

/** An attempt that did not give the caller an answer. */
struct FailedAttempt
{
    std::string target;
    std::string software;
    AttemptResult end = AttemptResult::Unreachable;
    boost::system::error_code error; ///< of the connection
};

/**
 * Waits until the call has the retry without which it may not be sent again. A refusal if there is
 * none in time, or none can be expected.
 */
asio::awaitable<std::optional<LocalReply>> awaitRetry(ActiveCall &call);

void logFailedAttempt(const ActiveCall &call, const FailedAttempt &attempt,
                      const RetryDecision &decision);

/** Counts a call for the budget of its service. */
void recordAcceptedCall(const ActiveCall &call);

/** Counts an attempt that is about to be sent to a target or another VM. */
void recordAttempt(ActiveCall &call);

/** The latest attempt has reached a target by now, if it ever does. */
void recordArrival(ActiveCall &call);

} // namespace monsoonbay
