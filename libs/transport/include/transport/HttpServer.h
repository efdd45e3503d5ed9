#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "config/Settings.h"
#include "connections/ConnectionLedger.h"

namespace monsoonbay {

namespace asio = boost::asio;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

class CallerConnections;

/** A header field of a request or response. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A response with its whole body. */
struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;
};

/** Value of a header field of the request, empty if absent. */
std::string headerOf(const HttpRequest &request, std::string_view name);

/** A request and its response, sent whole or in chunks. Used on its connection's strand only. */
class HttpExchange
{
public:
    HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request);

    const HttpRequest &request() const noexcept;

    asio::awaitable<std::error_code> respond(HttpReply reply);
    asio::awaitable<std::error_code> beginStream(int status, std::string contentType);
    asio::awaitable<std::error_code> writeChunk(std::string_view data);
    asio::awaitable<std::error_code> endStream();

    /** Closes the connection without a last chunk, so that the caller sees a truncated response. */
    void abort();

    /** Completes when the caller has closed its side of the connection, or when cancelled. */
    asio::awaitable<void> callerGone();

    bool hasStartedResponse() const noexcept;
    bool keepAlive() const noexcept;

private:
    boost::beast::tcp_stream &stream;
    HttpRequest received;
    bool responseStarted = false;
    bool aborted = false;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

/** Limits on the size of a request and on the time that each phase may take. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /** Of all connections together, unless the server shares those of others. */
    ConnectionLimits connections{64UL * 1024 * 1024, 4096};
    std::chrono::seconds readTimeout{20};
    std::chrono::seconds idleTimeout{120};
    std::chrono::seconds writeTimeout{60};
};

/** Accepts HTTP/1.1 connections; each is served on its own strand. */
class HttpServer
{
public:
    /** Servers may share `connections`, and then their limits; null: the server has its own. */
    HttpServer(asio::io_context &context, const Endpoint &endpoint, HttpHandler handler,
               HttpLimits limits = {}, std::shared_ptr<CallerConnections> connections = nullptr);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** The port that is listened on; chosen by the system if the endpoint has port 0. */
    std::uint16_t port() const noexcept;

    /**
     * Accepts no more connections. A connection that is in use closes after its current response,
     * an idle one after its next response or its idle timeout.
     */
    void stopAccepting();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace monsoonbay
