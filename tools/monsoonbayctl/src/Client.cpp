#include "Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoonbay::ctl {

HttpResult callNow(const Endpoint &endpoint, const HttpCall &call)
{
    constexpr Duration patience = std::chrono::seconds(10);
    asio::io_context context(1);
    HttpClient client(context);
    HttpResult result;
    const auto work = [&]() -> asio::awaitable<void> {
        result = co_await client.call(endpoint, call, patience);
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return result;
}

HttpResult getNow(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    return callNow(endpoint, call);
}

} // namespace monsoonbay::ctl
