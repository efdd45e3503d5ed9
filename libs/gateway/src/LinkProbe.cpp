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
asio::awaitable<bool> exchange(GatewayNode &node, TargetConnection &connection, std::string path,
                               Answer &answer)
{
    http::request<http::empty_body> request(http::verb::get, path, 11);
    boost::system::error_code noAddress; // the connection may have ended
    const auto remote = connection.socket.remote_endpoint(noAddress);
    request.set(http::field::host, Endpoint{remote.address().to_string(), remote.port()}.text());
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
        asio::steady_timer limit(node.context, end - BootClock::now());
        limit.async_wait(
            [weak = std::weak_ptr<TargetConnection>(connection)](boost::system::error_code error) {
                const TargetConnectionPtr late = weak.lock();
                if (!error && late)
                    closeConnection(*late);
            });
        Answer answer;
        const bool answered = co_await exchange(node, *connection, path, answer);
        limit.cancel();
        const bool inTime = connection->socket.is_open();
        if (!answered) {
            closeConnection(*connection);
            co_return ProbeOutcome{inTime ? ProbeResult::Unanswered : ProbeResult::Silent, {}};
        }
        const bool reusable = inTime && answer.keep_alive() && connection->buffer.size() == 0;
        if (!reusable) {
            closeConnection(*connection);
            co_return ProbeOutcome{ProbeResult::Answered, {}};
        }
        keepAlive = announcedKeepAlive(answer.get());
    }
    giveBack(runtimeOf(node, target.id).pool, connection, keepAlive, BootClock::now());
    co_return ProbeOutcome{ProbeResult::Answered, {}};
}

} // namespace monsoonbay
