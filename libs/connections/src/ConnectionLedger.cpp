#include "connections/ConnectionLedger.h"

#include <algorithm>
#include <cassert>

namespace monsoonbay {

namespace {

/** Of a VM's memory, the part that callers may hold. */
constexpr std::size_t memoryShare = 2;

/** Descriptors of a VM that are only for files. */
constexpr std::size_t fileDescriptors = 200;
/** Of the others, one in so many is kept for targets, store, peers and operators. */
constexpr std::size_t ownDescriptorShare = 4;
constexpr std::size_t minDescriptors = 16;

/** A call that holds more than this leaves one part in so many of the memory to smaller ones. */
constexpr std::size_t smallCallBytes = 128UL * 1024;
constexpr std::size_t smallCallShare = 4;

/** Of a limit, the part that is made free at once when connections have to be closed. */
constexpr std::size_t spareShare = 16;

/** The shortest time that counts, so that bytes matter among connections of the same moment. */
constexpr Duration minAge = std::chrono::milliseconds(1);

bool mayBeClosed(const HeldConnection &connection) noexcept
{
    return connection.use == ConnectionUse::Idle || connection.use == ConnectionUse::Reading;
}

std::size_t descriptorsOf(ConnectionUse use) noexcept
{
    switch (use) {
    case ConnectionUse::Idle:
    case ConnectionUse::Reading:
        return 1;
    case ConnectionUse::Serving:
        return 2;
    case ConnectionUse::Closing:
        return 0;
    }
    return 0;
}

std::size_t byteLimit(const ConnectionLimits &limits, std::size_t bytes) noexcept
{
    return bytes <= smallCallBytes ? limits.bytes : limits.bytes - limits.bytes / smallCallShare;
}

double age(const HeldConnection &connection, Instant now)
{
    return toSeconds(std::max<Duration>(now - connection.since, minAge));
}

struct Candidate
{
    ConnectionId id = 0;
    HeldConnection held;
    double weight = 0;
};

// For memory: bytes times age, so that a small call outlasts one that holds a thousand times as
// much, and a long one that makes progress outlasts those that stopped. For descriptors all hold
// the same; an idle connection costs its caller least.
double weightOf(const HeldConnection &connection, bool forBytes, Instant now)
{
    if (forBytes)
        return static_cast<double>(connection.bytes) * age(connection, now);
    constexpr double idleFirst = 1e9;
    return age(connection, now) + (connection.use == ConnectionUse::Idle ? idleFirst : 0);
}

} // namespace

ConnectionLimits limitsFor(const VmResources &resources) noexcept
{
    ConnectionLimits limits;
    limits.bytes = resources.memoryBytes / memoryShare;
    const std::size_t sockets =
        resources.descriptors > fileDescriptors ? resources.descriptors - fileDescriptors : 0;
    limits.descriptors = std::max(minDescriptors, sockets - sockets / ownDescriptorShare);
    return limits;
}

std::optional<ConnectionId> openConnection(ConnectionLedger &ledger, std::size_t bytes, Instant now)
{
    if (ledger.descriptors + 1 > ledger.limits.descriptors
        || ledger.bytes + bytes > byteLimit(ledger.limits, bytes))
        return std::nullopt;
    const ConnectionId id = ++ledger.lastId;
    ledger.connections[id] = {ConnectionUse::Idle, bytes, now};
    ledger.bytes += bytes;
    ledger.descriptors += 1;
    return id;
}

bool holdBytes(ConnectionLedger &ledger, ConnectionId id, std::size_t bytes)
{
    HeldConnection &connection = ledger.connections.at(id);
    const std::size_t others = ledger.bytes - connection.bytes;
    if (bytes > connection.bytes && others + bytes > byteLimit(ledger.limits, bytes))
        return false;
    ledger.bytes = others + bytes;
    connection.bytes = bytes;
    return true;
}

bool useConnection(ConnectionLedger &ledger, ConnectionId id, ConnectionUse use, Instant now)
{
    HeldConnection &connection = ledger.connections.at(id);
    assert(connection.use != ConnectionUse::Closing || use == ConnectionUse::Closing);
    const std::size_t others = ledger.descriptors - descriptorsOf(connection.use);
    const bool more = descriptorsOf(use) > descriptorsOf(connection.use);
    if (more && others + descriptorsOf(use) > ledger.limits.descriptors)
        return false;
    ledger.descriptors = others + descriptorsOf(use);
    if (connection.use != use)
        connection.since = now;
    connection.use = use;
    return true;
}

void endConnection(ConnectionLedger &ledger, ConnectionId id)
{
    const HeldConnection &connection = ledger.connections.at(id);
    ledger.bytes -= connection.bytes;
    ledger.descriptors -= descriptorsOf(connection.use);
    ledger.connections.erase(id);
}

NeededRoom roomLacking(const ConnectionLedger &ledger, std::optional<ConnectionId> id,
                       std::size_t bytes, std::size_t descriptors)
{
    const std::size_t own = id ? ledger.connections.at(*id).bytes : 0;
    const std::size_t wanted = ledger.bytes - own + bytes;
    const std::size_t limit = byteLimit(ledger.limits, bytes);
    NeededRoom needed;
    if (bytes > own && wanted > limit)
        needed.bytes = wanted - limit;
    if (ledger.descriptors + descriptors > ledger.limits.descriptors)
        needed.descriptors = ledger.descriptors + descriptors - ledger.limits.descriptors;
    return needed;
}

std::vector<ConnectionId> connectionsToClose(const ConnectionLedger &ledger,
                                             std::optional<ConnectionId> forId,
                                             const NeededRoom &needed, Instant now)
{
    NeededRoom freed; // by connections that are closing already, and by those chosen
    std::vector<Candidate> candidates;
    for (const auto &[id, held] : ledger.connections) {
        if (held.use == ConnectionUse::Closing)
            freed.bytes += held.bytes;
        if (mayBeClosed(held))
            candidates.push_back({id, held, weightOf(held, needed.bytes > 0, now)});
    }
    const auto suffices = [&freed](const NeededRoom &room) {
        return freed.bytes >= room.bytes && freed.descriptors >= room.descriptors;
    };
    if (suffices(needed))
        return {};
    NeededRoom withSpare = needed;
    if (needed.bytes > 0)
        withSpare.bytes += ledger.limits.bytes / spareShare;
    if (needed.descriptors > 0)
        withSpare.descriptors += ledger.limits.descriptors / spareShare;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
    });
    std::vector<ConnectionId> chosen;
    for (const Candidate &candidate : candidates) {
        if (suffices(withSpare))
            break;
        const bool own = candidate.id == forId;
        if (own && suffices(needed))
            continue; // it does not go for the spare room alone
        freed.bytes += candidate.held.bytes;
        freed.descriptors += descriptorsOf(candidate.held.use);
        chosen.push_back(candidate.id);
        if (own)
            break;
    }
    return chosen;
}

} // namespace monsoonbay
