#include "CallerStream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "CallerMemory.h"
#include "EndToEndHeaders.h"
#include "StreamResuming.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

CallerStream::CallerStream(ActiveCall &call)
    : call(call)
{
    if (call.metadata.resumeAfter)
        this->events.lastId = call.metadata.resumeAfter;
}

bool CallerStream::started() const noexcept
{
    return this->headSent;
}

std::optional<std::uint64_t> CallerStream::lastId() const noexcept
{
    return this->events.lastId;
}

std::size_t CallerStream::trailingBytes() const noexcept
{
    return this->events.pending.size();
}

bool CallerStream::isEventTooLong()
{
    return !mayHoldAnswer(this->call, this->events.pending.size());
}

void CallerStream::restart()
{
    restartEvents(this->events);
    this->eventReceived = false;
}

void CallerStream::passUnsplit()
{
    this->splitsEvents = false;
    this->call.cannotContinue = true;
}

asio::awaitable<bool> CallerStream::pass(const TargetExchange &exchange, std::string piece)
{
    std::string out = this->splitsEvents ? takeEvents(this->events, piece) : std::move(piece);
    if (out.empty())
        co_return true;
    this->eventReceived = true;
    recordPiece(this->call);
    if (this->splitsEvents && !this->call.origin)
        recordStreamStart(this->call, exchange.software());
    const bool headWritten = co_await this->writeHead(exchange);
    if (!headWritten)
        co_return false;
    co_return co_await this->writeEvents(std::move(out));
}

asio::awaitable<AttemptResult> CallerStream::finish(const TargetExchange &exchange)
{
    const BodyDelimiter delimiter = exchange.bodyDelimiter();
    if (this->isUnproved(delimiter))
        co_return AttemptResult::Broken;
    const bool headWritten = co_await this->writeHead(exchange);
    AttemptResult end = AttemptResult::CallerDisconnected;
    if (headWritten)
        end = co_await this->writeEnd(delimiter);
    if (end == AttemptResult::CallerDisconnected)
        this->call.closeConnection = true;
    co_return end;
}

void CallerStream::abort()
{
    this->call.closeConnection = true;
    if (!this->chunked)
        abortAnswer(this->call);
}

// A connection that is closed gracefully proves nothing: it also is when the engine exits.
// Inside an event, or before the first one, the run was certainly cut off; and a chunked answer
// cannot be completed by a run whose end only its connection shows.
bool CallerStream::isUnproved(BodyDelimiter delimiter) const noexcept
{
    if (isInsideEvent(this->events))
        return true;
    if (delimiter == BodyDelimiter::SelfDelimited)
        return false;
    const bool announcedMore = this->headSent && this->announced == BodyDelimiter::SelfDelimited;
    return announcedMore || !this->eventReceived;
}

asio::awaitable<AttemptResult> CallerStream::writeEnd(BodyDelimiter delimiter)
{
    if (this->chunked) {
        const bool written = co_await this->writeAll(http::make_chunk_last());
        if (!written)
            co_return AttemptResult::CallerDisconnected;
    } else {
        stopResetOnClose(this->call);
    }
    co_return delimiter == BodyDelimiter::SelfDelimited ? AttemptResult::Done
                                                        : AttemptResult::Unverified;
}

// The head is held back until the first event arrives: until then a run that breaks off can be
// replaced by another one, or by an error status.
asio::awaitable<bool> CallerStream::writeHead(const TargetExchange &exchange)
{
    constexpr unsigned firstVersionWithChunks = 11;
    if (this->headSent)
        co_return true;
    http::response<http::empty_body> head(static_cast<http::status>(exchange.status()), 11);
    for (const HttpHeader &header : endToEndHeaders(exchange.head()))
        head.insert(header.name, header.value);
    this->announced = exchange.bodyDelimiter();
    const bool canChunk = this->call.request->version() >= firstVersionWithChunks;
    this->chunked =
        this->call.forwarded || (canChunk && this->announced == BodyDelimiter::SelfDelimited);
    if (this->call.forwarded)
        writeForwardReport(head,
                           {ForwardOutcome::FromTarget, this->call.runsStarted, this->announced,
                            exchange.software()});
    this->call.closeConnection = this->call.closeConnection || this->call.node.shuttingDown;
    if (!this->chunked)
        resetOnClose(this->call);
    head.keep_alive(this->call.request->keep_alive() && !this->call.closeConnection);
    head.chunked(this->chunked);
    this->headSent = true;
    this->call.answerStarted = true;
    this->call.caller.expires_after(callerWriteTimeout);
    http::response_serializer<http::empty_body> serializer(head);
    auto [error, bytes] =
        co_await http::async_write_header(this->call.caller, serializer, nothrowAwaitable);
    co_return !error;
}

asio::awaitable<bool> CallerStream::writeEvents(std::string text)
{
    if (this->chunked)
        co_return co_await this->writeAll(http::make_chunk(asio::buffer(text)));
    co_return co_await this->writeAll(asio::buffer(text));
}

template <typename Buffers> asio::awaitable<bool> CallerStream::writeAll(const Buffers &buffers)
{
    this->call.caller.expires_after(callerWriteTimeout);
    this->call.writingStream = true;
    auto [error, bytes] = co_await asio::async_write(this->call.caller, buffers, nothrowAwaitable);
    this->call.writingStream = false;
    co_return !error;
}

} // namespace monsoonbay
