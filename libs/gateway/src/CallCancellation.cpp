#include "CallCancellation.h"

#include <cerrno>

#include <sys/socket.h>

#include "CallerMemory.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

using tcp = asio::ip::tcp;

std::string_view stepName(CallStep step) noexcept
{
    switch (step) {
    case CallStep::Accepting:
        return "accepting";
    case CallStep::Placing:
        return "placing";
    case CallStep::Connecting:
        return "connecting";
    case CallStep::Offering:
        return "offering";
    case CallStep::Running:
        return "running";
    }
    return "";
}

std::string_view reasonName(CancelReason reason) noexcept
{
    switch (reason) {
    case CancelReason::CallerLeft:
        return "caller left";
    case CancelReason::TimedOut:
        return "timed out";
    case CancelReason::None:
        break;
    }
    return "";
}

constexpr std::size_t readAheadBytes = 8 * 1024;

/** What the caller's connection holds. */
enum class CallerState : std::uint8_t { Waiting, MoreBytes, Closed };

CallerState callerState(ActiveCall &call)
{
    char byte = 0;
    const int descriptor = call.caller.socket().native_handle();
    const auto peeked = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0)
        return CallerState::MoreBytes;
    const bool waiting = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return waiting ? CallerState::Waiting : CallerState::Closed;
}

/** Reads what has arrived after the call; false if there is no more room for it. */
bool readAhead(ActiveCall &call)
{
    boost::beast::flat_buffer *buffer = call.callerBuffer;
    if (buffer == nullptr || buffer->size() + readAheadBytes > maxReadAheadBytes
        || !mayReadAhead(call, 2 * (buffer->size() + readAheadBytes)))
        return false;
    const auto space = buffer->prepare(readAheadBytes);
    const auto bytes =
        ::recv(call.caller.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (bytes > 0)
        buffer->commit(static_cast<std::size_t>(bytes));
    return bytes > 0;
}

} // namespace

void cancelCall(ActiveCall &call, CancelReason reason)
{
    if (reason == CancelReason::CallerLeft)
        call.callerDisconnected = true;
    else
        call.timedOut = true;
    if (call.cancellation.reason == CancelReason::None)
        call.cancellation = {reason, BootClock::now(), call.step};
    if (call.connection)
        closeConnection(*call.connection);
    // A caller that does not read would delay the end of its call until the write times out.
    if (call.writingStream)
        abortAnswer(call);
}

// The wait may end for bytes that were read long before, so the peek never blocks and the wait is
// repeated. The end of the connection cannot be seen behind unread bytes, such as the caller's next
// call, so these are read. A caller that sends more than is kept of them is not watched further.
void watchCaller(const ActiveCallPtr &call)
{
    call->caller.socket().async_wait(
        tcp::socket::wait_read,
        [weak = std::weak_ptr<ActiveCall>(call)](boost::system::error_code error) {
            const ActiveCallPtr watched = weak.lock();
            if (!watched || watched->ended || error == asio::error::operation_aborted)
                return;
            const CallerState state = callerState(*watched);
            const bool moreRead = state == CallerState::MoreBytes && readAhead(*watched);
            if (state == CallerState::Waiting || moreRead)
                watchCaller(watched);
            if (state == CallerState::Closed)
                cancelCall(*watched, CancelReason::CallerLeft);
        });
}

// The watch and the deadline need a turn of the loop, which a call that finds an open connection
// does not give them.
bool checkCancelled(ActiveCall &call)
{
    if (!call.callerDisconnected && callerState(call) == CallerState::Closed)
        cancelCall(call, CancelReason::CallerLeft);
    if (!call.timedOut && BootClock::now() >= call.deadline)
        cancelCall(call, CancelReason::TimedOut);
    return call.cancelled();
}

void startDeadline(const ActiveCallPtr &call, asio::steady_timer &timer)
{
    timer.expires_after(timeLeft(*call));
    timer.async_wait([weak = std::weak_ptr<ActiveCall>(call)](boost::system::error_code cancelled) {
        const ActiveCallPtr timedOutCall = weak.lock();
        if (cancelled || !timedOutCall || timedOutCall->ended)
            return;
        cancelCall(*timedOutCall, CancelReason::TimedOut);
    });
}

void recordCancelledCall(const ActiveCall &call)
{
    const Cancellation &cancellation = call.cancellation;
    if (cancellation.reason == CancelReason::None)
        return;
    const Instant now = BootClock::now();
    GatewayNode &node = call.node;
    const bool timedOut = cancellation.reason == CancelReason::TimedOut;
    node.metrics.add(timedOut ? Counter::CallsTimedOut : Counter::CallersLeft);
    node.metrics.record(Timing::CancelledCallEnd, toSeconds(now - cancellation.at));
    logEvent(EventId::CallCancelled,
             {{"call", call.metadata.attemptId},
              {"route", call.route != nullptr ? call.route->name : call.host + call.path},
              {"reason", std::string(reasonName(cancellation.reason))},
              {"step", std::string(stepName(cancellation.step))},
              {"servedBy", call.servedBy},
              {"forwarded", call.forwarded ? "yes" : "no"},
              {"afterMs", millisText(cancellation.at - call.arrivedAt)},
              {"pastDeadlineMs", millisText(timedOut ? now - call.deadline : Duration::zero())},
              {"endedInMs", millisText(now - cancellation.at)},
              {"sends", std::to_string(call.attempts)},
              {"mayHaveRun", call.mayHaveRun ? "yes" : "no"},
              {"loopDelayMs", millisText(node.loopDelay)}});
}

} // namespace monsoonbay
