#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

using ConnectionId = std::uint64_t;

/** What the connections of all callers together may hold. */
struct ConnectionLimits
{
    std::size_t bytes = 0; ///< of memory
    std::size_t descriptors = 0; ///< one a connection, one more while its call is served

    auto operator<=>(const ConnectionLimits &) const = default;
};

/** What a process may use on its VM. */
struct VmResources
{
    std::size_t memoryBytes = 256UL * 1024 * 1024;
    std::size_t descriptors = 4096;

    auto operator<=>(const VmResources &) const = default;
};

/** The part of a VM that callers may hold; the rest is for targets, store, peers and files. */
ConnectionLimits limitsFor(const VmResources &resources) noexcept;

/** What a connection is used for. */
enum class ConnectionUse : std::uint8_t {
    Idle, ///< between two calls, or before the first one
    Reading, ///< a call has begun and is not complete
    Serving, ///< a complete call is being served; it may have been sent on
    Closing, ///< it was told to close, and still holds its memory
};

/** What one connection holds. */
struct HeldConnection
{
    ConnectionUse use = ConnectionUse::Idle;
    std::size_t bytes = 0;
    Instant since{}; ///< when this use began

    auto operator<=>(const HeldConnection &) const = default;
};

/**
 * What all connections hold, by the bytes that their memory takes and not by those received. The
 * sums never pass the limits: a function that would make them do so returns false or nothing, and
 * changes nothing. connectionsToClose() then names those that make room.
 */
struct ConnectionLedger
{
    ConnectionLimits limits;
    std::map<ConnectionId, HeldConnection> connections;
    std::size_t bytes = 0;
    std::size_t descriptors = 0;
    ConnectionId lastId = 0;

    auto operator<=>(const ConnectionLedger &) const = default;
};

/** A new idle connection that holds `bytes`; nothing if there is no room. */
std::optional<ConnectionId> openConnection(ConnectionLedger &ledger, std::size_t bytes,
                                           Instant now);

/** From now on the connection holds `bytes` in all; false if there is no room for more. */
bool holdBytes(ConnectionLedger &ledger, ConnectionId id, std::size_t bytes);

/** Changes what it is used for; false if there is no descriptor for a call to be served. */
bool useConnection(ConnectionLedger &ledger, ConnectionId id, ConnectionUse use, Instant now);

/** The connection and its memory are gone. */
void endConnection(ConnectionLedger &ledger, ConnectionId id);

/** Room that a connection lacks. */
struct NeededRoom
{
    std::size_t bytes = 0;
    std::size_t descriptors = 0;

    auto operator<=>(const NeededRoom &) const = default;
};

/** What is lacking for a connection to hold `bytes` in all, and `descriptors` more. */
NeededRoom roomLacking(const ConnectionLedger &ledger, std::optional<ConnectionId> id,
                       std::size_t bytes, std::size_t descriptors);

/**
 * Connections to close for that room, with some to spare, so that they are not sought for each call
 * of a crowd. Idle ones and incomplete calls, first those that have held the most for the longest;
 * none whose call is being served. `forId` may be one of them: then it goes itself.
 */
std::vector<ConnectionId> connectionsToClose(const ConnectionLedger &ledger,
                                             std::optional<ConnectionId> forId,
                                             const NeededRoom &needed, Instant now);

} // namespace monsoonbay
