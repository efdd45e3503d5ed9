#include "CallAnswer.h"

#include <algorithm>

#include "CallerAuthentication.h"
#include "EndToEndHeaders.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

/** Taken off what the caller will wait, so that a target never works past the caller's patience. */
constexpr Duration timeMargin = std::chrono::milliseconds(10);

bool isEventStream(const ResponseHead &head)
{
    return head[http::field::content_type].starts_with("text/event-stream");
}

asio::awaitable<AttemptResult> passWhole(ActiveCall &run, CallAnswer &answer,
                                         TargetExchange &exchange)
{
    HttpReply reply;
    reply.status = exchange.status();
    reply.contentType.clear();
    reply.headers = endToEndHeaders(exchange.head());
    const bool whole = co_await readFully(exchange, reply.body);
    if (!whole)
        co_return AttemptResult::Broken;
    run.bodyDelimiter = exchange.bodyDelimiter();
    const BodyDelimiter shownBy = run.bodyDelimiter;
    if (reply.status >= 500 && !answer.callerStream.started()) {
        answer.fallback = {true, std::move(reply), shownBy};
        co_return AttemptResult::Failed;
    }
    if (answer.callerStream.started())
        co_return AttemptResult::Broken;
    const bool written =
        co_await writeAnswer(run, std::move(reply), ForwardOutcome::FromTarget, shownBy);
    if (!written)
        co_return AttemptResult::CallerDisconnected;
    co_return shownBy == BodyDelimiter::SelfDelimited ? AttemptResult::Done
                                                      : AttemptResult::Unverified;
}

asio::awaitable<AttemptResult> passStream(ActiveCall &run, CallerStream &relay,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece)
{
    relay.restart();
    std::string piece;
    while (true) {
        const BodyRead end = co_await exchange.read(piece);
        if (!piece.empty()) {
            onPiece();
            const bool passed = co_await relay.pass(exchange, std::move(piece));
            if (!passed) {
                exchange.abandon();
                run.closeConnection = true;
                co_return AttemptResult::CallerDisconnected;
            }
        }
        if (end == BodyRead::Broken)
            co_return AttemptResult::Broken;
        if (end == BodyRead::Some)
            continue;
        run.bodyDelimiter = exchange.bodyDelimiter();
        run.trailingBytes = relay.trailingBytes();
        co_return co_await relay.finish(exchange);
    }
}

} // namespace

std::shared_ptr<HttpRequest> requestFor(const ActiveCall &run, const SendMetadata &facts)
{
    auto request = std::make_shared<HttpRequest>();
    request->version(11);
    request->method_string(run.request->method_string());
    request->target(run.request->target());
    for (const HttpHeader &header : endToEndHeaders(*run.request))
        request->insert(header.name, header.value);
    run.node.platform->writeSend(*request, facts);
    request->body() = run.request->body();
    if (hasBody(run))
        request->content_length(request->body().size());
    return request;
}

SendMetadata sendFactsOf(const ActiveCall &run, const CallAnswer &answer)
{
    SendMetadata facts;
    facts.workspace = run.workspace;
    if (run.facts.timeLeft)
        facts.timeLeft = std::max(timeLeft(run) - timeMargin, Duration::zero());
    facts.expectedVersion = versionInForce(run.node, run.facts.adapter);
    facts.urgency = priorityOf(run);
    facts.resumeAfter = answer.callerStream.lastId();
    return facts;
}

void recordAttempt(ActiveCall &run)
{
    ++run.attempts;
    if (!run.retryTakenAt)
        return;
    recordRetrySent(run.node.retryBudgets[run.service], run.node.settings.retries,
                    *run.retryTakenAt, BootClock::now());
    run.retryTakenAt.reset();
}

asio::awaitable<bool> readFully(TargetExchange &exchange, std::string &body)
{
    std::string piece;
    while (true) {
        const BodyRead end = co_await exchange.read(piece);
        body += piece;
        if (end == BodyRead::End)
            co_return true;
        if (end == BodyRead::Broken)
            co_return false;
    }
}

asio::awaitable<AttemptResult> passAnswer(ActiveCall &run, CallAnswer &answer,
                                          TargetExchange &exchange,
                                          const std::function<void()> &onPiece)
{
    const bool streaming = exchange.status() < 300 && isEventStream(exchange.head());
    if (streaming)
        co_return co_await passStream(run, answer.callerStream, exchange, onPiece);
    co_return co_await passWhole(run, answer, exchange);
}

asio::awaitable<void> answerFailure(ActiveCall &run, CallAnswer &answer, LocalReply last)
{
    if (answer.callerStream.started()) {
        answer.callerStream.cut();
        logEvent(EventId::StreamCut,
                 {{"call", run.facts.attemptId},
                  {"timedOut", run.timedOut ? "yes" : "no"},
                  {"sends", std::to_string(run.attempts)}});
        co_return;
    }
    if (answer.fallback.present) {
        HttpReply reply = std::move(answer.fallback.reply);
        run.node.metrics.add(Counter::RequestsFailed);
        co_await writeAnswer(run, std::move(reply), ForwardOutcome::FromTarget,
                             answer.fallback.end);
        co_return;
    }
    if (run.mayHaveRun) {
        last.status = run.timedOut ? 504 : 502;
        last.reason = run.timedOut ? "the time ran out; the call may have run"
                                   : "the answer was lost; the call may have run";
        last.retryAfter = Duration::zero();
    }
    co_await sendLocalReply(run, std::move(last));
}

} // namespace monsoonbay
