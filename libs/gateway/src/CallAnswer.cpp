#include "CallAnswer.h"

#include <algorithm>

#include "CallerAccess.h"
#include "PassedHeaders.h"
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

asio::awaitable<SendEnd> passWhole(CallRun &run, CallAnswer &answer, TargetExchange &exchange)
{
    HttpReply reply;
    reply.status = exchange.status();
    reply.contentType.clear();
    reply.headers = passedHeaders(exchange.head());
    const bool whole = co_await readWhole(exchange, reply.body);
    if (!whole)
        co_return SendEnd::Broken;
    run.endShownBy = exchange.endShownBy();
    const AnswerEnd shownBy = run.endShownBy;
    if (reply.status >= 500 && !answer.relay.begun()) {
        answer.kept = {true, std::move(reply), shownBy};
        co_return SendEnd::Failed;
    }
    if (answer.relay.begun())
        co_return SendEnd::Broken;
    const bool written =
        co_await writeAnswer(run, std::move(reply), ForwardOutcome::FromTarget, shownBy);
    if (!written)
        co_return SendEnd::CallerLost;
    co_return shownBy == AnswerEnd::Framing ? SendEnd::Done : SendEnd::Unproved;
}

asio::awaitable<SendEnd> passStream(CallRun &run, StreamRelay &relay, TargetExchange &exchange,
                                    const std::function<void()> &pieceCame)
{
    relay.restart();
    std::string piece;
    while (true) {
        const BodyRead end = co_await exchange.read(piece);
        if (!piece.empty()) {
            pieceCame();
            const bool passed = co_await relay.pass(exchange, std::move(piece));
            if (!passed) {
                exchange.abandon();
                run.closeAfter = true;
                co_return SendEnd::CallerLost;
            }
        }
        if (end == BodyRead::Broken)
            co_return SendEnd::Broken;
        if (end == BodyRead::Some)
            continue;
        run.endShownBy = exchange.endShownBy();
        run.leftOver = relay.leftOver();
        co_return co_await relay.finish(exchange);
    }
}

} // namespace

std::shared_ptr<HttpRequest> requestFor(const CallRun &run, const SendMetadata &facts)
{
    auto request = std::make_shared<HttpRequest>();
    request->version(11);
    request->method_string(run.request->method_string());
    request->target(run.request->target());
    for (const HttpHeader &header : passedHeaders(*run.request))
        request->insert(header.name, header.value);
    run.node.platform->writeSend(*request, facts);
    request->body() = run.request->body();
    if (hasBody(run))
        request->content_length(request->body().size());
    return request;
}

SendMetadata sendFactsOf(const CallRun &run, const CallAnswer &answer)
{
    SendMetadata facts;
    facts.workspace = run.workspace;
    if (run.facts.timeLeft)
        facts.timeLeft = std::max(timeLeft(run) - timeMargin, Duration::zero());
    facts.expectedVersion = versionInForce(run.node, run.facts.adapter);
    facts.urgency = priorityOf(run);
    facts.resumeAfter = answer.relay.lastId();
    return facts;
}

void noteSend(CallRun &run)
{
    ++run.sends;
    if (!run.repeatTakenAt)
        return;
    recordRetrySent(run.node.retryBudgets[run.service], run.node.settings.retries,
                    *run.repeatTakenAt, BootClock::now());
    run.repeatTakenAt.reset();
}

asio::awaitable<bool> readWhole(TargetExchange &exchange, std::string &body)
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

asio::awaitable<SendEnd> passAnswer(CallRun &run, CallAnswer &answer, TargetExchange &exchange,
                                    const std::function<void()> &pieceCame)
{
    const bool streaming = exchange.status() < 300 && isEventStream(exchange.head());
    if (streaming)
        co_return co_await passStream(run, answer.relay, exchange, pieceCame);
    co_return co_await passWhole(run, answer, exchange);
}

asio::awaitable<void> giveUp(CallRun &run, CallAnswer &answer, OwnAnswer last)
{
    if (answer.relay.begun()) {
        answer.relay.cut();
        logEvent(EventId::StreamCut,
                 {{"call", run.facts.attemptId},
                  {"timedOut", run.timedOut ? "yes" : "no"},
                  {"sends", std::to_string(run.sends)}});
        co_return;
    }
    if (answer.kept.there) {
        HttpReply reply = std::move(answer.kept.reply);
        run.node.metrics.add(Counter::RequestsFailed);
        co_await writeAnswer(run, std::move(reply), ForwardOutcome::FromTarget, answer.kept.end);
        co_return;
    }
    if (run.mayHaveRun) {
        last.status = run.timedOut ? 504 : 502;
        last.reason = run.timedOut ? "the time ran out; the call may have run"
                                   : "the answer was lost; the call may have run";
        last.retryAfter = Duration::zero();
    }
    co_await answerOwn(run, std::move(last));
}

} // namespace monsoonbay
