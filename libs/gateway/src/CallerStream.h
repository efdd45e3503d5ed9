#pragma once

#include <optional>
#include <string>

#include "ActiveCall.h"
#include "AttemptResult.h"
#include "TargetExchange.h"
#include "serving/EventStream.h"

namespace monsoonbay {

/** Passes the event stream of one call on to its caller, over all its runs. */
class CallerStream
{
public:
    explicit CallerStream(ActiveCall &call);

    /** True once the head of the answer was sent: only the stream itself can go on. */
    bool started() const noexcept;

    /** Id of the last event that the caller has. */
    std::optional<std::uint64_t> lastId() const noexcept;

    /** Bytes received after the last complete event. */
    std::size_t trailingBytes() const noexcept;

    /** True if an event is longer than what may be held of an answer. */
    bool isEventTooLong();

    /** Begins a further run; drops what was received of an incomplete event. */
    void restart();

    /** The answer is passed on as it comes, not in events; no other run can continue it. */
    void passUnsplit();

    /** Passes on the events that `piece` completes; false if the caller cannot be reached. */
    asio::awaitable<bool> pass(const TargetExchange &exchange, std::string piece);

    /**
     * The answer of the run has ended without an error. Completes the caller's answer, unless that
     * would promise more than the run has shown: then the result is Broken, and a further run can
     * continue the answer.
     */
    asio::awaitable<AttemptResult> finish(const TargetExchange &exchange);

    /** Aborts the answer, so that its caller notices. */
    void abort();

private:
    asio::awaitable<bool> writeHead(const TargetExchange &exchange);
    asio::awaitable<bool> writeEvents(std::string text);
    template <typename Buffers> asio::awaitable<bool> writeAll(const Buffers &buffers);
    asio::awaitable<AttemptResult> writeEnd(BodyDelimiter delimiter);
    bool isUnproved(BodyDelimiter delimiter) const noexcept;

    ActiveCall &call;
    EventStream events;
    bool headSent = false;
    bool chunked = true; ///< the caller's answer; otherwise its connection delimits it
    BodyDelimiter announced =
        BodyDelimiter::SelfDelimited; ///< what delimits the answer, by the head sent
    bool splitsEvents = true;
    bool eventReceived = false; ///< in the run under way
};

} // namespace monsoonbay
