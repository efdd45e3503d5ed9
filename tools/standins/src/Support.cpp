#include "Support.h"

#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoonbay::standins {

HttpReply jsonReply(int status, const Json &body)
{
    HttpReply reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
}

HttpReply errorReply(int status, const char *error)
{
    return jsonReply(status, {{"error", error}});
}

std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t defaultValue)
{
    const std::string wanted = std::string(key) + "=";
    std::size_t position = target.find('?');
    while (position != std::string_view::npos) {
        const std::string_view rest = target.substr(position + 1);
        if (rest.starts_with(wanted)) {
            std::uint64_t value = defaultValue;
            const std::string_view digits = rest.substr(wanted.size());
            std::from_chars(digits.data(), digits.data() + digits.size(), value);
            return value;
        }
        position = target.find('&', position + 1);
    }
    return defaultValue;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

HttpReply handleFaultRequest(FaultInjector &faults, const std::string &body)
{
    const Json fault = Json::parse(body, nullptr, false);
    if (!fault.is_object() || !fault.contains("fault"))
        return jsonReply(400, {{"error", "expected {\"fault\": kind, \"times\": n, \"ms\": m}"}});
    const std::string kind = fault["fault"];
    faults.set(kind, fault.value("times", 1), fault.value("ms", 0));
    return jsonReply(200, {{"fault", kind}, {"times", fault.value("times", 1)}});
}

asio::awaitable<void> sleepMs(double milliseconds)
{
    const auto wait = std::chrono::duration<double, std::milli>(milliseconds);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(wait));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace monsoonbay::standins
