#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** How waiting for an adapter ended. */
struct WaitResult
{
    ErrorKind refusal = ErrorKind::Ok; ///< Ok: look up the directory again
    Duration retryAfter{};
};

/** The requests that wait here for one adapter, as reported to the coordinator. */
struct WaitSummary
{
    AdapterId adapter;
    int waiting = 0;
    Instant oldest{};
    Instant deadline{};
    double weight = 0;
};

/** Requests that wait for adapters to become resident. Sharded by adapter. */
class Waiters
{
public:
    /** One waiting request; lives on its connection's strand. */
    struct Waiter
    {
        explicit Waiter(const asio::any_io_executor &executor)
            : timer(executor)
        { }

        asio::steady_timer timer;
        Instant arrived{};
        Instant deadline{};
        double weight = 1;
        bool woken = false;
        WaitResult end;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    void add(AdapterId adapter, const WaiterPtr &waiter);
    void remove(AdapterId adapter, const WaiterPtr &waiter);

    /** Lets all requests that wait for the adapter continue, or refuses them. */
    void wake(AdapterId adapter, const WaitResult &end);

    WaitSummary summary(AdapterId adapter) const;
    std::vector<WaitSummary> summaries() const;

private:
    static constexpr std::size_t shardCount = 32;

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<AdapterId, std::vector<WaiterPtr>> waiting;
    };

    Shard &shardOf(AdapterId adapter);
    const Shard &shardOf(AdapterId adapter) const;

    std::array<Shard, shardCount> shards;
};

/** Waits until the waiter is woken or `until` has come; true if it was woken. */
asio::awaitable<bool> waitFor(Waiters::WaiterPtr waiter, Instant until);

} // namespace monsoonbay
