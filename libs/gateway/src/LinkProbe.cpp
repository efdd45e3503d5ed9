#include "LinkProbe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "TargetPool.h"
#include "transport/AnswerParser.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

/** Reports of engines hold some bytes for each adapter. */
constexpr std::uint64_t maxAnswerBytes = 256 * 1024;
constexpr std::uint32_t headerLimit = 16 * 1024;

using Answer = http::response_parser<http::string_body>;

std::string probePathOf(const GatewayNode &node, const std::string &service)
{
    const ServiceSpec *spec = node.routes->findService(service);
    return spec == nullptr ? std::string() : node.platform->probePath(*spec);
}

/** True if the target itself has answered. */
asio::awaitable<bool> exchange(GatewayNode &node, TargetConnection &connection,
                               const http::request<http::empty_body> &request, Answer &answer)
{
    auto [writeError, written] =
        co_await http::async_write(connection.socket, request, nothrowAwaitable);
    if (writeError)
        co_return false;
    answer.body_limit(maxAnswerBytes);
    answer.header_limit(headerLimit);
    auto [readError, bytes] =
        co_await http::async_read(connection.socket, connection.buffer, answer, nothrowAwaitable);
    if (readError || checkAnswerHead(answer.get()))
        co_return false;
    co_return node.platform->isTargetAnswer(answer.get(), answer.get().body());
}

/** As exchange(), until the time is over. */
asio::awaitable<ProbeResult> exchangeInTime(GatewayNode &node, TargetConnectionPtr connection,
                                            const http::request<http::empty_body> &request,
                                            Duration timeout, Answer &answer)
{
    asio::steady_timer limit(node.context, timeout);
    closeOnExpiry(limit, connection);
    const bool answered = co_await exchange(node, *connection, request, answer);
    limit.cancel();
    if (answered)
        co_return ProbeResult::Answered;
    co_return connection->socket.is_open() ? ProbeResult::Unanswered : ProbeResult::Silent;
}

} // namespace

asio::awaitable<ProbeOutcome> probeTarget(GatewayNode &node, TargetEntry target, Duration timeout)
{
    const Instant end = BootClock::now() + timeout;
    ConnectResult connect = co_await connectTo(node.context, target.endpoint, timeout);
    if (!connect.connection)
        co_return ProbeOutcome{ProbeResult::Unreachable, connect.error};
    const TargetConnectionPtr connection = connect.connection;
    const std::string path = probePathOf(node, target.service);
    Duration keepAlive = Duration::zero();
    if (!path.empty()) {
        http::request<http::empty_body> request(http::verb::get, path, 11);
        request.set(http::field::host, target.endpoint.text());
        Answer answer;
        const ProbeResult result =
            co_await exchangeInTime(node, connection, request, end - BootClock::now(), answer);
        const bool reusable = result == ProbeResult::Answered && answer.keep_alive()
            && connection->buffer.size() == 0 && connection->socket.is_open();
        if (!reusable) {
            closeConnection(*connection);
            co_return ProbeOutcome{result, {}};
        }
        keepAlive = announcedKeepAlive(answer.get());
    }
    giveBack(runtimeOf(node, target.id).pool, connection, keepAlive, BootClock::now());
    co_return ProbeOutcome{ProbeResult::Answered, {}};
}

} // namespace monsoonbay
