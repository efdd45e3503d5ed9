#include "Ingress.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "CallerRequest.h"
#include "Coordinator.h"
#include "KeyClient.h"
#include "OwnerRun.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr std::size_t keptBodyBytes = 64 * 1024;
constexpr Duration recheckInterval = std::chrono::milliseconds(200);

/** State of one request in progress; lives on the connection's strand. */
struct RequestRun
{
    RequestRun(Node &node, HttpExchange &exchange, CallerRequest request)
        : node(node)
        , exchange(exchange)
        , request(std::move(request))
    { }

    Node &node;
    HttpExchange &exchange;
    CallerRequest request;
    RequestLifecycle life;
    AttemptEnd lastEnd;
    std::string wholeBody; ///< a non-streamed answer, or the part of a streamed one to store
    Instant lastPieceAt{};
    Duration stalled{};
    Duration retryAfter{};
    bool callerGone = false;
    std::function<void()> cancelAttempt;
};

/** Result of looking for a target. */
struct FoundRoute
{
    std::optional<TargetRoute> route;
    ErrorKind refusal = ErrorKind::NoTarget;
};

asio::awaitable<bool> deliver(RequestRun &run, const std::string &data)
{
    const Instant now = BootClock::now();
    const bool first = run.life.delivered == 1 && !run.life.headDelivered;
    if (first)
        run.node.metrics.record(Timing::FirstPiece, toSeconds(now - run.request.arrived));
    else
        run.node.metrics.record(Timing::BetweenPieces, toSeconds(now - run.lastPieceAt));
    run.lastPieceAt = now;
    const bool kept = !run.request.streamed || !run.request.idempotencyKey.empty();
    if (kept && (!run.request.streamed || run.wholeBody.size() < keptBodyBytes))
        run.wholeBody += data;
    if (!run.request.streamed)
        co_return true;
    if (!run.life.headDelivered) {
        run.life.headDelivered = true;
        std::string type = "text/event-stream";
        const std::error_code error = co_await run.exchange.beginStream(200, std::move(type));
        if (error)
            co_return false;
    }
    const std::error_code error = co_await run.exchange.writeChunk(data);
    co_return !error;
}

/** Handles one event of an attempt; false if the caller is gone. */
asio::awaitable<bool> handleEvent(RequestRun &run, std::uint32_t attempt, const v1::RunEvent &event)
{
    if (event.has_end()) {
        run.lastEnd.attempt = attempt;
        run.lastEnd.kind = static_cast<ErrorKind>(event.end().kind());
        run.lastEnd.dispatched = event.end().dispatched();
        run.lastEnd.pieces = event.end().pieces();
        co_return true;
    }
    if (!event.has_piece())
        co_return true;
    if (!takePiece(run.life, attempt, event.piece().position())) {
        run.node.metrics.add(Counter::PiecesDropped);
        co_return true;
    }
    const bool delivered = co_await deliver(run, event.piece().data());
    if (!delivered)
        run.callerGone = true;
    co_return delivered;
}

/** Takes the place of the owner's connection when this VM owns the target itself. */
class LocalSink final : public RunSink
{
public:
    LocalSink(RequestRun &run, std::uint32_t attempt)
        : run(run)
        , attempt(attempt)
    { }

    asio::awaitable<bool> write(const v1::RunEvent &event) override
    {
        return handleEvent(this->run, this->attempt, event);
    }

    bool gone() const override
    {
        return this->run.callerGone;
    }

    void whenGone(std::function<void()> handler) override
    {
        if (this->run.callerGone)
            handler();
        else
            this->run.cancelAttempt = std::move(handler);
    }

private:
    RequestRun &run;
    std::uint32_t attempt;
};

v1::RunRequest runRequest(const RequestRun &run, TargetId target, bool resume)
{
    const CallerRequest &request = run.request;
    v1::RunRequest order;
    order.set_request_id(request.id);
    order.set_target(target.value);
    order.set_adapter(request.adapter.text());
    order.set_method(request.method);
    order.set_path(request.path);
    order.set_body(request.body);
    order.set_stream(request.streamed);
    const Duration left = request.deadline - BootClock::now();
    order.set_deadline_ms(std::max<std::int64_t>(1, left / std::chrono::milliseconds(1)));
    order.set_priority(request.priority);
    order.set_idempotent(request.idempotent);
    order.set_resume(resume);
    order.set_resume_from(run.life.delivered);
    order.set_traceparent(request.traceparent);
    return order;
}

asio::awaitable<void> attemptRemotely(RequestRun &run, const v1::RunRequest &order, VmId owner,
                                      std::uint32_t attempt)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(run.node, owner);
    if (!endpoint)
        co_return;
    const Duration timeout = std::chrono::milliseconds(order.deadline_ms());
    const std::shared_ptr<RemoteRun> remote = run.node.peers.run(*endpoint, order, timeout);
    run.cancelAttempt = [weak = std::weak_ptr(remote)] {
        if (const auto open = weak.lock())
            open->cancel();
    };
    // From here on a byte may have reached the owner, and through it the target: without an answer
    // the request may have run, unless the owner reports otherwise.
    run.lastEnd.dispatched = true;
    v1::RunEvent event;
    bool open = true;
    while (open) {
        open = co_await remote->read(event);
        if (!open)
            break;
        const bool more = co_await handleEvent(run, attempt, event);
        if (!more || event.has_end())
            break;
    }
}

asio::awaitable<void> attemptAt(RequestRun &run, TargetRoute route, bool resume)
{
    const std::uint32_t attempt = beginAttempt(run.life);
    run.lastEnd = AttemptEnd{attempt, ErrorKind::PeerUnreachable, false, 0};
    const v1::RunRequest order = runRequest(run, route.target, resume);
    run.node.directory.recordSent(route.target);
    if (route.owner == run.node.self) {
        auto sink = std::make_shared<LocalSink>(run, attempt);
        co_await runOnTarget(run.node, order, sink);
    } else {
        co_await attemptRemotely(run, order, route.owner, attempt);
    }
    run.cancelAttempt = nullptr;
    if (run.callerGone)
        run.lastEnd.kind = ErrorKind::CallerGone;
}

asio::awaitable<WaitResult> waitForResident(RequestRun &run)
{
    Node &node = run.node;
    const AdapterId adapter = run.request.adapter.id();
    const auto waiter = std::make_shared<Waiters::Waiter>(co_await asio::this_coro::executor);
    waiter->arrived = run.request.arrived;
    waiter->deadline = run.request.deadline;
    waiter->weight = 1.0 + 0.25 * (5 - run.request.priority);
    node.waiters.add(adapter, waiter);
    run.cancelAttempt = [waiter] {
        waiter->timer.cancel();
    };
    reportWant(node, adapter);
    WaitResult end;
    end.refusal = ErrorKind::DeadlinePassed;
    while (!run.callerGone) {
        const Instant until = std::min(run.request.deadline, BootClock::now() + recheckInterval);
        const bool woken = co_await waitFor(waiter, until);
        if (woken) {
            end = waiter->end;
            break;
        }
        // It may have become resident between the lookup in the directory and the wait.
        const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
        const bool resident = node.directory
                                  .choose(adapter, *node.policy, manifest->head.weights.stall,
                                          manifest->head.weights.batch)
                                  .has_value();
        if (resident) {
            end.refusal = ErrorKind::Ok;
            break;
        }
        if (BootClock::now() >= run.request.deadline)
            break;
    }
    run.cancelAttempt = nullptr;
    node.waiters.remove(adapter, waiter);
    if (!waiter->woken)
        reportWant(node, adapter);
    co_return end;
}

/** Finds a target that holds the adapter, waiting for a load if none does. */
asio::awaitable<FoundRoute> findRoute(RequestRun &run)
{
    Node &node = run.node;
    const AdapterId adapter = run.request.adapter.id();
    FoundRoute found;
    while (!run.callerGone) {
        const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
        found.route = node.directory.choose(adapter, *node.policy, manifest->head.weights.stall,
                                            manifest->head.weights.batch);
        if (found.route)
            co_return found;
        const Instant began = BootClock::now();
        if (began >= run.request.deadline) {
            found.refusal = ErrorKind::DeadlinePassed;
            co_return found;
        }
        const WaitResult end = co_await waitForResident(run);
        run.stalled += BootClock::now() - began;
        if (end.refusal != ErrorKind::Ok) {
            found.refusal = end.refusal;
            run.retryAfter = end.retryAfter;
            co_return found;
        }
    }
    found.refusal = ErrorKind::CallerGone;
    co_return found;
}

/** Route to the target of an earlier attempt, through its current owner. */
TargetRoute routeToSame(const Node &node, const TargetRoute &before)
{
    const VmId owner = node.ownership.with(
        [&](const OwnershipState &state) { return ownerOf(state, before.target); });
    return TargetRoute{before.target, owner.value == 0 ? before.owner : owner};
}

RequestStep nextStep(RequestRun &run)
{
    const Instant now = BootClock::now();
    return run.node.retries.with(
        [&](RetryBudget &budget) { return endAttempt(run.life, run.lastEnd, budget, now); });
}

void countStep(Node &node, const RequestStep &step, const TargetRoute &route, AdapterId adapter)
{
    if (step.step == NextStep::Resume) {
        node.metrics.add(Counter::Resumes);
        return;
    }
    if (step.step != NextStep::Route)
        return;
    const bool bounced = meansNotRun(step.kind);
    node.metrics.add(bounced ? Counter::Bounces : Counter::Retries);
    if (step.kind == ErrorKind::NotResident)
        node.directory.removeHolder(adapter, route.target);
}

/** Routes and attempts a model request until it ends. */
asio::awaitable<RequestStep> driveModelRequest(RequestRun &run)
{
    Node &node = run.node;
    const AdapterId adapter = run.request.adapter.id();
    RequestStep step{NextStep::Route, ErrorKind::Ok, {}};
    TargetRoute route;
    bool counted = false;
    while (step.step == NextStep::Route || step.step == NextStep::Resume) {
        if (step.wait > Duration{})
            co_await pause(step.wait);
        const bool resume = step.step == NextStep::Resume;
        if (resume) {
            route = routeToSame(node, route);
            logEvent(EventId::StreamResumed, {{"request", run.request.id}});
        } else {
            const FoundRoute found = co_await findRoute(run);
            if (!counted)
                countDemand(node, adapter, run.stalled == Duration{});
            counted = true;
            if (!found.route) {
                step = endRouting(run.life, found.refusal);
                break;
            }
            route = *found.route;
        }
        co_await attemptAt(run, route, resume);
        step = nextStep(run);
        countStep(node, step, route, adapter);
    }
    co_return step;
}

std::optional<TargetInfo> plainTarget(Node &node, const std::string &service)
{
    const std::shared_ptr<const TargetMap> map = targetsOf(node);
    std::vector<const TargetInfo *> candidates;
    for (const auto &[id, info] : map->targets) {
        if (info.declaration.plainService == service && !info.leaving)
            candidates.push_back(&info);
    }
    if (candidates.empty())
        return std::nullopt;
    const bool inZone =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const TargetInfo *info) { return info->zone == node.settings.zone; });
    if (inZone)
        std::erase_if(candidates,
                      [&](const TargetInfo *info) { return info->zone != node.settings.zone; });
    return *candidates[node.nextRequest.load() % candidates.size()];
}

asio::awaitable<void> attemptPlain(RequestRun &run, const TargetInfo &info, HttpResult &result)
{
    const std::uint32_t attempt = beginAttempt(run.life);
    run.lastEnd = AttemptEnd{attempt, ErrorKind::NoTarget, false, 0};
    HttpCall call;
    call.method = run.request.method;
    call.path = run.request.path;
    call.body = run.request.body;
    call.headers.push_back(HttpHeader{"X-Request-Id", run.request.id});
    if (!run.request.contentType.empty())
        call.headers.push_back(HttpHeader{"Content-Type", run.request.contentType});
    if (!run.request.traceparent.empty())
        call.headers.push_back(HttpHeader{"traceparent", run.request.traceparent});
    const Duration left = run.request.deadline - BootClock::now();
    result = co_await run.node.http.call(info.endpoint, std::move(call), left);
    run.lastEnd.dispatched = result.sent;
    if (result.error) {
        run.lastEnd.kind = result.sent ? ErrorKind::MayHaveRun : ErrorKind::NoTarget;
        co_return;
    }
    takePiece(run.life, attempt, 0);
    run.lastEnd.kind = ErrorKind::Ok;
    run.lastEnd.pieces = 1;
}

/** Attempts a call of a plain service until it ends; its answer is passed on unchanged. */
asio::awaitable<RequestStep> drivePlainRequest(RequestRun &run, HttpResult &result)
{
    RequestStep step{NextStep::Route, ErrorKind::Ok, {}};
    while (step.step == NextStep::Route) {
        if (step.wait > Duration{})
            co_await pause(step.wait);
        const std::optional<TargetInfo> info = plainTarget(run.node, run.request.plainService);
        if (!info) {
            step = endRouting(run.life, ErrorKind::NoTarget);
            break;
        }
        co_await attemptPlain(run, *info, result);
        step = nextStep(run);
    }
    co_return step;
}

/** Begins the ingress span, the parent of the spans of all further hops. */
Span beginSpan(const Node &node, CallerRequest &request)
{
    Span span;
    if (!isTraced(node))
        return span;
    const std::optional<TraceContext> parent = parseTraceparent(request.traceparent);
    span.context = childOf(parent);
    span.parentSpanId = parent ? parent->spanId : "";
    span.name = "ingress";
    span.startNanos = unixNanos();
    request.traceparent = traceparentOf(span.context);
    return span;
}

void endSpan(RequestRun &run, Span span, const RequestStep &step)
{
    if (span.startNanos == 0)
        return;
    span.endNanos = unixNanos();
    span.failed = step.step != NextStep::Answered;
    span.attributes = {{"request", run.request.id},
                       {"end", std::string(errorName(step.kind))},
                       {"adapter", run.request.isModel() ? run.request.adapter.text() : ""},
                       {"stallSeconds", std::to_string(toSeconds(run.stalled))}};
    run.node.spans.add(std::move(span));
}

void recordEnd(RequestRun &run, const RequestStep &step)
{
    Metrics &metrics = run.node.metrics;
    if (run.request.isModel()) {
        metrics.record(Timing::LoadStall, toSeconds(run.stalled));
        if (run.stalled > Duration{})
            metrics.add(Counter::RequestsStalled);
    }
    if (step.step == NextStep::Answered) {
        metrics.add(Counter::RequestsAnswered);
    } else if (step.step == NextStep::Refuse) {
        metrics.add(Counter::RequestsRefused);
        metrics.record(Timing::Refusal, toSeconds(BootClock::now() - run.request.arrived));
    } else {
        metrics.add(Counter::RequestsFailed);
        logEvent(EventId::AnswerLost,
                 {{"request", run.request.id}, {"kind", std::string(errorName(step.kind))}});
    }
}

/** Ends the request towards its caller: with the answer, an error, or an aborted connection. */
asio::awaitable<void> conclude(RequestRun &run, const RequestStep &step, HttpReply whole)
{
    if (step.kind == ErrorKind::CallerGone) {
        run.exchange.abort();
        co_return;
    }
    if (step.step == NextStep::Answered) {
        if (!run.life.headDelivered) {
            co_await run.exchange.respond(std::move(whole));
            co_return;
        }
        const std::string done = "data: [DONE]\n\n";
        co_await run.exchange.writeChunk(done);
        co_await run.exchange.endStream();
        co_return;
    }
    const ProblemDetail problem{step.kind, step.step == NextStep::Refuse, "", run.retryAfter};
    if (!run.life.headDelivered) {
        HttpReply reply = problemReply(problem);
        co_await run.exchange.respond(std::move(reply));
        co_return;
    }
    // The head was sent, so the status cannot show the error; the event does, and the missing last
    // chunk keeps a client that ignores events from taking the fragment for the whole answer.
    const std::string event = problemEvent(problem);
    co_await run.exchange.writeChunk(event);
    run.exchange.abort();
}

asio::awaitable<void> watchCaller(RequestRun &run)
{
    co_await run.exchange.callerGone();
    if (run.exchange.begun() && !run.life.headDelivered)
        co_return;
    run.callerGone = true;
    if (run.cancelAttempt)
        run.cancelAttempt();
}

asio::awaitable<void> serve(RequestRun &run)
{
    HttpReply whole;
    HttpResult plain;
    RequestStep step;
    Span span = beginSpan(run.node, run.request);
    if (run.request.isModel()) {
        step = co_await driveModelRequest(run);
        whole.body = run.wholeBody;
    } else {
        step = co_await drivePlainRequest(run, plain);
        whole.status = plain.status;
        whole.contentType = plain.contentType;
        whole.body = plain.body;
    }
    recordEnd(run, step);
    endSpan(run, std::move(span), step);
    if (!run.request.idempotencyKey.empty()) {
        StoredAnswer kept{step.kind, whole.status, whole.contentType, whole.body, true};
        if (run.request.streamed)
            kept.contentType = "text/event-stream";
        const bool notRun = step.step == NextStep::Refuse;
        co_await completeAtHolders(run.node, run.request, std::move(kept), notRun);
    }
    co_await conclude(run, step, std::move(whole));
}

asio::awaitable<void> replay(Node &node, HttpExchange &exchange, const StoredAnswer &answer)
{
    node.metrics.add(Counter::KeyReplays);
    if (answer.kind != ErrorKind::Ok || !answer.bodyStored) {
        const ErrorKind kind = answer.kind == ErrorKind::Ok ? ErrorKind::MayHaveRun : answer.kind;
        HttpReply reply = problemReply(ProblemDetail{
            kind, false, "the first request with this key ended with this error", {}});
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    HttpReply reply;
    reply.status = answer.status;
    reply.contentType = answer.contentType;
    reply.body = answer.body;
    if (reply.contentType == "text/event-stream")
        reply.body += "data: [DONE]\n\n";
    reply.headers.push_back(HttpHeader{"Idempotent-Replayed", "true"});
    co_await exchange.respond(std::move(reply));
}

ErrorKind refusalOf(KeyDecision decision)
{
    if (decision == KeyDecision::RefuseConflict)
        return ErrorKind::KeyConflict;
    if (decision == KeyDecision::RefuseInUse)
        return ErrorKind::KeyInUse;
    return ErrorKind::KeyStateUnknown;
}

asio::awaitable<void> refuse(Node &node, HttpExchange &exchange, ProblemDetail problem,
                             Instant arrived)
{
    node.metrics.add(Counter::RequestsRefused);
    node.metrics.record(Timing::Refusal, toSeconds(BootClock::now() - arrived));
    HttpReply reply = problemReply(problem);
    co_await exchange.respond(std::move(reply));
}

/** Reserves the key, runs the request and watches the caller. */
asio::awaitable<void> serveAdmitted(Node &node, HttpExchange &exchange, CallerRequest request)
{
    if (!request.idempotencyKey.empty()) {
        const KeyOutcome key = co_await reserveAtHolders(node, request);
        if (key.decision == KeyDecision::Replay) {
            co_await replay(node, exchange, key.answer);
            co_return;
        }
        if (key.decision != KeyDecision::Run) {
            ProblemDetail problem{refusalOf(key.decision), true, "", std::chrono::seconds(1)};
            co_await refuse(node, exchange, std::move(problem), request.arrived);
            co_return;
        }
    }
    node.retries.with([](RetryBudget &budget) { addRetryTokens(budget); });
    RequestRun run(node, exchange, std::move(request));
    run.life.traits.idempotent = run.request.idempotent;
    run.life.traits.resumable = run.request.isModel();
    run.life.traits.deadline = run.request.deadline;
    asio::cancellation_signal stopWatching;
    bool watching = true;
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer watchEnded(executor, asio::steady_timer::time_point::max());
    asio::co_spawn(executor, watchCaller(run),
                   asio::bind_cancellation_slot(stopWatching.slot(), [&](std::exception_ptr) {
                       watching = false;
                       watchEnded.cancel();
                   }));
    co_await serve(run);
    // The watcher refers to `run`; it has to end before `run` does.
    stopWatching.emit(asio::cancellation_type::all);
    while (watching)
        co_await watchEnded.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

asio::awaitable<void> handleCaller(Node &node, HttpExchange &exchange)
{
    const Instant arrived = BootClock::now();
    node.metrics.add(Counter::RequestsReceived);
    if (!isReady(node)) {
        const ErrorKind kind = node.shuttingDown ? ErrorKind::ShuttingDown : ErrorKind::NotReady;
        ProblemDetail problem{kind, true, "", std::chrono::seconds(1)};
        co_await refuse(node, exchange, std::move(problem), arrived);
        co_return;
    }
    CheckedRequest checked = checkRequest(node, exchange.request());
    if (checked.problem) {
        co_await refuse(node, exchange, *checked.problem, arrived);
        co_return;
    }
    const ServiceId service = checked.request.service;
    const double share = checked.request.share;
    const AdmissionDecision verdict =
        node.admission.with([&](AdmissionState &state) { return admit(state, service, share); });
    if (verdict.refusal != ErrorKind::Ok) {
        ProblemDetail problem{verdict.refusal, true, "", verdict.retryAfter};
        co_await refuse(node, exchange, std::move(problem), arrived);
        co_return;
    }
    ++node.callersInFlight;
    co_await serveAdmitted(node, exchange, std::move(checked.request));
    --node.callersInFlight;
    node.admission.with([&](AdmissionState &state) { release(state, service); });
}

} // namespace monsoonbay
