#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/Time.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** Wakes coroutines that wait for a change. For use by one thread only. */
class Signal
{
public:
    explicit Signal(asio::io_context &context)
        : timer(context)
    { }

    /** Returns at the next notifyAll(), or after `longest` at the latest. */
    asio::awaitable<void> wait(Duration longest)
    {
        asio::steady_timer limit(this->timer.get_executor(), longest);
        Waiter waiter{&limit, this->first};
        if (this->first != nullptr)
            this->first->previous = &waiter;
        this->first = &waiter;
        constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
        co_await limit.async_wait(nothrowAwaitable);
        this->remove(waiter);
    }

    void notifyAll()
    {
        for (Waiter *waiter = this->first; waiter != nullptr; waiter = waiter->next)
            waiter->limit->cancel();
    }

private:
    struct Waiter
    {
        asio::steady_timer *limit;
        Waiter *next;
        Waiter *previous = nullptr;
    };

    void remove(const Waiter &waiter)
    {
        if (waiter.previous != nullptr)
            waiter.previous->next = waiter.next;
        else
            this->first = waiter.next;
        if (waiter.next != nullptr)
            waiter.next->previous = waiter.previous;
    }

    asio::steady_timer timer; ///< never waits; it only holds the executor
    Waiter *first = nullptr;
};

} // namespace monsoonbay
