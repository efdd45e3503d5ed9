#pragma once

#include <optional>

#include "ActiveCall.h"
#include "PrefixSharing.h"

namespace monsoonbay {

/** Where a call goes, or why it goes nowhere. */
struct Placement
{
    std::optional<TargetEntry> target;
    LocalReply refusal; ///< if there is no target
};

/** Finds a target for the next send; for engines, has the adapter loaded if need be. */
asio::awaitable<Placement> placeCall(ActiveCall &call);

/** Notes a call's share of its target while it is under way there. */
class InFlightGuard
{
public:
    InFlightGuard(ActiveCall &call, const std::string &target);
    ~InFlightGuard();

    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    /** The first event has come: its prompt is read. */
    void noteFirstEvent();

private:
    ActiveCall &call;
    std::string target;
    TargetRuntime &runtime;
    std::string adapter;
    PrefillObservation prompt;
    double waiting;
    bool firstEventSeen = false;
    double held;
    int quick; ///< 1 for a call of a route with the least objective
    double waitingBefore; ///< tokens of other calls, as far as known
    Instant sentAt;
};

} // namespace monsoonbay
