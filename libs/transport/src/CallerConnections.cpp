#include "transport/CallerConnections.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <sys/resource.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoonbay {

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

/** Connections that were closed give their memory back in their next turn of the loop. */
constexpr int turnsAwaited = 8;
constexpr int pausesAwaited = 50;
constexpr auto pause = std::chrono::milliseconds(2);

asio::awaitable<void> awaitTurn(int turn)
{
    const auto executor = co_await asio::this_coro::executor;
    if (turn < turnsAwaited) {
        co_await asio::post(executor, asio::use_awaitable);
        co_return;
    }
    asio::steady_timer timer(executor, pause);
    co_await timer.async_wait(nothrowAwaitable);
}

} // namespace

VmResources withinProcessLimit(VmResources resources)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        resources.descriptors = std::min<std::size_t>(resources.descriptors, limit.rlim_cur);
    return resources;
}

CallerConnections::CallerConnections(ConnectionLimits limits)
{
    this->ledger.limits = limits;
}

asio::awaitable<std::optional<ConnectionId>> CallerConnections::open(std::size_t bytes, Close close)
{
    for (int turn = 0; turn < turnsAwaited + pausesAwaited; ++turn) {
        {
            const std::lock_guard guard(this->mutex);
            const auto id = openConnection(this->ledger, bytes, BootClock::now());
            if (id) {
                this->closers[*id] = std::move(close);
                co_return id;
            }
        }
        if (this->makeRoom(std::nullopt, bytes, 1) == RoomMade::None)
            break;
        co_await awaitTurn(turn);
    }
    const std::lock_guard guard(this->mutex);
    ++this->counts.connectionsRefused;
    co_return std::nullopt;
}

bool CallerConnections::tryHold(ConnectionId id, std::size_t bytes)
{
    const std::lock_guard guard(this->mutex);
    return holdBytes(this->ledger, id, bytes);
}

asio::awaitable<bool> CallerConnections::hold(ConnectionId id, std::size_t bytes)
{
    for (int turn = 0; turn < turnsAwaited + pausesAwaited; ++turn) {
        if (this->tryHold(id, bytes))
            co_return true;
        if (this->makeRoom(id, bytes, 0) == RoomMade::None)
            break;
        co_await awaitTurn(turn);
    }
    const std::lock_guard guard(this->mutex);
    ++this->counts.callsRefused;
    co_return false;
}

asio::awaitable<bool> CallerConnections::serve(ConnectionId id)
{
    for (int turn = 0; turn < turnsAwaited + pausesAwaited; ++turn) {
        {
            const std::lock_guard guard(this->mutex);
            const HeldConnection &held = this->ledger.connections.at(id);
            if (held.use == ConnectionUse::Closing)
                co_return false;
            if (useConnection(this->ledger, id, ConnectionUse::Serving, BootClock::now()))
                co_return true;
        }
        if (this->makeRoom(id, 0, 1) == RoomMade::None)
            break;
        co_await awaitTurn(turn);
    }
    const std::lock_guard guard(this->mutex);
    ++this->counts.callsRefused;
    co_return false;
}

void CallerConnections::use(ConnectionId id, ConnectionUse use)
{
    const std::lock_guard guard(this->mutex);
    if (this->ledger.connections.at(id).use != ConnectionUse::Closing)
        useConnection(this->ledger, id, use, BootClock::now());
}

void CallerConnections::end(ConnectionId id)
{
    const std::lock_guard guard(this->mutex);
    endConnection(this->ledger, id);
    this->closers.erase(id);
}

std::size_t CallerConnections::heldBy(ConnectionId id) const
{
    const std::lock_guard guard(this->mutex);
    return this->ledger.connections.at(id).bytes;
}

ConnectionTotals CallerConnections::totals() const
{
    const std::lock_guard guard(this->mutex);
    return {this->ledger.connections.size(), this->ledger.bytes, this->ledger.descriptors,
            this->ledger.limits, this->counts};
}

CallerConnections::RoomMade CallerConnections::makeRoom(std::optional<ConnectionId> id,
                                                        std::size_t bytes, std::size_t descriptors)
{
    std::vector<std::pair<Close, ConnectionUse>> toClose;
    bool goesItself = false;
    {
        const std::lock_guard guard(this->mutex);
        if (id && this->ledger.connections.at(*id).use == ConnectionUse::Closing)
            return RoomMade::None;
        const Instant now = BootClock::now();
        const NeededRoom needed = roomLacking(this->ledger, id, bytes, descriptors);
        if (needed == NeededRoom())
            return RoomMade::Waiting;
        for (const ConnectionId chosen : connectionsToClose(this->ledger, id, needed, now)) {
            goesItself = goesItself || chosen == id;
            if (chosen == id)
                continue;
            const ConnectionUse before = this->ledger.connections.at(chosen).use;
            ++(before == ConnectionUse::Idle ? this->counts.idleClosed
                                             : this->counts.readingClosed);
            useConnection(this->ledger, chosen, ConnectionUse::Closing, now);
            toClose.emplace_back(this->closers.at(chosen), before);
        }
        // Without any that goes, only connections that are closing already can make room.
        if (toClose.empty() && !goesItself) {
            bool closing = false;
            for (const auto &[other, held] : this->ledger.connections)
                closing = closing || held.use == ConnectionUse::Closing;
            goesItself = !closing;
        }
    }
    for (const auto &[close, before] : toClose)
        close(before);
    return goesItself ? RoomMade::None : RoomMade::Waiting;
}

} // namespace monsoonbay
