#pragma once

#include <optional>

#include "ActiveCall.h"
#include "PrefixSharing.h"

namespace monsoonbay {

/** The target of a call's next attempt, or why there is none. */
struct Placement
{
    std::optional<TargetEntry> target;
    LocalReply refusal; ///< if there is no target
};

/** Finds a target for the next attempt; on an engine, has the adapter loaded if need be. */
asio::awaitable<Placement> placeCall(ActiveCall &call);

/** Counts a call in the usage of its target while it is in flight there. */
class InFlightGuard
{
public:
    InFlightGuard(ActiveCall &call, const std::string &target);
    ~InFlightGuard();

    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    /** The first event has arrived: the engine has read the prompt. */
    void recordFirstEvent();

private:
    ActiveCall &call;
    std::string target;
    TargetRuntime &runtime;
    std::string adapter;
    PrefillObservation prompt;
    double waiting;
    bool firstEventSeen = false;
    double held;
    int shortObjectiveRuns; ///< 1 for a call of a route with the shortest objective
    double waitingBefore; ///< tokens of other calls that waited there, as far as known
    Instant sentAt;
};

} // namespace monsoonbay
