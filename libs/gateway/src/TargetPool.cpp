#include "TargetPool.h"

#include <algorithm>
#include <cerrno>
#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/Ids.h"

namespace monsoonbay {

namespace {

using tcp = asio::ip::tcp;
namespace http = boost::beast::http;

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t maxIdle = 64;

/** A connection that has carried this many calls is closed, as it remembers each of them. */
constexpr std::size_t maxCarried = 512;

/** Idle connections are kept this long where the target does not announce its own timeout. */
constexpr Duration defaultIdleTime = std::chrono::milliseconds(3000);

/** A call sent this shortly before the target closes the connection may be lost with it. */
constexpr Duration idleMargin = std::chrono::milliseconds(400);

/**
 * Data that stays unacknowledged for this long ends the connection (TCP_USER_TIMEOUT). A link that
 * falls silent without a reset is detected in no other way. A packet that is lost twice in a row
 * still arrives before; with 2.5 s each call on a pooled connection into a zone that was cut off
 * was lost to its caller.
 */
constexpr unsigned unacknowledgedMs = 1000;
constexpr int probeAfterSeconds = 1;
constexpr int probeEverySeconds = 1;
constexpr int probesLost = 3;

// A connection that the target closed, or on which it sent unsolicited bytes, looks usable until
// the next answer is wrong or missing, and by then the call may have run.
bool isUsable(tcp::socket &socket)
{
    char byte = 0;
    const auto peeked = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void setOption(tcp::socket &socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

} // namespace

// An id tells calls apart, not the attempts of one call. A late second answer to an earlier attempt
// would pass for the answer to the next one on the same connection, and a call that a target has
// refused and then run would count as not run.
TargetConnectionPtr acquireIdle(TargetPool &pool, const std::string &callId, Instant now)
{
    const std::uint64_t call = stableHash(callId);
    for (std::size_t index = pool.idle.size(); index-- > 0;) {
        TargetConnectionPtr connection = pool.idle[index];
        const std::vector<std::uint64_t> &carried = connection->carried;
        if (std::find(carried.begin(), carried.end(), call) != carried.end())
            continue;
        pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(index));
        if (now >= connection->idleUntil)
            continue;
        if (isUsable(connection->socket))
            return connection;
        pool.lostAt = now;
    }
    return nullptr;
}

void recordCarried(TargetConnection &connection, const std::string &callId)
{
    connection.carried.push_back(stableHash(callId));
}

void giveBack(TargetPool &pool, TargetConnectionPtr connection, Duration keepAlive, Instant now)
{
    if (connection->carried.size() >= maxCarried)
        return;
    const Duration kept = keepAlive > Duration::zero() ? keepAlive : defaultIdleTime;
    connection->idleUntil = now + kept - std::min(idleMargin, kept / 2);
    pool.idle.push_back(std::move(connection));
    if (pool.idle.size() > maxIdle)
        pool.idle.pop_front();
}

Duration announcedKeepAlive(const http::response_header<> &head)
{
    const auto found = head.find(http::field::keep_alive);
    if (found == head.end())
        return Duration::zero();
    const std::string_view value(found->value().data(), found->value().size());
    constexpr std::string_view timeout = "timeout=";
    const std::size_t at = value.find(timeout);
    if (at == std::string_view::npos)
        return Duration::zero();
    int seconds = 0;
    const std::string_view digits = value.substr(at + timeout.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

void closeOnExpiry(asio::steady_timer &limit, const TargetConnectionPtr &connection)
{
    limit.async_wait(
        [weak = std::weak_ptr<TargetConnection>(connection)](boost::system::error_code cancelled) {
            const TargetConnectionPtr late = weak.lock();
            if (!cancelled && late)
                closeConnection(*late);
        });
}

asio::awaitable<ConnectResult> connectTo(asio::io_context &context, Endpoint endpoint,
                                         Duration timeout)
{
    auto connection = std::make_shared<TargetConnection>(context);
    asio::steady_timer limit(context, timeout);
    closeOnExpiry(limit, connection);
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    auto [error] = co_await connection->socket.async_connect(address, nothrowAwaitable);
    limit.cancel();
    // The timer closes the socket, so that the connect ends as one that was cancelled.
    if (error || !connection->socket.is_open()) {
        ConnectResult failed;
        failed.error = connection->socket.is_open() ? error : asio::error::timed_out;
        co_return failed;
    }
    setOption(connection->socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(connection->socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMs);
    setOption(connection->socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(connection->socket, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    setOption(connection->socket, IPPROTO_TCP, TCP_KEEPINTVL, probeEverySeconds);
    setOption(connection->socket, IPPROTO_TCP, TCP_KEEPCNT, probesLost);
    ConnectResult result;
    result.connection = std::move(connection);
    co_return result;
}

// After a plain close the kernel goes on sending what has not arrived: the request of a caller that
// has left would still run.
void closeConnection(TargetConnection &connection)
{
    // An error on closing leaves nothing to do.
    boost::system::error_code ignored;
    connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection.socket.close(ignored);
}

} // namespace monsoonbay
