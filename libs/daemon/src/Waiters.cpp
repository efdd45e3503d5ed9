#include "Waiters.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoonbay {

namespace {

WaitSummary summarize(AdapterId adapter, const std::vector<Waiters::WaiterPtr> &waiters)
{
    WaitSummary summary;
    summary.adapter = adapter;
    summary.oldest = Instant::max();
    summary.deadline = Instant::max();
    for (const Waiters::WaiterPtr &waiter : waiters) {
        ++summary.waiting;
        summary.oldest = std::min(summary.oldest, waiter->arrived);
        summary.deadline = std::min(summary.deadline, waiter->deadline);
        summary.weight += waiter->weight;
    }
    return summary;
}

} // namespace

Waiters::Shard &Waiters::shardOf(AdapterId adapter)
{
    return this->shards[adapter.value % shardCount];
}

const Waiters::Shard &Waiters::shardOf(AdapterId adapter) const
{
    return this->shards[adapter.value % shardCount];
}

void Waiters::add(AdapterId adapter, const WaiterPtr &waiter)
{
    Shard &shard = this->shardOf(adapter);
    const std::lock_guard guard(shard.mutex);
    shard.waiting[adapter].push_back(waiter);
}

void Waiters::remove(AdapterId adapter, const WaiterPtr &waiter)
{
    Shard &shard = this->shardOf(adapter);
    const std::lock_guard guard(shard.mutex);
    const auto found = shard.waiting.find(adapter);
    if (found == shard.waiting.end())
        return;
    std::erase(found->second, waiter);
    if (found->second.empty())
        shard.waiting.erase(found);
}

// The waiter's fields belong to its strand, so the wake-up is posted there and not done here.
void Waiters::wake(AdapterId adapter, const WaitResult &end)
{
    std::vector<WaiterPtr> woken;
    {
        Shard &shard = this->shardOf(adapter);
        const std::lock_guard guard(shard.mutex);
        const auto found = shard.waiting.find(adapter);
        if (found == shard.waiting.end())
            return;
        woken = std::move(found->second);
        shard.waiting.erase(found);
    }
    for (const WaiterPtr &waiter : woken) {
        asio::post(waiter->timer.get_executor(), [waiter, end] {
            waiter->woken = true;
            waiter->end = end;
            waiter->timer.cancel();
        });
    }
}

WaitSummary Waiters::summary(AdapterId adapter) const
{
    const Shard &shard = this->shardOf(adapter);
    const std::lock_guard guard(shard.mutex);
    const auto found = shard.waiting.find(adapter);
    return summarize(adapter,
                     found == shard.waiting.end() ? std::vector<WaiterPtr>{} : found->second);
}

std::vector<WaitSummary> Waiters::summaries() const
{
    std::vector<WaitSummary> all;
    for (const Shard &shard : this->shards) {
        const std::lock_guard guard(shard.mutex);
        for (const auto &[adapter, waiters] : shard.waiting)
            all.push_back(summarize(adapter, waiters));
    }
    return all;
}

asio::awaitable<bool> waitFor(Waiters::WaiterPtr waiter, Instant until)
{
    while (!waiter->woken) {
        const Duration left = until - BootClock::now();
        if (left <= Duration{})
            co_return false;
        waiter->timer.expires_after(left);
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return true;
}

} // namespace monsoonbay
