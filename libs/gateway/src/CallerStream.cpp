#include "CallerStream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "EndToEndHeaders.h"
#include "StreamResuming.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

CallerStream::CallerStream(ActiveCall &run)
    : run(run)
{
    if (run.facts.resumeAfter)
        this->events.lastId = run.facts.resumeAfter;
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

void CallerStream::restart()
{
    restartEvents(this->events);
    this->eventCame = false;
}

asio::awaitable<bool> CallerStream::pass(const TargetExchange &exchange, std::string piece)
{
    std::string out = takeEvents(this->events, piece);
    if (out.empty())
        co_return true;
    this->eventCame = true;
    recordPiece(this->run);
    if (!this->run.origin)
        recordStreamStart(this->run, exchange.software());
    const bool headed = co_await this->writeHead(exchange);
    if (!headed)
        co_return false;
    co_return co_await this->writeEvents(std::move(out));
}

asio::awaitable<AttemptResult> CallerStream::finish(const TargetExchange &exchange)
{
    const BodyDelimiter shownBy = exchange.bodyDelimiter();
    if (this->showsTooLittle(shownBy))
        co_return AttemptResult::Broken;
    const bool headed = co_await this->writeHead(exchange);
    AttemptResult end = AttemptResult::CallerDisconnected;
    if (headed)
        end = co_await this->writeEnd(shownBy);
    if (end == AttemptResult::CallerDisconnected)
        this->run.closeConnection = true;
    co_return end;
}

void CallerStream::cut()
{
    this->run.closeConnection = true;
    if (!this->chunked)
        abortAnswer(this->run);
}

// A connection that ends in order tells nothing: it ends so, too, when an engine ends with all its
// connections. Inside an event, or before the first one, the run has certainly broken off; and an
// answer in chunks cannot be ended by a run that shows no end.
bool CallerStream::showsTooLittle(BodyDelimiter shownBy) const noexcept
{
    if (isInsideEvent(this->events))
        return true;
    if (shownBy == BodyDelimiter::SelfDelimited)
        return false;
    const bool promisedMore = this->headSent && this->promised == BodyDelimiter::SelfDelimited;
    return promisedMore || !this->eventCame;
}

asio::awaitable<AttemptResult> CallerStream::writeEnd(BodyDelimiter shownBy)
{
    if (this->chunked) {
        const auto last = http::make_chunk_last();
        auto [error, bytes] = co_await asio::async_write(this->run.caller, last, nothrowAwaitable);
        if (error)
            co_return AttemptResult::CallerDisconnected;
    } else {
        closeOrderly(this->run);
    }
    co_return shownBy == BodyDelimiter::SelfDelimited ? AttemptResult::Done
                                                      : AttemptResult::Unverified;
}

// The head is held back until the first event is there: until then a run that breaks off can be
// replaced by another one, or by an honest failure.
asio::awaitable<bool> CallerStream::writeHead(const TargetExchange &exchange)
{
    constexpr unsigned firstVersionWithChunks = 11;
    if (this->headSent)
        co_return true;
    http::response<http::empty_body> head(static_cast<http::status>(exchange.status()), 11);
    for (const HttpHeader &header : endToEndHeaders(exchange.head()))
        head.insert(header.name, header.value);
    this->promised = exchange.bodyDelimiter();
    const bool canChunk = this->run.request->version() >= firstVersionWithChunks;
    this->chunked =
        this->run.forwarded || (canChunk && this->promised == BodyDelimiter::SelfDelimited);
    if (this->run.forwarded)
        writeForwardReport(head,
                           {ForwardOutcome::FromTarget, this->run.runsStarted, this->promised,
                            exchange.software()});
    this->run.closeConnection = this->run.closeConnection || this->run.node.shuttingDown;
    if (!this->chunked)
        resetOnClose(this->run);
    head.keep_alive(this->run.request->keep_alive() && !this->run.closeConnection);
    head.chunked(this->chunked);
    this->headSent = true;
    this->run.answerStarted = true;
    this->run.caller.expires_after(callerWriteTimeout);
    http::response_serializer<http::empty_body> serializer(head);
    auto [error, bytes] =
        co_await http::async_write_header(this->run.caller, serializer, nothrowAwaitable);
    co_return !error;
}

asio::awaitable<bool> CallerStream::writeEvents(std::string text)
{
    this->run.caller.expires_after(callerWriteTimeout);
    if (!this->chunked) {
        auto [error, bytes] =
            co_await asio::async_write(this->run.caller, asio::buffer(text), nothrowAwaitable);
        co_return !error;
    }
    const auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, bytes] = co_await asio::async_write(this->run.caller, chunk, nothrowAwaitable);
    co_return !error;
}

} // namespace monsoonbay
