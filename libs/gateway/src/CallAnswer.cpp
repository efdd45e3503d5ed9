#include "CallAnswer.h"

#include <algorithm>

#include "CallerAuthentication.h"
#include "CallerMemory.h"
#include "EndToEndHeaders.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

/** Subtracted from the caller's remaining time, so that no target works past its deadline. */
constexpr Duration deadlineMargin = std::chrono::milliseconds(10);

bool isEventStream(const ResponseHead &head)
{
    return head[http::field::content_type].starts_with("text/event-stream");
}

/** Passes on the answer as it comes, from `piece` on, whose read had the result `end`. */
asio::awaitable<AttemptResult> passPieces(ActiveCall &call, CallerStream &callerStream,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece, std::string piece,
                                          BodyRead end)
{
    while (true) {
        if (!piece.empty()) {
            onPiece();
            const bool passed = co_await callerStream.pass(exchange, std::move(piece));
            if (!passed) {
                exchange.abandon();
                call.closeConnection = true;
                co_return AttemptResult::CallerDisconnected;
            }
        }
        if (callerStream.isEventTooLong())
            exchange.abandon();
        if (end == BodyRead::Broken || callerStream.isEventTooLong())
            co_return AttemptResult::Broken;
        if (end == BodyRead::End)
            break;
        end = co_await exchange.read(piece);
    }
    call.bodyDelimiter = exchange.bodyDelimiter();
    call.trailingBytes = callerStream.trailingBytes();
    co_return co_await callerStream.finish(exchange);
}

asio::awaitable<AttemptResult> passStream(ActiveCall &call, CallerStream &callerStream,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece)
{
    callerStream.restart();
    std::string piece;
    const BodyRead end = co_await exchange.read(piece);
    co_return co_await passPieces(call, callerStream, exchange, onPiece, std::move(piece), end);
}

asio::awaitable<AttemptResult> passBuffered(ActiveCall &call, CallAnswer &answer,
                                            TargetExchange &exchange)
{
    HttpReply reply;
    reply.status = exchange.status();
    reply.contentType.clear();
    reply.headers = endToEndHeaders(exchange.head());
    const BodyEnd end = co_await readFully(call, exchange, reply.body);
    const bool succeeds = reply.status < 300;
    if (end == BodyEnd::TooLong && succeeds && !answer.callerStream.started()) {
        answer.callerStream.passUnsplit();
        const std::function<void()> onPiece = [] {
        };
        co_return co_await passPieces(call, answer.callerStream, exchange, onPiece,
                                      std::move(reply.body), BodyRead::Some);
    }
    if (end != BodyEnd::Complete) {
        exchange.abandon();
        co_return AttemptResult::Broken;
    }
    call.bodyDelimiter = exchange.bodyDelimiter();
    const BodyDelimiter delimiter = call.bodyDelimiter;
    if (reply.status >= 500 && !answer.callerStream.started()) {
        answer.fallback = {true, std::move(reply), delimiter};
        co_return AttemptResult::Failed;
    }
    if (answer.callerStream.started())
        co_return AttemptResult::Broken;
    const bool written =
        co_await writeAnswer(call, std::move(reply), ForwardOutcome::FromTarget, delimiter);
    if (!written)
        co_return AttemptResult::CallerDisconnected;
    co_return delimiter == BodyDelimiter::SelfDelimited ? AttemptResult::Done
                                                        : AttemptResult::Unverified;
}

} // namespace

std::shared_ptr<TargetRequest> requestFor(const ActiveCall &call, const SendMetadata &metadata)
{
    std::shared_ptr<TargetRequest> request = requestWithBodyOf(call.request);
    request->version(11);
    request->method_string(call.request->method_string());
    request->target(call.request->target());
    for (const HttpHeader &header : endToEndHeaders(*call.request))
        request->insert(header.name, header.value);
    call.node.platform->writeSendMetadata(*request, metadata);
    if (hasBody(call))
        request->content_length(request->body().size());
    return request;
}

SendMetadata sendMetadataOf(const ActiveCall &call, const CallAnswer &answer)
{
    SendMetadata metadata;
    metadata.workspace = call.workspace;
    if (call.metadata.timeLeft)
        metadata.timeLeft = std::max(timeLeft(call) - deadlineMargin, Duration::zero());
    metadata.expectedVersion = versionInForce(call.node, call.metadata.adapter);
    metadata.urgency = priorityOf(call);
    metadata.resumeAfter = answer.callerStream.lastId();
    return metadata;
}

asio::awaitable<BodyEnd> readFully(ActiveCall &call, TargetExchange &exchange, std::string &body)
{
    std::string piece;
    while (true) {
        const BodyRead end = co_await exchange.read(piece);
        body += piece;
        if (end == BodyRead::Broken)
            co_return BodyEnd::Broken;
        if (end == BodyRead::End)
            co_return BodyEnd::Complete;
        if (!mayHoldAnswer(call, body.size()))
            co_return BodyEnd::TooLong;
    }
}

asio::awaitable<AttemptResult> passAnswer(ActiveCall &call, CallAnswer &answer,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece)
{
    const bool streaming = exchange.status() < 300 && isEventStream(exchange.head());
    if (streaming)
        co_return co_await passStream(call, answer.callerStream, exchange, onPiece);
    co_return co_await passBuffered(call, answer, exchange);
}

asio::awaitable<void> answerFailure(ActiveCall &call, CallAnswer &answer, LocalReply last)
{
    if (answer.callerStream.started()) {
        answer.callerStream.abort();
        logEvent(EventId::StreamCut,
                 {{"call", call.metadata.attemptId},
                  {"timedOut", call.timedOut ? "yes" : "no"},
                  {"sends", std::to_string(call.attempts)}});
        co_return;
    }
    if (answer.fallback.present) {
        HttpReply reply = std::move(answer.fallback.reply);
        call.node.metrics.add(Counter::RequestsFailed);
        co_await writeAnswer(call, std::move(reply), ForwardOutcome::FromTarget,
                             answer.fallback.delimiter);
        co_return;
    }
    if (call.mayHaveRun) {
        last.status = call.timedOut ? 504 : 502;
        last.reason = call.timedOut ? "deadline exceeded; the call may have run"
                                    : "the answer was lost; the call may have run";
        last.retryAfter = Duration::zero();
    }
    co_await sendLocalReply(call, std::move(last));
}

} // namespace monsoonbay
