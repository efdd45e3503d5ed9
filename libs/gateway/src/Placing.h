#pragma once

#include <optional>

#include "CallRun.h"
#include "PrefixSharing.h"

namespace monsoonbay {

/** Where a call goes, or why it goes nowhere. */
struct Placement
{
    std::optional<TargetEntry> target;
    OwnAnswer refusal; ///< if there is no target
};

/** Finds a target for the next send; for engines, has the adapter loaded if need be. */
asio::awaitable<Placement> placeCall(CallRun &run);

/** Notes a call's share of its target while it is under way there. */
class UseGuard
{
public:
    UseGuard(CallRun &run, const std::string &target);
    ~UseGuard();

    UseGuard(const UseGuard &) = delete;
    UseGuard &operator=(const UseGuard &) = delete;

    /** The first event has come: its prompt is read. */
    void noteFirstEvent();

private:
    CallRun &run;
    std::string target;
    TargetRuntime &runtime;
    std::string adapter;
    PromptReading prompt;
    double waiting;
    bool firstEventSeen = false;
    double held;
    int quick; ///< 1 for a call of a route with the least objective
    double waitingBefore; ///< tokens of other calls, as far as known
    Instant sentAt;
};

} // namespace monsoonbay
