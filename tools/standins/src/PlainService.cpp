#include <unordered_map>

#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

/** Echoes requests on any path; counts executions, and those that repeat a request id. */
class PlainServiceStandin final : public Standin
{
public:
    PlainServiceStandin(asio::io_context &context, const PlainServiceOptions &options)
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
        const HttpRequest &request = exchange.request();
        const std::string target(request.target());
        if (target == "/control") {
            co_await exchange.respond(handleFaultRequest(this->faults, request.body()));
            co_return;
        }
        if (target == "/v1/status") {
            const HttpReply status =
                jsonReply(200, {{"effects", this->executions}, {"twiceRun", this->executedTwice}});
            co_await exchange.respond(status);
            co_return;
        }
        if (this->faults.shouldInject("down")) {
            exchange.abort();
            co_return;
        }
        if (this->faults.shouldInject("delay"))
            co_await sleepMs(this->faults.parameter("delay"));
        const std::string id = headerOf(request, "X-Request-Id");
        ++this->executions;
        if (!id.empty() && ++this->executionsById[id] > 1)
            ++this->executedTwice;
        co_await sleepMs(this->options.serviceMs);
        if (this->faults.shouldInject("lostAnswer")) {
            exchange.abort();
            co_return;
        }
        const HttpReply reply = jsonReply(200,
                                          {{"service", this->options.name},
                                           {"target", target},
                                           {"requestId", id},
                                           {"echo", request.body()}});
        co_await exchange.respond(reply);
    }

    PlainServiceOptions options;
    FaultInjector faults;
    std::uint64_t executions = 0;
    std::uint64_t executedTwice = 0;
    std::unordered_map<std::string, int> executionsById;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startPlainService(asio::io_context &context,
                                           const PlainServiceOptions &options)
{
    return std::make_unique<PlainServiceStandin>(context, options);
}

} // namespace monsoonbay::standins
