#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

/** Receives OTLP/JSON on /v1/traces; any other path returns all spans as a flat array. */
class Collector final : public Standin
{
public:
    Collector(asio::io_context &context, const CollectorOptions &options)
        : server(context, options.listen,
                 [this](HttpExchange &exchange) { return this->handle(exchange); })
    { }

    std::uint16_t port() const override
    {
        return this->server.port();
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange)
    {
        HttpReply reply = jsonReply(200, this->spans);
        if (exchange.request().target() == "/v1/traces")
            reply = this->storeSpans(exchange.request().body());
        co_await exchange.respond(std::move(reply));
    }

    HttpReply storeSpans(const std::string &body)
    {
        const Json request = Json::parse(body, nullptr, false);
        if (!request.is_object() || !request.contains("resourceSpans"))
            return errorReply(400, "body is not an OTLP export");
        for (const Json &resource : request["resourceSpans"]) {
            for (const Json &scope : resource["scopeSpans"]) {
                for (const Json &span : scope["spans"])
                    this->spans.push_back(span);
            }
        }
        return jsonReply(200, Json::object());
    }

    Json spans = Json::array();
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startCollector(asio::io_context &context, const CollectorOptions &options)
{
    return std::make_unique<Collector>(context, options);
}

} // namespace monsoonbay::standins
