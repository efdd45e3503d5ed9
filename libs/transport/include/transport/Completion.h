#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoonbay {

namespace asio = boost::asio;

/** Called once, on any thread, with the outcome of a gRPC operation. */
using Completion = std::function<void(bool)>;

/**
 * Suspends the calling coroutine, starts an operation, and resumes the coroutine on its own
 * executor when the completion is called. gRPC runs completions on its own threads; without the
 * post to the executor, code of a connection's strand would run there.
 */
template <typename Start> asio::awaitable<bool> completionOf(Start start)
{
    return asio::async_initiate<const asio::use_awaitable_t<> &, void(bool)>(
        [](auto handler, Start start) {
            using Handler = decltype(handler);
            auto shared = std::make_shared<Handler>(std::move(handler));
            start([shared](bool ok) {
                const auto executor = asio::get_associated_executor(*shared);
                asio::post(executor, [shared, ok] { std::move (*shared)(ok); });
            });
        },
        asio::use_awaitable, std::move(start));
}

} // namespace monsoonbay
