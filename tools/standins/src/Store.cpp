#include <algorithm>

#include <boost/asio/as_tuple.hpp>

#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

constexpr double tickMs = 5; // interval at which a load checks its progress

/** Serves loads on any path. They share the rate, so concurrent loads are not faster in total. */
class Store final : public Standin
{
public:
    Store(asio::io_context &context, const StoreOptions &options)
        : options(options)
        , server(context, options.listen,
                 [this](HttpExchange &exchange) { return this->handle(exchange); })
    { }

    std::uint16_t port() const override
    {
        return this->server.port();
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        if (target == "/control") {
            co_await exchange.respond(handleFaultRequest(this->faults, exchange.request().body()));
            co_return;
        }
        if (target == "/v1/status") {
            const HttpReply status =
                jsonReply(200, {{"loads", this->loads}, {"mostAtOnce", this->maxConcurrentLoads}});
            co_await exchange.respond(status);
            co_return;
        }
        if (this->faults.shouldInject("down")) {
            co_await exchange.respond(errorReply(503, "store is down"));
            co_return;
        }
        ++this->concurrentLoads;
        this->maxConcurrentLoads = std::max(this->maxConcurrentLoads, this->concurrentLoads);
        if (this->faults.shouldInject("delay"))
            co_await sleepMs(this->faults.parameter("delay"));
        co_await this->transfer();
        --this->concurrentLoads;
        ++this->loads;
        if (this->faults.shouldInject("fail")) {
            co_await exchange.respond(errorReply(500, "weights are unreadable"));
            co_return;
        }
        const HttpReply reply = jsonReply(200, {{"weights", target}});
        co_await exchange.respond(reply);
    }

    /** Returns once one load is transferred at this load's share of the rate. */
    asio::awaitable<void> transfer()
    {
        double remaining = 1.0;
        auto previous = std::chrono::steady_clock::now();
        while (remaining > 0) {
            co_await sleepMs(tickMs);
            const auto now = std::chrono::steady_clock::now();
            const double seconds = std::chrono::duration<double>(now - previous).count();
            previous = now;
            remaining -=
                seconds * this->options.loadsPerSecond / std::max(1, this->concurrentLoads);
        }
    }

    StoreOptions options;
    FaultInjector faults;
    int concurrentLoads = 0;
    int maxConcurrentLoads = 0;
    std::uint64_t loads = 0;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startStore(asio::io_context &context, const StoreOptions &options)
{
    return std::make_unique<Store>(context, options);
}

} // namespace monsoonbay::standins
