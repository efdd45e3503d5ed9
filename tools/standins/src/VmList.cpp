#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

/** GET /v1/vms returns the array; PUT /v1/vms replaces it, which is visible after the lag. */
class VmList final : public Standin
{
public:
    VmList(asio::io_context &context, const VmListOptions &options)
        : context(context)
        , options(options)
        , visibleVms(options.vms)
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
        HttpReply reply;
        if (request.target() == "/control") {
            reply = handleFaultRequest(this->faults, request.body());
        } else if (request.method_string() == "PUT") {
            asio::co_spawn(this->context, this->publishAfterLag(request.body()), asio::detached);
            reply.body = "{}";
        } else if (this->faults.shouldInject("down")) {
            reply.status = 503;
        } else {
            reply.body = this->visibleVms;
        }
        co_await exchange.respond(reply);
    }

    asio::awaitable<void> publishAfterLag(std::string vms)
    {
        co_await sleepMs(this->options.lagMs);
        this->visibleVms = std::move(vms);
    }

    asio::io_context &context;
    VmListOptions options;
    std::string visibleVms;
    FaultInjector faults;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startVmList(asio::io_context &context, const VmListOptions &options)
{
    return std::make_unique<VmList>(context, options);
}

} // namespace monsoonbay::standins
