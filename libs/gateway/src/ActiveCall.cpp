#include "ActiveCall.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "observe/Events.h"

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

ActiveCall::ActiveCall(GatewayNode &node, beast::tcp_stream &caller, HttpRequest request)
    : node(node)
    , caller(caller)
    , request(std::make_shared<HttpRequest>(std::move(request)))
    , arrivedAt(BootClock::now())
{ }

std::string callerAddressOf(const ActiveCall &call)
{
    if (call.forwarded)
        return call.forwarded->callerAddress;
    boost::system::error_code ignored; // the caller may have gone; its call still has an identity
    return call.caller.socket().remote_endpoint(ignored).address().to_string();
}

bool hasBody(const ActiveCall &call)
{
    if (call.forwarded)
        return call.forwarded->hasBody;
    return !call.request->body().empty() || call.request->has_content_length()
        || call.request->chunked();
}

CallIdentity identityOf(const ActiveCall &call)
{
    const std::string_view method(call.request->method_string().data(),
                                  call.request->method_string().size());
    CallIdentity identity =
        identifyCall(method, call.host, call.path, call.request->body(), callerAddressOf(call));
    identity.parts = sharedPartsOf(call.metadata.prompt);
    return identity;
}

Duration timeLeft(const ActiveCall &call)
{
    return std::max(call.deadline - BootClock::now(), Duration::zero());
}

void recordPiece(ActiveCall &call)
{
    const Instant now = BootClock::now();
    if (call.firstPieceAt == Instant{}) {
        call.firstPieceAt = now;
        call.node.metrics.record(Timing::FirstPiece, toSeconds(now - call.arrivedAt));
    } else {
        call.longestGap = std::max(call.longestGap, now - call.lastPieceAt);
        call.node.metrics.record(Timing::BetweenPieces, toSeconds(now - call.lastPieceAt));
    }
    call.lastPieceAt = now;
}

namespace {

void setResetOnClose(ActiveCall &call, bool reset)
{
    boost::system::error_code ignored; // the connection may have ended already
    call.caller.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

} // namespace

void resetOnClose(ActiveCall &call)
{
    call.closeConnection = true;
    setResetOnClose(call, true);
}

void stopResetOnClose(ActiveCall &call)
{
    setResetOnClose(call, false);
}

void abortAnswer(ActiveCall &call)
{
    resetOnClose(call);
    boost::system::error_code ignored;
    call.caller.socket().close(ignored);
}

asio::awaitable<bool> writeAnswer(ActiveCall &call, HttpReply reply, ForwardOutcome outcome,
                                  BodyDelimiter delimiter)
{
    call.answerStarted = true;
    http::response<http::string_body> response(static_cast<http::status>(reply.status),
                                               call.request->version());
    for (const HttpHeader &header : reply.headers)
        response.insert(header.name, header.value);
    if (!reply.contentType.empty())
        response.set(http::field::content_type, reply.contentType);
    call.closeConnection = call.closeConnection || call.node.shuttingDown;
    if (call.forwarded)
        writeForwardReport(response, {outcome, call.runsStarted, delimiter, std::string()});
    const bool framed = call.forwarded || delimiter == BodyDelimiter::SelfDelimited;
    if (!framed)
        resetOnClose(call);
    response.keep_alive(call.request->keep_alive() && !call.closeConnection);
    response.body() = std::move(reply.body);
    if (framed)
        response.prepare_payload();
    call.caller.expires_after(callerWriteTimeout);
    auto [error, bytes] = co_await http::async_write(call.caller, response, nothrowAwaitable);
    if (error)
        call.closeConnection = true;
    else if (!framed)
        stopResetOnClose(call);
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

asio::awaitable<void> sendLocalReply(ActiveCall &call, LocalReply answer)
{
    const bool ours = answer.status == 503 || (answer.status >= 400 && answer.status < 500);
    const bool notRun = ours && !call.mayHaveRun;
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
             {{"call", call.metadata.attemptId},
              {"status", std::to_string(answer.status)},
              {"reason", answer.reason},
              {"route", call.route != nullptr ? call.route->name : call.host + call.path},
              {"afterMs", std::to_string(toSeconds(BootClock::now() - call.arrivedAt) * 1000)},
              {"forecastMs", millisText(answer.forecast)},
              {"sends", std::to_string(call.attempts)},
              {"workspace", call.workspace},
              {"key", call.key ? shortText(*call.key) : std::string()},
              {"configVersion", std::to_string(call.routes->config().version)}});
    if (!call.forwarded)
        call.node.metrics.add(refused ? Counter::RequestsRefused : Counter::RequestsFailed);
    co_await writeAnswer(call, std::move(reply),
                         call.mayHaveRun ? ForwardOutcome::MayHaveRun : ForwardOutcome::NotRun);
}

} // namespace monsoonbay
