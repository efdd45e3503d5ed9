#pragma once

#include <optional>
#include <string>

#include "CallRun.h"
#include "TargetExchange.h"
#include "serving/EventStream.h"

namespace monsoonbay {

/** Passes the events of one call on to its caller, over all its runs. */
class StreamRelay
{
public:
    explicit StreamRelay(CallRun &run);

    /** True once the caller has the head of its answer: only the stream itself can go on. */
    bool begun() const noexcept;

    /** Id of the last event that the caller has. */
    std::optional<std::uint64_t> lastId() const noexcept;

    /** Bytes that came after the last whole event. */
    std::size_t leftOver() const noexcept;

    /** A further run begins. */
    void restart();

    /** Passes on the whole events in `piece`; false if the caller cannot be reached. */
    asio::awaitable<bool> pass(const TargetExchange &exchange, std::string piece);

    /** Ends the answer as complete; a part of an event that is left belongs to the answer. */
    asio::awaitable<bool> finish(const TargetExchange &exchange);

private:
    asio::awaitable<bool> writeHead(const TargetExchange &exchange);
    asio::awaitable<bool> writeChunk(std::string text);

    CallRun &run;
    EventStream events;
    bool headSent = false;
};

} // namespace monsoonbay
