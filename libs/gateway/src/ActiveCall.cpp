#include "ActiveCall.h"

#include <cerrno>

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "observe/Events.h"

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

ActiveCall::ActiveCall(GatewayNode &node, beast::tcp_stream &caller, HttpRequest request)
    : node(node)
    , caller(caller)
    , request(std::make_shared<HttpRequest>(std::move(request)))
    , arrivedAt(BootClock::now())
{ }

std::string callerAddressOf(const ActiveCall &run)
{
    if (run.forwarded)
        return run.forwarded->callerAddress;
    boost::system::error_code ignored; // of a caller that has gone; it is told apart all the same
    return run.caller.socket().remote_endpoint(ignored).address().to_string();
}

bool hasBody(const ActiveCall &run)
{
    if (run.forwarded)
        return run.forwarded->hasBody;
    return !run.request->body().empty() || run.request->has_content_length()
        || run.request->chunked();
}

CallIdentity identityOf(const ActiveCall &run)
{
    const std::string_view method(run.request->method_string().data(),
                                  run.request->method_string().size());
    return identifyCall(method, run.host, run.path, run.request->body(), callerAddressOf(run));
}

Duration timeLeft(const ActiveCall &run)
{
    return std::max(run.deadline - BootClock::now(), Duration::zero());
}

void recordPiece(ActiveCall &run)
{
    const Instant now = BootClock::now();
    if (run.firstPieceAt == Instant{}) {
        run.firstPieceAt = now;
        run.node.metrics.record(Timing::FirstPiece, toSeconds(now - run.arrivedAt));
    } else {
        run.longestGap = std::max(run.longestGap, now - run.lastPieceAt);
        run.node.metrics.record(Timing::BetweenPieces, toSeconds(now - run.lastPieceAt));
    }
    run.lastPieceAt = now;
}

void cancelActiveCall(ActiveCall &run)
{
    if (run.connection)
        closeConnection(*run.connection);
}

// The wait may be told of bytes that were read long before, so the peek never blocks and the wait
// goes on. A caller that has sent its next call already is not watched further: the end of its
// connection cannot be seen behind those bytes.
void watchCaller(const ActiveCallPtr &run)
{
    run->caller.socket().async_wait(
        tcp::socket::wait_read,
        [weak = std::weak_ptr<ActiveCall>(run)](boost::system::error_code error) {
            const ActiveCallPtr watched = weak.lock();
            if (!watched || watched->ended || error == asio::error::operation_aborted)
                return;
            char byte = 0;
            const int descriptor = watched->caller.socket().native_handle();
            const auto peeked = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (peeked > 0)
                return;
            if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                watchCaller(watched);
                return;
            }
            watched->callerDisconnected = true;
            cancelActiveCall(*watched);
        });
}

namespace {

void setReset(ActiveCall &run, bool reset)
{
    boost::system::error_code ignored; // of a connection that has ended already
    run.caller.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

} // namespace

void resetOnClose(ActiveCall &run)
{
    run.closeConnection = true;
    setReset(run, true);
}

void closeOrderly(ActiveCall &run)
{
    setReset(run, false);
}

void abortAnswer(ActiveCall &run)
{
    resetOnClose(run);
    boost::system::error_code ignored;
    run.caller.socket().close(ignored);
}

asio::awaitable<bool> writeAnswer(ActiveCall &run, HttpReply reply, ForwardOutcome outcome,
                                  BodyDelimiter end)
{
    run.answerStarted = true;
    http::response<http::string_body> response(static_cast<http::status>(reply.status),
                                               run.request->version());
    for (const HttpHeader &header : reply.headers)
        response.insert(header.name, header.value);
    if (!reply.contentType.empty())
        response.set(http::field::content_type, reply.contentType);
    run.closeConnection = run.closeConnection || run.node.shuttingDown;
    if (run.forwarded)
        writeForwardReport(response, {outcome, run.runsStarted, end, std::string()});
    const bool framed = run.forwarded || end == BodyDelimiter::SelfDelimited;
    if (!framed)
        resetOnClose(run);
    response.keep_alive(run.request->keep_alive() && !run.closeConnection);
    response.body() = std::move(reply.body);
    if (framed)
        response.prepare_payload();
    run.caller.expires_after(callerWriteTimeout);
    auto [error, bytes] = co_await http::async_write(run.caller, response, nothrowAwaitable);
    if (error)
        run.closeConnection = true;
    else if (!framed)
        closeOrderly(run);
    co_return !error;
}

LocalReply makeLocalReply(int status, std::string reason, Duration retryAfter)
{
    LocalReply answer;
    answer.status = status;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

asio::awaitable<void> sendLocalReply(ActiveCall &run, LocalReply answer)
{
    const bool ours = answer.status == 503 || (answer.status >= 400 && answer.status < 500);
    const bool notRun = ours && !run.mayHaveRun;
    HttpReply reply;
    reply.status = answer.status;
    reply.contentType = "application/problem+json";
    if (answer.retryAfter > Duration::zero())
        reply.headers.push_back({"Retry-After", std::to_string(toSeconds(answer.retryAfter))});
    const nlohmann::ordered_json problem{
        {"title", answer.reason}, {"status", answer.status}, {"notRun", notRun}};
    reply.body = problem.dump();
    const bool refused = answer.status == 503 || answer.status == 429;
    logEvent(refused ? EventId::CallRefused : EventId::CallFailed,
             {{"call", run.facts.attemptId},
              {"status", std::to_string(answer.status)},
              {"reason", answer.reason},
              {"route", run.route != nullptr ? run.route->name : run.host + run.path},
              {"afterMs", std::to_string(toSeconds(BootClock::now() - run.arrivedAt) * 1000)},
              {"forecastMs", millisText(answer.forecast)},
              {"sends", std::to_string(run.attempts)},
              {"workspace", run.workspace},
              {"key", run.key ? shortText(*run.key) : std::string()},
              {"configVersion", std::to_string(run.routes->config().version)}});
    if (!run.forwarded)
        run.node.metrics.add(refused ? Counter::RequestsRefused : Counter::RequestsFailed);
    co_await writeAnswer(run, std::move(reply),
                         run.mayHaveRun ? ForwardOutcome::MayHaveRun : ForwardOutcome::NotRun);
}

} // namespace monsoonbay
