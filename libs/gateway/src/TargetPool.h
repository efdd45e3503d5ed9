#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>

#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** The longest head of an answer, and room to read what follows it. */
constexpr std::size_t maxReadBufferBytes = 128UL * 1024;

/** A connection to a target; one call at a time uses it. */
struct TargetConnection
{
    explicit TargetConnection(asio::io_context &context)
        : socket(context)
    { }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{maxReadBufferBytes};
    Instant idleUntil{}; ///< the target may close it after this
    std::vector<std::uint64_t> carried; ///< hashes of the ids of the calls that were sent on it
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

/** Idle connections to one target. */
struct TargetPool
{
    std::deque<TargetConnectionPtr> idle;
    Instant lostAt{}; ///< when a connection was last lost, or could not be made
};

/**
 * An idle connection that still looks usable and has not carried the call with this id before; null
 * if there is none.
 */
TargetConnectionPtr acquireIdle(TargetPool &pool, const std::string &callId, Instant now);

/** Records that an attempt of the call is sent on the connection. */
void recordCarried(TargetConnection &connection, const std::string &callId);

/** Keeps a connection for the next call; `keepAlive` is the target's own timeout, or zero. */
void giveBack(TargetPool &pool, TargetConnectionPtr connection, Duration keepAlive, Instant now);

/** The time for which the target says that it keeps an idle connection; zero: it doesn't say. */
Duration announcedKeepAlive(const boost::beast::http::response_header<> &head);

/** Result of an attempt to connect. */
struct ConnectResult
{
    TargetConnectionPtr connection; ///< null: it failed
    boost::system::error_code error; ///< why; asio::error::timed_out: no answer in time
};

/** Connects within `timeout`. */
asio::awaitable<ConnectResult> connectTo(asio::io_context &context, Endpoint endpoint,
                                         Duration timeout);

/** Closes the connection when the timer expires; a cancelled timer does nothing. */
void closeOnExpiry(asio::steady_timer &limit, const TargetConnectionPtr &connection);

/** Resets the connection and discards what waits to be sent; pending operations end with an error.
 */
void closeConnection(TargetConnection &connection);

} // namespace monsoonbay
