#include "transport/HttpServer.h"

#include <atomic>
#include <cerrno>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/CallerConnections.h"
#include "transport/RequestReader.h"

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

/** What an open connection holds: its state, coroutine, buffer and the kernel's part. */
constexpr std::size_t connectionBytes = 16UL * 1024;

constexpr auto acceptPause = std::chrono::milliseconds(20);

} // namespace

struct HttpServer::State
{
    State(asio::io_context &context, HttpHandler handler, HttpLimits limits,
          std::shared_ptr<CallerConnections> connections)
        : context(context)
        , acceptor(asio::make_strand(context))
        , handler(std::move(handler))
        , limits(limits)
        , connections(std::move(connections))
    { }

    asio::io_context &context;
    tcp::acceptor acceptor;
    HttpHandler handler;
    HttpLimits limits;
    std::shared_ptr<CallerConnections> connections;
    std::atomic<bool> stopping{false};
};

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    const auto found = request.find(beast::string_view(name.data(), name.size()));
    if (found == request.end())
        return {};
    return std::string(found->value());
}

HttpExchange::HttpExchange(beast::tcp_stream &stream, HttpRequest request)
    : stream(stream)
    , received(std::move(request))
{ }

const HttpRequest &HttpExchange::request() const noexcept
{
    return this->received;
}

bool HttpExchange::hasStartedResponse() const noexcept
{
    return this->responseStarted;
}

bool HttpExchange::keepAlive() const noexcept
{
    return !this->aborted && this->responseStarted && this->received.keep_alive();
}

asio::awaitable<std::error_code> HttpExchange::respond(HttpReply reply)
{
    this->responseStarted = true;
    http::response<http::string_body> response(static_cast<http::status>(reply.status),
                                               this->received.version());
    response.set(http::field::content_type, reply.contentType);
    for (const HttpHeader &header : reply.headers)
        response.set(header.name, header.value);
    response.keep_alive(this->received.keep_alive());
    response.body() = std::move(reply.body);
    response.prepare_payload();
    auto [error, bytes] = co_await http::async_write(this->stream, response, nothrowAwaitable);
    if (error)
        this->aborted = true;
    co_return error;
}

asio::awaitable<std::error_code> HttpExchange::beginStream(int status, std::string contentType)
{
    this->responseStarted = true;
    http::response<http::empty_body> head(static_cast<http::status>(status),
                                          this->received.version());
    head.set(http::field::content_type, contentType);
    head.set(http::field::cache_control, "no-store");
    head.keep_alive(this->received.keep_alive());
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    auto [error, bytes] =
        co_await http::async_write_header(this->stream, serializer, nothrowAwaitable);
    if (error)
        this->aborted = true;
    co_return error;
}

asio::awaitable<std::error_code> HttpExchange::writeChunk(std::string_view data)
{
    if (data.empty())
        co_return std::error_code();
    const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
    auto [error, bytes] = co_await asio::async_write(this->stream, chunk, nothrowAwaitable);
    if (error)
        this->aborted = true;
    co_return error;
}

asio::awaitable<std::error_code> HttpExchange::endStream()
{
    const auto last = http::make_chunk_last();
    auto [error, bytes] = co_await asio::async_write(this->stream, last, nothrowAwaitable);
    if (error)
        this->aborted = true;
    co_return error;
}

void HttpExchange::abort()
{
    this->aborted = true;
    this->responseStarted = true;
}

// The reactor may report a socket as readable because of bytes that were read long before. A
// blocking peek would then block a thread of the daemon until this caller sends again, and requests
// of other callers stalled for that long; so the peek never blocks, and the wait is repeated.
asio::awaitable<void> HttpExchange::callerGone()
{
    tcp::socket &socket = this->stream.socket();
    while (true) {
        auto [error] = co_await socket.async_wait(tcp::socket::wait_read, nothrowAwaitable);
        if (error)
            co_return;
        char byte = 0;
        const auto peeked = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool noDataYet = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (noDataYet)
            continue;
        if (peeked <= 0)
            co_return;
        break;
    }
    // The caller's next request has arrived already; that must not cancel this one.
    asio::steady_timer never(co_await asio::this_coro::executor,
                             asio::steady_timer::time_point::max());
    co_await never.async_wait(nothrowAwaitable);
}

namespace {

struct Refusal
{
    http::status status = http::status::bad_request;
    std::string_view body;
};

Refusal refusalOf(beast::error_code error)
{
    if (error == RequestReader::noRoom())
        return {
            http::status::service_unavailable,
            R"({"type":"urn:monsoonbay:full","title":"this VM has no room for the request now; try again soon","status":503,"notRun":true})"};
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow)
        return {
            http::status::payload_too_large,
            R"({"type":"urn:monsoonbay:too-large","title":"the request is too large; send a smaller one","status":413,"notRun":true})"};
    return {
        http::status::bad_request,
        R"({"type":"urn:monsoonbay:bad-request","title":"this is not HTTP/1.1; correct the request","status":400,"notRun":true})"};
}

asio::awaitable<void> refuseRequest(beast::tcp_stream &stream, beast::error_code error)
{
    const bool closed = error == http::error::end_of_stream || error == beast::error::timeout
        || error == http::error::partial_message || error == asio::error::operation_aborted
        || (error != RequestReader::noRoom()
            && (error.category() == asio::error::get_system_category()
                || error.category() == asio::error::get_misc_category()));
    if (closed)
        co_return;
    const Refusal refusal = refusalOf(error);
    http::response<http::string_body> response(refusal.status, 11);
    response.set(http::field::content_type, "application/problem+json");
    if (refusal.status == http::status::service_unavailable)
        response.set(http::field::retry_after, "1");
    response.body() = refusal.body;
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(stream, response, nothrowAwaitable);
}

/** Reads one request; nothing if the connection ends. */
template <typename State>
asio::awaitable<std::optional<HttpRequest>> readRequest(const State &state,
                                                        beast::tcp_stream &stream,
                                                        beast::flat_buffer &buffer, ConnectionId id)
{
    beast::error_code error;
    state->connections->use(id, ConnectionUse::Reading);
    {
        const RequestReader::Hold hold = [&state, id](std::size_t bytes) {
            return state->connections->hold(id, connectionBytes + bytes);
        };
        RequestLimits limits;
        limits.maxHeaderBytes = static_cast<std::uint32_t>(state->limits.maxHeaderBytes);
        limits.maxBodyBytes = state->limits.maxBodyBytes;
        limits.headerTimeout = state->limits.readTimeout;
        limits.bodyTimeout = state->limits.readTimeout;
        RequestReader reader(stream, buffer, limits, hold);
        error = co_await reader.readHead();
        if (!error)
            error = co_await reader.readBody();
        bool served = !error;
        if (served)
            served = co_await state->connections->serve(id);
        if (served) {
            stream.expires_never();
            co_return reader.release();
        }
        if (!error)
            error = RequestReader::noRoom();
    }
    // Its memory is given back before the answer is written, as the caller may not read it.
    buffer.clear();
    buffer.shrink_to_fit();
    state->connections->tryHold(id, connectionBytes);
    stream.expires_after(state->limits.writeTimeout);
    co_await refuseRequest(stream, error);
    co_return std::nullopt;
}

/** Waits for the first bytes of a request; false if the connection ends. */
template <typename State>
asio::awaitable<bool> awaitRequest(const State &state, beast::tcp_stream &stream,
                                   beast::flat_buffer &buffer, ConnectionId id)
{
    if (buffer.size() > 0)
        co_return true;
    shrinkBuffer(buffer);
    state->connections->use(id, ConnectionUse::Idle);
    state->connections->tryHold(id, connectionBytes);
    stream.expires_after(state->limits.idleTimeout);
    auto [error, bytes] =
        co_await stream.async_read_some(buffer.prepare(idleBufferBytes), nothrowAwaitable);
    if (error)
        co_return false;
    buffer.commit(bytes);
    co_return true;
}

template <typename State>
asio::awaitable<void> serveConnection(std::shared_ptr<State> state,
                                      std::shared_ptr<beast::tcp_stream> connection,
                                      ConnectionId id)
{
    const ConnectionEntry entry(*state->connections, id);
    beast::tcp_stream &stream = *connection;
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    while (!state->stopping) {
        const bool begun = co_await awaitRequest(state, stream, buffer, id);
        if (!begun)
            break;
        std::optional<HttpRequest> request = co_await readRequest(state, stream, buffer, id);
        if (!request)
            break;
        HttpExchange exchange(stream, std::move(*request));
        co_await state->handler(exchange);
        if (!exchange.hasStartedResponse()) {
            HttpReply reply;
            reply.status = 500;
            co_await exchange.respond(reply);
        }
        if (!exchange.keepAlive())
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

template <typename State> asio::awaitable<void> acceptLoop(std::shared_ptr<State> state)
{
    while (!state->stopping) {
        const auto strand = asio::make_strand(state->context);
        auto accepted = co_await state->acceptor.async_accept(strand, nothrowAwaitable);
        const boost::system::error_code error = std::get<0>(accepted);
        if (error == asio::error::operation_aborted)
            break;
        if (error) {
            // Most likely out of descriptors; some will soon be free again.
            asio::steady_timer pause(state->context, acceptPause);
            co_await pause.async_wait(nothrowAwaitable);
            continue;
        }
        const auto connection =
            std::make_shared<beast::tcp_stream>(std::move(std::get<1>(accepted)));
        const CallerConnections::Close close = [weak = std::weak_ptr(connection),
                                                strand](ConnectionUse) {
            asio::post(strand, [weak] {
                const auto open = weak.lock();
                if (open)
                    open->close();
            });
        };
        const auto id = co_await state->connections->open(connectionBytes, close);
        if (id)
            asio::co_spawn(strand, serveConnection(state, connection, *id), asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint, HttpHandler handler,
                       HttpLimits limits, std::shared_ptr<CallerConnections> connections)
    : state(std::make_shared<State>(
        context, std::move(handler), limits,
        connections ? connections : std::make_shared<CallerConnections>(limits.connections)))
{
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    this->state->acceptor.open(address.protocol());
    this->state->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->state->acceptor.bind(address);
    this->state->acceptor.listen(4096);
    asio::co_spawn(this->state->acceptor.get_executor(), acceptLoop(this->state), asio::detached);
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
}

std::uint16_t HttpServer::port() const noexcept
{
    boost::system::error_code ignored;
    return this->state->acceptor.local_endpoint(ignored).port();
}

void HttpServer::stopAccepting()
{
    this->state->stopping = true;
    asio::post(this->state->acceptor.get_executor(), [state = this->state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

} // namespace monsoonbay
