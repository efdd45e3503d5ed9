#include "CallListener.h"

#include <array>
#include <unordered_set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "CallCancellation.h"
#include "CallServing.h"
#include "PeerForwarding.h"

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr int backlog = 1024;

/** Time limit for the body of a request, in addition to that for its header. */
constexpr Duration bodyTimeout = std::chrono::seconds(10);

/** What a refused caller still sends is read for so long, and so much of it at the most. */
constexpr Duration drainTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t maxDrainedBytes = 8UL * 1024 * 1024;

/** Room for what another VM adds to the header of a call that it forwards, long names included. */
constexpr std::uint32_t forwardedHeaderBytes = 2048;

constexpr std::size_t readBufferBytes = 64 * 1024;

constexpr std::string_view expectContinue = "100-continue";

struct CallerConnection
{
    explicit CallerConnection(tcp::socket socket)
        : stream(std::move(socket))
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false; ///< a request is being read or served
};

int statusOf(beast::error_code error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    if (error == beast::error::timeout)
        return 408;
    return 400;
}

/** True if the caller can still receive an answer that says what was wrong with its request. */
bool canReceiveAnswer(beast::error_code error)
{
    if (error == beast::error::timeout)
        return true;
    const bool cut = error == http::error::end_of_stream || error == http::error::partial_message;
    return !cut && error.category() == http::make_error_code(http::error::end_of_stream).category();
}

// Closing a connection with unread bytes resets it, and the reset can overtake the answer: the
// caller of a request that is too large would see a broken connection instead of the reason. So
// what it still sends is read and discarded for a moment. A read that finds data never times out,
// so the time and the bytes are checked here.
asio::awaitable<void> drain(CallerConnection &connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(drainTimeout);
    const Instant limit = BootClock::now() + drainTimeout;
    std::array<char, 4096> space{};
    std::size_t drained = 0;
    while (drained < maxDrainedBytes && BootClock::now() < limit) {
        auto [error, bytes] =
            co_await connection.stream.async_read_some(asio::buffer(space), nothrowAwaitable);
        if (error)
            co_return;
        drained += bytes;
    }
}

asio::awaitable<void> refuseRequest(CallerConnection &connection, beast::error_code error)
{
    if (!canReceiveAnswer(error))
        co_return;
    http::response<http::string_body> response(static_cast<http::status>(statusOf(error)), 11);
    response.set(http::field::content_type, "application/problem+json");
    response.body() = R"({"title":")" + error.message() + R"(","notRun":true})";
    response.keep_alive(false);
    response.prepare_payload();
    connection.stream.expires_after(bodyTimeout);
    co_await http::async_write(connection.stream, response, nothrowAwaitable);
    co_await drain(connection);
}

std::string hostOf(const HttpRequest &request)
{
    std::string host(request[http::field::host]);
    const std::size_t colon = host.find(':');
    if (colon != std::string::npos)
        host.resize(colon);
    for (char &letter : host)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return host;
}

asio::awaitable<void> sendContinue(CallerConnection &connection)
{
    http::response<http::empty_body> response(http::status::continue_, 11);
    co_await http::async_write(connection.stream, response, nothrowAwaitable);
}

} // namespace

struct CallListener::Impl
{
    Impl(GatewayNode &node, ListenerKind kind)
        : node(node)
        , kind(kind)
        , acceptor(node.context)
    { }

    asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (!self->stopping) {
            tcp::socket socket(self->node.context);
            auto [error] = co_await self->acceptor.async_accept(socket, nothrowAwaitable);
            if (error == asio::error::operation_aborted || self->stopping)
                co_return;
            if (error) {
                // Most likely out of file descriptors; some will soon be free again.
                co_await pauseFor(self->node, std::chrono::milliseconds(20));
                continue;
            }
            spawn(self->node, "caller", self->serve(self, std::move(socket)));
        }
    }

    /** Reads one request into `parser`; false if the connection ends. */
    asio::awaitable<bool> readRequest(CallerConnection &connection,
                                      http::request_parser<http::string_body> &parser)
    {
        const CallerLimits limits = this->node.routes->config().limits;
        beast::tcp_stream &stream = connection.stream;
        // The size and the extension of a chunk are read whole, whatever their length.
        connection.buffer.max_size(limits.maxHeaderBytes + this->addedHeaderBytes()
                                   + maxReadAheadBytes + readBufferBytes);
        if (connection.buffer.size() == 0) {
            stream.expires_after(limits.idleTimeout);
            auto [error, bytes] =
                co_await stream.async_read_some(connection.buffer.prepare(8192), nothrowAwaitable);
            if (error)
                co_return false;
            connection.buffer.commit(bytes);
        }
        connection.busy = true;
        parser.header_limit(limits.maxHeaderBytes + this->addedHeaderBytes());
        parser.body_limit(limits.maxBodyBytes);
        stream.expires_after(limits.headerTimeout);
        auto [headError, headBytes] =
            co_await http::async_read_header(stream, connection.buffer, parser, nothrowAwaitable);
        if (headError) {
            co_await refuseRequest(connection, headError);
            co_return false;
        }
        const bool admitted = co_await this->admit(connection, parser.get());
        if (!admitted)
            co_return false;
        if (parser.get()[http::field::expect] == expectContinue)
            co_await sendContinue(connection);
        stream.expires_after(bodyTimeout);
        auto [bodyError, bodyBytes] =
            co_await http::async_read(stream, connection.buffer, parser, nothrowAwaitable);
        if (bodyError) {
            co_await refuseRequest(connection, bodyError);
            co_return false;
        }
        stream.expires_never();
        co_return true;
    }

    std::uint32_t addedHeaderBytes() const
    {
        return this->kind == ListenerKind::Peers ? forwardedHeaderBytes : 0;
    }

    /** False if a forwarded call is refused; the other VM was sent the reason. */
    asio::awaitable<bool> admit(CallerConnection &connection, const RequestHead &head)
    {
        if (this->kind == ListenerKind::Callers)
            co_return true;
        const ForwardRefusal refusal = admitForwarded(this->node, readForwardedCall(head));
        if (refusal == ForwardRefusal::None)
            co_return true;
        http::response<http::string_body> response(http::status::service_unavailable, 11);
        writeForwardRefusal(response, refusal);
        response.keep_alive(false);
        response.prepare_payload();
        connection.stream.expires_after(bodyTimeout);
        co_await http::async_write(connection.stream, response, nothrowAwaitable);
        co_return false;
    }

    asio::awaitable<void> serve(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        CallerConnection connection(std::move(socket));
        boost::system::error_code ignored;
        connection.stream.socket().set_option(tcp::no_delay(true), ignored);
        self->open.insert(&connection);
        ++self->node.connections;
        bool keepOpen = true;
        while (keepOpen && !self->stopping) {
            connection.busy = connection.buffer.size() > 0;
            http::request_parser<http::string_body> parser;
            keepOpen = co_await self->readRequest(connection, parser);
            if (!keepOpen)
                break;
            keepOpen = co_await self->serveOne(connection, parser.release());
        }
        self->open.erase(&connection);
        --self->node.connections;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    /** True if the connection may carry another call. */
    asio::awaitable<bool> serveOne(CallerConnection &connection, HttpRequest request)
    {
        const auto call =
            std::make_shared<ActiveCall>(this->node, connection.stream, std::move(request));
        call->callerBuffer = &connection.buffer;
        call->host = hostOf(*call->request);
        call->path = std::string(call->request->target());
        const int forwarded = this->kind == ListenerKind::Peers ? 1 : 0;
        if (forwarded > 0) {
            call->forwarded = readForwardedCall(*call->request);
            eraseForwardedCall(*call->request);
        }
        ++this->node.callsInFlight;
        this->node.forwardedInFlight += forwarded;
        co_await serveCall(call);
        --this->node.callsInFlight;
        this->node.forwardedInFlight -= forwarded;
        co_return call->answerStarted && !call->closeConnection && !call->callerDisconnected
            && call->request->keep_alive();
    }

    GatewayNode &node;
    ListenerKind kind;
    tcp::acceptor acceptor;
    std::unordered_set<CallerConnection *> open;
    bool stopping = false;
};

CallListener::CallListener(GatewayNode &node, const Endpoint &address, ListenerKind kind)
    : impl(std::make_shared<Impl>(node, kind))
{
    const tcp::endpoint listenAddress(asio::ip::make_address(address.address), address.port);
    this->impl->acceptor.open(listenAddress.protocol());
    this->impl->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->impl->acceptor.bind(listenAddress);
    this->impl->acceptor.listen(backlog);
    spawn(node, "accept", this->impl->acceptLoop(this->impl));
}

CallListener::~CallListener() = default;

std::uint16_t CallListener::port() const
{
    boost::system::error_code ignored;
    return this->impl->acceptor.local_endpoint(ignored).port();
}

void CallListener::stopAccepting()
{
    this->impl->stopping = true;
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
}

void CallListener::closeIdle()
{
    for (CallerConnection *connection : this->impl->open) {
        if (!connection->busy)
            connection->stream.socket().cancel();
    }
}

} // namespace monsoonbay
