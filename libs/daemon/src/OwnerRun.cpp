#include "OwnerRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "OwnerLoop.h"
#include "observe/Events.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view doneLine = "data: [DONE]";
constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr Duration cancelTimeout = std::chrono::seconds(2);

/** Progress and outcome of a run. */
struct RunProgress
{
    ErrorKind kind = ErrorKind::Ok;
    bool dispatched = false;
    bool ended = false; ///< the engine is known to have ended the request
    std::uint64_t pieces = 0;
};

HttpCall engineCall(const v1::RunRequest &request)
{
    HttpCall call;
    if (request.resume()) {
        call.path = "/v1/requests/" + request.request_id();
        call.path +=
            request.stream() ? "?from=" + std::to_string(request.resume_from()) : "?whole=1";
    } else {
        call.method = "POST";
        call.path = request.path();
        call.body = request.body();
        call.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    }
    if (!request.traceparent().empty())
        call.headers.push_back(HttpHeader{"traceparent", request.traceparent()});
    return call;
}

bool isForRequest(const Json &answer, const v1::RunRequest &request)
{
    return answer.is_object() && valueOr(answer, "id", std::string()) == request.request_id()
        && valueOr(answer, "model", std::string()) == request.adapter();
}

void reportWrongAnswer(Node &node, const v1::RunRequest &request)
{
    node.metrics.add(Counter::WrongAnswers);
    const std::optional<TargetInfo> info = findTarget(node, TargetId{request.target()});
    logEvent(EventId::WrongAnswer,
             {{"target", info ? info->declaration.name : "unknown"},
              {"adapter", request.adapter()},
              {"request", request.request_id()}});
}

/** Reads an engine's event stream and passes on each event once, in order. */
asio::awaitable<void> passStream(Node &node, const v1::RunRequest &request,
                                 HttpClientStream &stream, RunSink &sink, RunProgress &progress)
{
    std::uint64_t expected = request.resume_from();
    std::string buffer;
    std::string piece;
    bool done = false;
    progress.kind = ErrorKind::BrokenStream;
    while (!done) {
        const std::error_code error = co_await stream.read(piece);
        if (error)
            co_return;
        if (piece.empty())
            break;
        buffer += piece;
        std::size_t begin = 0;
        for (std::size_t end = buffer.find(eventEnd); end != std::string::npos;
             end = buffer.find(eventEnd, begin)) {
            const std::string_view event = std::string_view(buffer).substr(begin, end - begin);
            begin = end + eventEnd.size();
            if (event == doneLine) {
                done = true;
                break;
            }
            if (!event.starts_with(dataPrefix))
                continue;
            const Json json = parseJson(event.substr(dataPrefix.size()));
            if (!isForRequest(json, request)) {
                reportWrongAnswer(node, request);
                progress.kind = ErrorKind::WrongAnswer;
                co_return;
            }
            const std::uint64_t position = valueOr(json, "index", std::uint64_t{0});
            if (position < expected) {
                node.metrics.add(Counter::PiecesDropped);
                continue;
            }
            if (position > expected)
                co_return;
            v1::RunEvent message;
            message.mutable_piece()->set_position(position);
            message.mutable_piece()->set_data(std::string(event) + std::string(eventEnd));
            ++expected;
            node.metrics.add(Counter::TokensStreamed);
            if (!co_await sink.write(message)) {
                progress.kind = ErrorKind::CallerGone;
                co_return;
            }
        }
        buffer.erase(0, begin);
        if (buffer.size() > maxEventBytes)
            co_return;
    }
    progress.ended = true;
    progress.pieces = expected;
    if (done) {
        progress.kind = ErrorKind::Ok;
        co_return;
    }
    // The engine closed the stream properly, but without its end marker: a short answer.
    logEvent(EventId::ShortAnswer, {{"request", request.request_id()}});
}

asio::awaitable<void> passBuffered(Node &node, const v1::RunRequest &request,
                                   HttpClientStream &stream, RunSink &sink, RunProgress &progress)
{
    std::string body;
    std::string piece;
    progress.kind = ErrorKind::BrokenStream;
    while (true) {
        const std::error_code error = co_await stream.read(piece);
        if (error)
            co_return;
        if (piece.empty())
            break;
        body += piece;
    }
    progress.ended = true;
    const Json json = parseJson(body);
    if (!isForRequest(json, request)) {
        reportWrongAnswer(node, request);
        progress.kind = ErrorKind::WrongAnswer;
        co_return;
    }
    v1::RunEvent message;
    message.mutable_piece()->set_position(0);
    message.mutable_piece()->set_data(body);
    progress.pieces = 1;
    progress.kind = co_await sink.write(message) ? ErrorKind::Ok : ErrorKind::CallerGone;
}

asio::awaitable<void> cancelAtEngine(Node &node, Endpoint endpoint, std::string requestId)
{
    HttpCall call;
    call.method = "DELETE";
    call.path = "/v1/requests/" + requestId;
    co_await node.http.call(endpoint, std::move(call), cancelTimeout);
}

ErrorKind kindOfStatus(int status, const std::string &body, bool resume)
{
    const bool unknownHere = resume && status == 404;
    if (unknownHere)
        return ErrorKind::MayHaveRun;
    if (status == 409 && body.find("not-resident") != std::string::npos)
        return ErrorKind::NotResident;
    if (status == 400)
        return ErrorKind::BadRequest;
    if (status == 429)
        return ErrorKind::Overloaded;
    return ErrorKind::MayHaveRun;
}

asio::awaitable<RunProgress> runPinned(Node &node, const v1::RunRequest &request,
                                       const TargetInfo &info, std::shared_ptr<RunSink> sink)
{
    RunProgress progress;
    const auto executor = co_await asio::this_coro::executor;
    const auto stream = std::make_shared<HttpClientStream>(node.http, info.endpoint);
    sink->onDisconnect([executor, weak = std::weak_ptr(stream)] {
        asio::post(executor, [weak] {
            if (const auto open = weak.lock())
                open->cancel();
        });
    });
    const Duration left = std::chrono::milliseconds(request.deadline_ms());
    HttpCall call = engineCall(request);
    node.metrics.add(Counter::EngineCalls);
    const HttpResult head = co_await stream->begin(std::move(call), left);
    progress.dispatched = head.sent;
    if (head.error) {
        progress.kind = sink->isDisconnected() ? ErrorKind::CallerGone
            : head.sent                        ? ErrorKind::BrokenStream
                                               : ErrorKind::NoTarget;
        progress.ended = !head.sent;
        co_return progress;
    }
    if (head.status != 200) {
        std::string body;
        co_await stream->read(body);
        progress.kind = kindOfStatus(head.status, body, request.resume());
        // With these the engine itself states that it ran nothing.
        const bool ranNothing = progress.kind != ErrorKind::MayHaveRun;
        progress.dispatched = !ranNothing;
        progress.ended = ranNothing;
        co_return progress;
    }
    if (request.stream())
        co_await passStream(node, request, *stream, *sink, progress);
    else
        co_await passBuffered(node, request, *stream, *sink, progress);
    if (sink->isDisconnected())
        progress.kind = ErrorKind::CallerGone;
    co_return progress;
}

v1::RunEvent endEvent(const RunProgress &progress)
{
    v1::RunEvent event;
    event.mutable_end()->set_kind(static_cast<int>(progress.kind));
    event.mutable_end()->set_dispatched(progress.dispatched);
    event.mutable_end()->set_pieces(progress.pieces);
    return event;
}

/** Ends the run at once with the report that nothing ran. */
asio::awaitable<void> decline(RunSink &sink, ErrorKind kind)
{
    RunProgress progress;
    progress.kind = kind;
    const v1::RunEvent event = endEvent(progress);
    co_await sink.write(event);
}

ErrorKind mayRun(Node &node, const v1::RunRequest &request, const std::optional<TargetInfo> &info)
{
    if (!info)
        return ErrorKind::NoTarget;
    const TargetId target{request.target()};
    const bool dispatch = node.ownership.with(
        [&](const OwnershipState &state) { return mayDispatch(state, target, BootClock::now()); });
    if (!dispatch)
        return ErrorKind::NotOwner;
    return info->leaving && !request.resume() ? ErrorKind::TargetLeaving : ErrorKind::Ok;
}

/** Begins the owner's span; the engine sees it as its parent. */
Span beginSpan(Node &node, v1::RunRequest &request)
{
    Span span;
    const std::optional<TraceContext> parent = parseTraceparent(request.traceparent());
    if (!isTraced(node) || !parent)
        return span;
    span.context = childOf(parent);
    span.parentSpanId = parent->spanId;
    span.name = request.resume() ? "owner resume" : "owner run";
    span.startNanos = unixNanos();
    request.set_traceparent(traceparentOf(span.context));
    return span;
}

void endSpan(Node &node, Span span, const TargetInfo &info, const RunProgress &progress)
{
    if (span.startNanos == 0)
        return;
    span.endNanos = unixNanos();
    span.failed = progress.kind != ErrorKind::Ok;
    span.attributes = {{"target", info.declaration.name},
                       {"end", std::string(errorName(progress.kind))},
                       {"pieces", std::to_string(progress.pieces)}};
    node.spans.add(std::move(span));
}

} // namespace

asio::awaitable<void> runOnTarget(Node &node, v1::RunRequest request, std::shared_ptr<RunSink> sink)
{
    const TargetId target{request.target()};
    const AdapterId adapter = AdapterId::of(request.adapter());
    const std::optional<TargetInfo> info = findTarget(node, target);
    const ErrorKind refusal = mayRun(node, request, info);
    if (refusal != ErrorKind::Ok) {
        co_await decline(*sink, refusal);
        co_return;
    }
    const std::shared_ptr<OwnedEngine> engine = engineOf(node, target);
    const std::optional<SlotPin> held =
        engine->table.with([&](SlotTable &table) { return pin(table, adapter); });
    if (!held && !request.resume()) {
        co_await decline(*sink, ErrorKind::NotResident);
        co_return;
    }
    ++node.ownerRuns;
    Span span = beginSpan(node, request);
    const RunProgress progress = co_await runPinned(node, request, *info, sink);
    if (held)
        engine->table.with([&](SlotTable &table) {
            unpin(table, *held, progress.ended);
            if (progress.kind == ErrorKind::NotResident)
                markNotResident(table, adapter);
        });
    --node.ownerRuns;
    endSpan(node, std::move(span), *info, progress);
    if (progress.kind == ErrorKind::NotResident)
        reportTarget(node, target);
    const bool abandoned = progress.kind == ErrorKind::CallerGone && !progress.ended;
    if (abandoned)
        asio::co_spawn(asio::make_strand(node.context),
                       cancelAtEngine(node, info->endpoint, request.request_id()), asio::detached);
    const v1::RunEvent end = endEvent(progress);
    co_await sink->write(end);
}

} // namespace monsoonbay
