#include "transport/RequestReader.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t headPieceBytes = 4096;
constexpr std::size_t bodyPieceBytes = 16UL * 1024;
constexpr std::size_t firstBodyBytes = 4096;

/** What a parsed field occupies besides its bytes: its links, lengths and the allocator's own. */
constexpr std::size_t bytesPerField = 96;

constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view contentOf(const beast::flat_buffer &buffer)
{
    const auto content = buffer.data();
    return {static_cast<const char *>(content.data()), content.size()};
}

std::size_t fieldsCost(std::string_view text)
{
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    return text.size() + lines * bytesPerField;
}

} // namespace

void shrinkBuffer(beast::flat_buffer &buffer)
{
    if (buffer.capacity() > std::max(buffer.size(), idleBufferBytes))
        buffer.shrink_to_fit();
}

error_code RequestReader::noRoom()
{
    return asio::error::no_buffer_space;
}

RequestReader::RequestReader(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                             RequestLimits limits, Hold hold)
    : stream(stream)
    , buffer(buffer)
    , limits(limits)
    , hold(std::move(hold))
{
    this->parser.eager(true);
    this->parser.header_limit(limits.maxHeaderBytes);
    this->parser.body_limit(limits.maxBodyBytes);
}

const http::request_header<> &RequestReader::head() const
{
    return this->parser.get();
}

HttpRequest RequestReader::release()
{
    auto message = this->parser.release();
    return HttpRequest(std::move(message.base()), std::move(this->body));
}

std::size_t RequestReader::heldBytes() const
{
    return this->buffer.capacity() + this->fieldBytes + this->body.capacity();
}

std::size_t RequestReader::servedBytes() const
{
    return this->heldBytes() + this->fieldBytes;
}

// A time limit of the stream ends a read that waits, but a read that finds data never waits: so a
// caller that sends without a pause would never be timed out.
asio::awaitable<error_code> RequestReader::readMore(std::size_t maxBytes)
{
    if (BootClock::now() >= this->deadline)
        co_return beast::error::timeout;
    const std::size_t size = this->buffer.size();
    const std::size_t free = this->buffer.capacity() - size;
    const std::size_t bytes =
        this->lastReadFilled ? maxBytes : std::min(maxBytes, std::max(free, headPieceBytes));
    if (bytes > free) {
        // The buffer may double, and holds both copies while it moves.
        const bool held = co_await this->hold(this->heldBytes() + std::max(2 * size, size + bytes));
        if (!held)
            co_return noRoom();
    }
    auto [error, received] =
        co_await this->stream.async_read_some(this->buffer.prepare(bytes), nothrowAwaitable);
    this->buffer.commit(received);
    this->lastReadFilled = received == bytes;
    if (bytes > free)
        co_await this->hold(this->heldBytes());
    co_return error;
}

asio::awaitable<bool> RequestReader::holdFields(std::size_t headBytes)
{
    this->fieldBytes += fieldsCost(contentOf(this->buffer).substr(0, headBytes));
    return this->hold(this->heldBytes());
}

// The parser needs a header whole; until it is, only its bytes are held.
asio::awaitable<error_code> RequestReader::readHead()
{
    this->deadline = BootClock::now() + this->limits.headerTimeout;
    this->stream.expires_after(this->limits.headerTimeout);
    std::size_t searched = 0;
    std::size_t end = contentOf(this->buffer).find(headEnd);
    while (end == std::string_view::npos) {
        searched = this->buffer.size() < headEnd.size() ? 0 : this->buffer.size() - headEnd.size();
        if (this->buffer.size() > this->limits.maxHeaderBytes)
            co_return http::error::header_limit;
        const bool began = this->buffer.size() > 0;
        const error_code error = co_await this->readMore(headPieceBytes);
        if (error == asio::error::eof)
            co_return began ? http::error::partial_message : http::error::end_of_stream;
        if (error)
            co_return error;
        end = contentOf(this->buffer).find(headEnd, searched);
    }
    if (end + headEnd.size() > this->limits.maxHeaderBytes)
        co_return http::error::header_limit;
    const bool held = co_await this->holdFields(end + headEnd.size());
    if (!held)
        co_return noRoom();
    error_code error;
    this->buffer.consume(this->parser.put(this->buffer.data(), error));
    if (error == http::error::need_buffer || error == http::error::need_more)
        error = {};
    co_return error;
}

// A string at least doubles when it grows, and holds both copies while it moves.
asio::awaitable<bool> RequestReader::makeBodyRoom(std::size_t bytes)
{
    const std::size_t needed = this->body.size() + bytes;
    const std::size_t capacity = this->body.capacity();
    if (needed <= capacity)
        co_return true;
    const std::size_t grown = std::max({needed, 2 * capacity, firstBodyBytes});
    const bool held = co_await this->hold(this->heldBytes() + grown);
    if (!held)
        co_return false;
    this->body.reserve(grown);
    co_return co_await this->hold(this->heldBytes());
}

// Not a part of the coroutine, which would keep the piece for as long as the connection is open.
error_code RequestReader::parsePiece(std::size_t room)
{
    std::array<char, bodyPieceBytes> piece;
    auto &space = this->parser.get().body();
    space.data = piece.data();
    space.size = room;
    error_code error;
    this->buffer.consume(this->parser.put(this->buffer.data(), error));
    this->body.append(piece.data(), room - space.size);
    return error;
}

asio::awaitable<error_code> RequestReader::readBody()
{
    this->deadline = BootClock::now() + this->limits.bodyTimeout;
    this->stream.expires_after(this->limits.bodyTimeout);
    bool needsMore = false;
    while (!this->parser.is_done()) {
        if (needsMore || this->buffer.size() == 0) {
            if (this->buffer.size() > this->limits.maxChunkHeadBytes)
                co_return http::error::buffer_overflow;
            const error_code error = co_await this->readMore(bodyPieceBytes);
            if (error == asio::error::eof)
                co_return http::error::partial_message;
            if (error)
                co_return error;
        }
        const std::size_t room = std::min(this->buffer.size(), bodyPieceBytes);
        const bool hasRoom = co_await this->makeBodyRoom(room);
        if (!hasRoom)
            co_return noRoom();
        const error_code error = this->parsePiece(room);
        needsMore = error == http::error::need_more;
        if (error && !needsMore && error != http::error::need_buffer)
            co_return error;
    }
    co_return error_code();
}

} // namespace monsoonbay
