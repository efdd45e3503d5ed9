#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>

#include "connections/ConnectionLedger.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** The same with no more descriptors than the process was given by the system. */
VmResources withinProcessLimit(VmResources resources);

/** How often room was made or refused, since the start. */
struct ConnectionCounts
{
    std::uint64_t idleClosed = 0; ///< idle connections closed for others
    std::uint64_t readingClosed = 0; ///< incomplete calls closed for others
    std::uint64_t connectionsRefused = 0; ///< closed at once, as all others were being served
    std::uint64_t callsRefused = 0; ///< calls for which there was no room

    auto operator<=>(const ConnectionCounts &) const = default;
};

/** What the connections of callers hold now. */
struct ConnectionTotals
{
    std::size_t connections = 0;
    std::size_t bytes = 0;
    std::size_t descriptors = 0;
    ConnectionLimits limits;
    ConnectionCounts counts;

    auto operator<=>(const ConnectionTotals &) const = default;
};

/**
 * The connections of all callers of a process. Where one needs room that there is not, others are
 * closed; see ConnectionLedger.h. Thread-safe.
 */
class CallerConnections
{
public:
    /** Closes a connection from any thread; its coroutine then calls end(). */
    using Close = std::function<void(ConnectionUse useBefore)>;

    explicit CallerConnections(ConnectionLimits limits);

    /** A new connection that holds `bytes`; nothing if there is no room for it. */
    asio::awaitable<std::optional<ConnectionId>> open(std::size_t bytes, Close close);

    /** From now on the connection holds `bytes` in all; false if it has to be refused. */
    asio::awaitable<bool> hold(ConnectionId id, std::size_t bytes);

    /** The same for less, or for more if there is room at once. */
    bool tryHold(ConnectionId id, std::size_t bytes);

    /** Its call is complete and is served from now on; false if it has to be refused. */
    asio::awaitable<bool> serve(ConnectionId id);

    /** It is idle, or begins to read a call; no effect if it was told to close. */
    void use(ConnectionId id, ConnectionUse use);

    /** Its memory and its descriptor are free. */
    void end(ConnectionId id);

    std::size_t heldBy(ConnectionId id) const;
    ConnectionTotals totals() const;

private:
    /** What another try needs. */
    enum class RoomMade : std::uint8_t { Waiting, None };

    RoomMade makeRoom(std::optional<ConnectionId> id, std::size_t bytes, std::size_t descriptors);

    mutable std::mutex mutex;
    ConnectionLedger ledger;
    ConnectionCounts counts;
    std::unordered_map<ConnectionId, Close> closers;
};

/** Ends a connection's entry with its scope. */
class ConnectionEntry
{
public:
    ConnectionEntry(CallerConnections &all, ConnectionId id)
        : id(id)
        , all(all)
    { }

    ~ConnectionEntry()
    {
        this->all.end(this->id);
    }

    ConnectionEntry(const ConnectionEntry &) = delete;
    ConnectionEntry &operator=(const ConnectionEntry &) = delete;

    const ConnectionId id;

private:
    CallerConnections &all;
};

} // namespace monsoonbay
