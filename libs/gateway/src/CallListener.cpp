#include "CallListener.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <unordered_set>

#include <sys/socket.h>

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
#include "observe/Events.h"
#include "transport/RequestReader.h"

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
constexpr std::size_t maxDrainedBytes = 48UL * 1024 * 1024;

/** Room for what another VM adds to the header of a call that it forwards, long names included. */
constexpr std::uint32_t forwardedHeaderBytes = 2048;

/** Longest size and extension of a chunk, beyond what a header may have. */
constexpr std::size_t addedChunkHeadBytes = 128UL * 1024;

/** What an open connection holds: its state, coroutine, buffer and the kernel's part. */
constexpr std::size_t connectionBytes = 16UL * 1024;

/**
 * Receive buffer of a caller's socket. It would grow to megabytes by itself, and what lies there
 * unread occupies the VM's memory.
 */
constexpr int receiveBufferBytes = 16 * 1024;

/** The kernel holds twice of it for a caller that sends ahead of its answer. */
constexpr std::size_t servingBytes = 2UL * receiveBufferBytes;

/** A caller that finds this VM full may soon be served by another one. */
constexpr std::string_view fullRetryAfter = "0.3";
constexpr std::string_view fullTitle = "this VM has no room for the call now";

constexpr std::string_view expectContinue = "100-continue";

struct CallerConnection
{
    explicit CallerConnection(tcp::socket socket)
        : stream(std::move(socket))
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool busy = false; ///< a request is being read or served
    bool answered = false; ///< the request being read was refused
};

using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

int statusOf(beast::error_code error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    if (error == beast::error::timeout)
        return 408;
    if (error == RequestReader::noRoom())
        return 503;
    return 400;
}

/** True if the caller can still receive an answer that says what was wrong with its request. */
bool canReceiveAnswer(beast::error_code error)
{
    if (error == beast::error::timeout || error == RequestReader::noRoom())
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
    std::array<char, 8192> space{};
    std::size_t drained = 0;
    while (drained < maxDrainedBytes && BootClock::now() < limit) {
        auto [error, bytes] =
            co_await connection.stream.async_read_some(asio::buffer(space), nothrowAwaitable);
        if (error)
            co_return;
        drained += bytes;
    }
}

http::response<http::string_body> refusalOf(beast::error_code error)
{
    http::response<http::string_body> response(static_cast<http::status>(statusOf(error)), 11);
    response.set(http::field::content_type, "application/problem+json");
    std::string title = error.message();
    if (error == RequestReader::noRoom()) {
        response.set(http::field::retry_after, fullRetryAfter);
        title = fullTitle;
    }
    response.body() = R"({"title":")" + title + R"(","notRun":true})";
    response.keep_alive(false);
    response.prepare_payload();
    return response;
}

/** Refuses a request whose memory was given back, and ends its connection. */
asio::awaitable<void> refuseRequest(CallerConnection &connection, beast::error_code error,
                                    bool forwarded)
{
    if (!canReceiveAnswer(error))
        co_return;
    connection.answered = true;
    http::response<http::string_body> response = refusalOf(error);
    if (forwarded)
        writeForwardReport(response, ForwardReport{ForwardOutcome::NotRun});
    connection.stream.expires_after(bodyTimeout);
    auto [writeError, bytes] =
        co_await http::async_write(connection.stream, response, nothrowAwaitable);
    if (!writeError)
        co_await drain(connection);
}

/**
 * Closes a connection for others. Its call, if it has begun, was not sent on; the caller is told so
 * if the answer can be written at once.
 */
void closeForOthers(CallerConnection &connection, ConnectionUse use)
{
    if (use == ConnectionUse::Reading && !connection.answered) {
        const std::string text = (std::ostringstream() << refusalOf(RequestReader::noRoom())).str();
        ::send(connection.stream.socket().native_handle(), text.data(), text.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    connection.answered = true;
    connection.stream.close();
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
            const auto connection = std::make_shared<CallerConnection>(std::move(socket));
            const CallerConnections::Close close =
                [weak = std::weak_ptr(connection)](ConnectionUse use) {
                    const CallerConnectionPtr open = weak.lock();
                    if (open)
                        closeForOthers(*open, use);
                };
            const auto id = co_await self->node.callerConnections.open(connectionBytes, close);
            if (!id)
                continue; // closed: all others are being served
            spawn(self->node, "caller", self->serve(self, connection, *id));
        }
    }

    /** Waits for the first bytes of a request; false if the connection ends. */
    asio::awaitable<bool> awaitRequest(CallerConnection &connection, ConnectionId id)
    {
        if (connection.buffer.size() > 0)
            co_return true;
        shrinkBuffer(connection.buffer);
        this->node.callerConnections.use(id, ConnectionUse::Idle);
        this->node.callerConnections.tryHold(id, connectionBytes);
        connection.stream.expires_after(this->node.routes->config().limits.idleTimeout);
        auto [error, bytes] = co_await connection.stream.async_read_some(
            connection.buffer.prepare(idleBufferBytes), nothrowAwaitable);
        if (error)
            co_return false;
        connection.buffer.commit(bytes);
        co_return true;
    }

    RequestLimits requestLimits() const
    {
        const CallerLimits &configured = this->node.routes->config().limits;
        RequestLimits limits;
        limits.maxHeaderBytes = configured.maxHeaderBytes + this->addedHeaderBytes();
        limits.maxBodyBytes = configured.maxBodyBytes;
        limits.maxChunkHeadBytes = configured.maxHeaderBytes + addedChunkHeadBytes;
        limits.headerTimeout = configured.headerTimeout;
        limits.bodyTimeout = bodyTimeout;
        return limits;
    }

    /** Reads one request; nothing if the connection ends. */
    asio::awaitable<std::optional<HttpRequest>> readRequest(CallerConnection &connection,
                                                            ConnectionId id)
    {
        connection.busy = true;
        this->node.callerConnections.use(id, ConnectionUse::Reading);
        beast::error_code error;
        {
            const RequestReader::Hold hold = [this, id](std::size_t bytes) {
                return this->node.callerConnections.hold(id, connectionBytes + bytes);
            };
            RequestReader reader(connection.stream, connection.buffer, this->requestLimits(), hold);
            error = co_await reader.readHead();
            if (!error) {
                const bool admitted = co_await this->admit(connection, reader.head(), id);
                if (!admitted)
                    co_return std::nullopt;
                if (reader.head()[http::field::expect] == expectContinue)
                    co_await sendContinue(connection);
                error = co_await reader.readBody();
            }
            bool served = !error;
            if (!error && this->kind == ListenerKind::Callers)
                served = co_await this->node.callerConnections.serve(id);
            if (served)
                served = co_await hold(reader.servedBytes() + servingBytes);
            if (served) {
                connection.stream.expires_never();
                co_return reader.release();
            }
            if (!error)
                error = RequestReader::noRoom();
        }
        // Its memory is given back before the answer is written, as the caller may not read it.
        connection.buffer.clear();
        connection.buffer.shrink_to_fit();
        this->node.callerConnections.use(id, ConnectionUse::Reading);
        this->node.callerConnections.tryHold(id, connectionBytes);
        co_await refuseRequest(connection, error, this->kind == ListenerKind::Peers);
        co_return std::nullopt;
    }

    std::uint32_t addedHeaderBytes() const
    {
        return this->kind == ListenerKind::Peers ? forwardedHeaderBytes : 0;
    }

    /** False if a forwarded call is refused; the other VM was sent the reason. */
    asio::awaitable<bool> admit(CallerConnection &connection, const RequestHead &head,
                                ConnectionId id)
    {
        if (this->kind == ListenerKind::Callers)
            co_return true;
        ForwardRefusal refusal = admitForwarded(this->node, readForwardedCall(head));
        // From the offer's acceptance on the other VM counts the call as sent on, so that the
        // connection is not closed for others.
        if (refusal == ForwardRefusal::None) {
            const bool hasRoom = co_await this->node.callerConnections.serve(id);
            refusal = hasRoom ? ForwardRefusal::None : ForwardRefusal::Busy;
        }
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

    asio::awaitable<void> serve(std::shared_ptr<Impl> self, CallerConnectionPtr connection,
                                ConnectionId id)
    {
        const ConnectionEntry entry(self->node.callerConnections, id);
        boost::system::error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        self->open.insert(connection.get());
        ++self->node.connections;
        bool keepOpen = true;
        while (keepOpen && !self->stopping) {
            connection->busy = connection->buffer.size() > 0;
            keepOpen = co_await self->awaitRequest(*connection, id);
            if (!keepOpen)
                break;
            std::optional<HttpRequest> request = co_await self->readRequest(*connection, id);
            if (!request)
                break;
            keepOpen = co_await self->serveOne(*connection, std::move(*request), id);
        }
        self->open.erase(connection.get());
        --self->node.connections;
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    /** True if the connection may carry another call. */
    asio::awaitable<bool> serveOne(CallerConnection &connection, HttpRequest request,
                                   ConnectionId id)
    {
        const auto call =
            std::make_shared<ActiveCall>(this->node, connection.stream, std::move(request));
        call->callerBuffer = &connection.buffer;
        call->callerConnection = id;
        call->heldBytes = this->node.callerConnections.heldBy(id);
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
    boost::system::error_code ignored; // the system's own size then holds
    this->impl->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes),
                                    ignored);
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
