#include "StreamRelay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "PassedHeaders.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

} // namespace

StreamRelay::StreamRelay(CallRun &run)
    : run(run)
{
    if (run.facts.resumeAfter)
        this->events.lastId = run.facts.resumeAfter;
}

bool StreamRelay::begun() const noexcept
{
    return this->headSent;
}

std::optional<std::uint64_t> StreamRelay::lastId() const noexcept
{
    return this->events.lastId;
}

std::size_t StreamRelay::leftOver() const noexcept
{
    return this->events.pending.size();
}

void StreamRelay::restart()
{
    restartEvents(this->events);
}

asio::awaitable<bool> StreamRelay::pass(const TargetExchange &exchange, std::string piece)
{
    std::string out = takeEvents(this->events, piece);
    if (out.empty())
        co_return true;
    notePiece(this->run);
    const bool headed = co_await this->writeHead(exchange);
    if (!headed)
        co_return false;
    co_return co_await this->writeChunk(std::move(out));
}

asio::awaitable<bool> StreamRelay::finish(const TargetExchange &exchange)
{
    const bool headed = co_await this->writeHead(exchange);
    if (!headed)
        co_return false;
    if (!this->events.pending.empty()) {
        const bool written = co_await this->writeChunk(std::move(this->events.pending));
        if (!written)
            co_return false;
    }
    const auto last = http::make_chunk_last();
    auto [error, bytes] = co_await asio::async_write(this->run.caller, last, quietly);
    co_return !error;
}

// The head is held back until the first event is there: until then a run that breaks off can be
// replaced by another one, or by an honest failure.
asio::awaitable<bool> StreamRelay::writeHead(const TargetExchange &exchange)
{
    if (this->headSent)
        co_return true;
    http::response<http::empty_body> head(static_cast<http::status>(exchange.status()), 11);
    for (const HttpHeader &header : passedHeaders(exchange.head()))
        head.insert(header.name, header.value);
    if (this->run.forwarded)
        writeForwardReport(head, {ForwardOutcome::FromTarget, this->run.runsStarted});
    this->run.closeAfter = this->run.closeAfter || this->run.node.shuttingDown;
    head.keep_alive(this->run.request->keep_alive() && !this->run.closeAfter);
    head.chunked(true);
    this->headSent = true;
    this->run.answerBegun = true;
    this->run.caller.expires_after(writePatience);
    http::response_serializer<http::empty_body> serializer(head);
    auto [error, bytes] = co_await http::async_write_header(this->run.caller, serializer, quietly);
    co_return !error;
}

asio::awaitable<bool> StreamRelay::writeChunk(std::string text)
{
    this->run.caller.expires_after(writePatience);
    const auto chunk = http::make_chunk(asio::buffer(text));
    auto [error, bytes] = co_await asio::async_write(this->run.caller, chunk, quietly);
    co_return !error;
}

} // namespace monsoonbay
