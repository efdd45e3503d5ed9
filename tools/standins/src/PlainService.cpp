#include <unordered_map>

#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

/** Answers any path with what it was asked; counts effects, and repeats by request id. */
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
            co_await exchange.respond(switchFault(this->faults, request.body()));
            co_return;
        }
        if (target == "/v1/status") {
            const HttpReply status =
                jsonReply(200, {{"effects", this->effects}, {"twiceRun", this->twiceRun}});
            co_await exchange.respond(status);
            co_return;
        }
        if (this->faults.strikes("down")) {
            exchange.abort();
            co_return;
        }
        if (this->faults.strikes("delay"))
            co_await sleepMs(this->faults.valueMs("delay"));
        const std::string id = headerOf(request, "X-Request-Id");
        ++this->effects;
        if (!id.empty() && ++this->seen[id] > 1)
            ++this->twiceRun;
        co_await sleepMs(this->options.serviceMs);
        if (this->faults.strikes("lostAnswer")) {
            exchange.abort();
            co_return;
        }
        const HttpReply answer = jsonReply(200,
                                           {{"service", this->options.name},
                                            {"target", target},
                                            {"requestId", id},
                                            {"echo", request.body()}});
        co_await exchange.respond(answer);
    }

    PlainServiceOptions options;
    Faults faults;
    std::uint64_t effects = 0;
    std::uint64_t twiceRun = 0;
    std::unordered_map<std::string, int> seen;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startPlainService(asio::io_context &context,
                                           const PlainServiceOptions &options)
{
    return std::make_unique<PlainServiceStandin>(context, options);
}

} // namespace monsoonbay::standins
