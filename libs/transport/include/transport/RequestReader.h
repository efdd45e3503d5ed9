#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/Time.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** Bounds of one request. */
struct RequestLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxChunkHeadBytes = 128 * 1024; ///< of a chunk's size with its extension
    Duration headerTimeout = std::chrono::seconds(20); ///< from its first byte on
    Duration bodyTimeout = std::chrono::seconds(20); ///< from the end of its header on

    auto operator<=>(const RequestLimits &) const = default;
};

/**
 * Reads one request in small pieces. Before it holds more memory it asks for it, by the bytes that
 * the memory takes: a body by its capacity, a header by what its fields occupy. Announced bytes are
 * not held before they arrive.
 */
class RequestReader
{
public:
    /** Asks to hold so many bytes in all; false: the request is refused. */
    using Hold = std::function<asio::awaitable<bool>(std::size_t bytes)>;

    RequestReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                  RequestLimits limits, Hold hold);

    /** Reads the header; its errors are those of Beast's HTTP, of timeouts or noRoom(). */
    asio::awaitable<boost::system::error_code> readHead();

    /** Reads the body of the request whose header was read. */
    asio::awaitable<boost::system::error_code> readBody();

    const boost::beast::http::request_header<> &head() const;

    /** The request, once its body was read. */
    HttpRequest release();

    /** What it holds, the buffer included. */
    std::size_t heldBytes() const;

    /** What is held of it while it is served: a target gets a copy of its fields. */
    std::size_t servedBytes() const;

    /** The error of a request for which there is no memory. */
    static boost::system::error_code noRoom();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    asio::awaitable<boost::system::error_code> readMore(std::size_t maxBytes);
    asio::awaitable<bool> makeBodyRoom(std::size_t bytes);
    /** Appends what the buffer holds of the body, `room` bytes at the most. */
    boost::system::error_code parsePiece(std::size_t room);
    asio::awaitable<bool> holdFields(std::size_t headBytes);

    boost::beast::tcp_stream &stream;
    boost::beast::flat_buffer &buffer;
    RequestLimits limits;
    Hold hold;
    Parser parser;
    std::string body;
    std::size_t fieldBytes = 0; ///< that the parsed fields occupy
    Instant deadline{};
    bool lastReadFilled = false; ///< all the space: more bytes are likely to be there
};

/** The bytes of a buffer without content that an idle connection keeps. */
constexpr std::size_t idleBufferBytes = 4096;

/** Gives back what a buffer occupies beyond its content and idleBufferBytes. */
void shrinkBuffer(boost::beast::flat_buffer &buffer);

} // namespace monsoonbay
