#pragma once

#include <optional>
#include <string>

#include "ActiveCall.h"
#include "AttemptResult.h"
#include "TargetExchange.h"
#include "serving/EventStream.h"

namespace monsoonbay {

/** Passes the events of one call on to its caller, over all its runs. */
class CallerStream
{
public:
    explicit CallerStream(ActiveCall &call);

    /** True once the caller has the head of its answer: only the stream itself can go on. */
    bool started() const noexcept;

    /** Id of the last event that the caller has. */
    std::optional<std::uint64_t> lastId() const noexcept;

    /** Bytes that came after the last whole event. */
    std::size_t trailingBytes() const noexcept;

    /** A further run begins. */
    void restart();

    /** Passes on the whole events in `piece`; false if the caller cannot be reached. */
    asio::awaitable<bool> pass(const TargetExchange &exchange, std::string piece);

    /**
     * The run has ended, and says so. Ends the answer, unless that would promise the caller more
     * than the run has shown: then it is Broken, and the answer can go on with a further run.
     */
    asio::awaitable<AttemptResult> finish(const TargetExchange &exchange);

    /** Breaks the answer off, so that its caller sees it. */
    void cut();

private:
    asio::awaitable<bool> writeHead(const TargetExchange &exchange);
    asio::awaitable<bool> writeEvents(std::string text);
    asio::awaitable<AttemptResult> writeEnd(BodyDelimiter shownBy);
    bool isUnproved(BodyDelimiter shownBy) const noexcept;

    ActiveCall &call;
    EventStream events;
    bool headSent = false;
    bool chunked = true; ///< the caller's answer; otherwise it ends with its connection
    BodyDelimiter announced =
        BodyDelimiter::SelfDelimited; ///< by the head: what will show the answer's end
    bool eventReceived = false; ///< of the run under way
};

} // namespace monsoonbay
