#include <deque>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Support.h"
#include "standins/Standins.h"

namespace monsoonbay::standins {

namespace {

/**
 * POST /v1/append {"stream","body"} appends a record and returns {"offset"}.
 * GET /v1/read?from=N&max=M&waitMs=W returns
 * {"first","next","records":[{"offset","stream","body"}]}: at most M records from offset N on,
 * after waiting up to W ms for an append if there is none yet. Offsets start at 1.
 */
class Log final : public Standin
{
public:
    Log(asio::io_context &context, const LogOptions &options)
        : options(options)
        , server(
              context, options.listen,
              [this](HttpExchange &exchange) { return this->handle(exchange); },
              HttpLimits{.maxBodyBytes = 256 * 1024 * 1024})
    { }

    std::uint16_t port() const override
    {
        return this->server.port();
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        const std::string_view path = pathOf(target);
        if (path == "/control") {
            co_await exchange.respond(this->control(exchange.request().body()));
            co_return;
        }
        if (this->faults.shouldInject("down")) {
            co_await exchange.respond(errorReply(503, "log is down"));
            co_return;
        }
        if (path == "/v1/append")
            co_await this->append(exchange);
        else if (path == "/v1/read")
            co_await this->read(exchange, target);
        else
            co_await exchange.respond(errorReply(404, "no such path"));
    }

    /** Sets a fault; "truncate" drops the oldest records at once, down to its parameter. */
    HttpReply control(const std::string &body)
    {
        HttpReply reply = handleFaultRequest(this->faults, body);
        if (this->faults.shouldInject("truncate")) {
            const auto maxKept = static_cast<std::size_t>(this->faults.parameter("truncate"));
            while (this->records.size() > maxKept)
                this->records.pop_front();
        }
        return reply;
    }

    asio::awaitable<void> append(HttpExchange &exchange)
    {
        const Json body = Json::parse(exchange.request().body(), nullptr, false);
        const bool valid = body.is_object() && body.contains("stream") && body.contains("body");
        if (!valid) {
            co_await exchange.respond(errorReply(400, "stream or body is missing"));
            co_return;
        }
        const std::uint64_t offset = this->next++;
        this->records.push_back(
            {{"offset", offset}, {"stream", body["stream"]}, {"body", body["body"]}});
        if (this->records.size() > this->options.retainedRecords)
            this->records.pop_front();
        this->wakeReaders();
        if (this->faults.shouldInject("lostAnswer")) {
            exchange.abort();
            co_return;
        }
        const HttpReply reply = jsonReply(200, {{"offset", offset}});
        co_await exchange.respond(reply);
    }

    asio::awaitable<void> read(HttpExchange &exchange, std::string target)
    {
        const std::uint64_t from = queryNumber(target, "from", 1);
        const std::uint64_t maxRecords = queryNumber(target, "max", 1000);
        const std::uint64_t waitMs = queryNumber(target, "waitMs", 0);
        if (from >= this->next && waitMs > 0)
            co_await this->waitForAppend(waitMs);
        Json found = Json::array();
        const std::uint64_t first = this->next - this->records.size();
        for (std::uint64_t offset = std::max(from, first); offset < this->next; ++offset) {
            if (found.size() >= maxRecords)
                break;
            found.push_back(this->records[offset - first]);
        }
        const HttpReply reply =
            jsonReply(200, {{"first", first}, {"next", this->next}, {"records", found}});
        co_await exchange.respond(reply);
    }

    asio::awaitable<void> waitForAppend(std::uint64_t waitMs)
    {
        auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                          std::chrono::milliseconds(waitMs));
        this->waitingReaders.push_back(timer);
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
        std::erase(this->waitingReaders, timer);
    }

    void wakeReaders()
    {
        for (const auto &timer : this->waitingReaders)
            timer->cancel();
    }

    LogOptions options;
    FaultInjector faults;
    std::uint64_t next = 1; ///< offset of the next record
    std::deque<Json> records;
    std::vector<std::shared_ptr<asio::steady_timer>> waitingReaders;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startLog(asio::io_context &context, const LogOptions &options)
{
    return std::make_unique<Log>(context, options);
}

} // namespace monsoonbay::standins
