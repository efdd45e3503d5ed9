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
struct ActiveRequest
{
    ActiveRequest(Node &node, HttpExchange &exchange, CallerRequest request)
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

asio::awaitable<bool> deliver(ActiveRequest &active, const std::string &data)
{
    const Instant now = BootClock::now();
    const bool first = active.life.delivered == 1 && !active.life.headDelivered;
    if (first)
        active.node.metrics.record(Timing::FirstPiece, toSeconds(now - active.request.arrived));
    else
        active.node.metrics.record(Timing::BetweenPieces, toSeconds(now - active.lastPieceAt));
    active.lastPieceAt = now;
    const bool kept = !active.request.streamed || !active.request.idempotencyKey.empty();
    if (kept && (!active.request.streamed || active.wholeBody.size() < keptBodyBytes))
        active.wholeBody += data;
    if (!active.request.streamed)
        co_return true;
    if (!active.life.headDelivered) {
        active.life.headDelivered = true;
        std::string type = "text/event-stream";
        const std::error_code error = co_await active.exchange.beginStream(200, std::move(type));
        if (error)
            co_return false;
    }
    const std::error_code error = co_await active.exchange.writeChunk(data);
    co_return !error;
}

/** Handles one event of an attempt; false if the caller is gone. */
asio::awaitable<bool> handleEvent(ActiveRequest &active, std::uint32_t attempt,
                                  const v1::RunEvent &event)
{
    if (event.has_end()) {
        active.lastEnd.attempt = attempt;
        active.lastEnd.kind = static_cast<ErrorKind>(event.end().kind());
        active.lastEnd.dispatched = event.end().dispatched();
        active.lastEnd.pieces = event.end().pieces();
        co_return true;
    }
    if (!event.has_piece())
        co_return true;
    if (!takePiece(active.life, attempt, event.piece().position())) {
        active.node.metrics.add(Counter::PiecesDropped);
        co_return true;
    }
    const bool delivered = co_await deliver(active, event.piece().data());
    if (!delivered)
        active.callerGone = true;
    co_return delivered;
}

/** Takes the place of the owner's connection when this VM owns the target itself. */
class LocalSink final : public RunSink
{
public:
    LocalSink(ActiveRequest &active, std::uint32_t attempt)
        : active(active)
        , attempt(attempt)
    { }

    asio::awaitable<bool> write(const v1::RunEvent &event) override
    {
        return handleEvent(this->active, this->attempt, event);
    }

    bool isDisconnected() const override
    {
        return this->active.callerGone;
    }

    void onDisconnect(std::function<void()> handler) override
    {
        if (this->active.callerGone)
            handler();
        else
            this->active.cancelAttempt = std::move(handler);
    }

private:
    ActiveRequest &active;
    std::uint32_t attempt;
};

v1::RunRequest runRequest(const ActiveRequest &active, TargetId target, bool resume)
{
    const CallerRequest &request = active.request;
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
    order.set_resume_from(active.life.delivered);
    order.set_traceparent(request.traceparent);
    return order;
}

asio::awaitable<void> attemptRemotely(ActiveRequest &active, const v1::RunRequest &order,
                                      VmId owner, std::uint32_t attempt)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(active.node, owner);
    if (!endpoint)
        co_return;
    const Duration timeout = std::chrono::milliseconds(order.deadline_ms());
    const std::shared_ptr<RemoteRun> remote = active.node.peers.run(*endpoint, order, timeout);
    active.cancelAttempt = [weak = std::weak_ptr(remote)] {
        if (const auto open = weak.lock())
            open->cancel();
    };
    // From here on a byte may have reached the owner, and through it the target: without an answer
    // the request may have run, unless the owner reports otherwise.
    active.lastEnd.dispatched = true;
    v1::RunEvent event;
    bool open = true;
    while (open) {
        open = co_await remote->read(event);
        if (!open)
            break;
        const bool more = co_await handleEvent(active, attempt, event);
        if (!more || event.has_end())
            break;
    }
}

asio::awaitable<void> attemptAt(ActiveRequest &active, TargetRoute route, bool resume)
{
    const std::uint32_t attempt = beginAttempt(active.life);
    active.lastEnd = AttemptEnd{attempt, ErrorKind::PeerUnreachable, false, 0};
    const v1::RunRequest order = runRequest(active, route.target, resume);
    active.node.directory.recordSent(route.target);
    if (route.owner == active.node.self) {
        auto sink = std::make_shared<LocalSink>(active, attempt);
        co_await runOnTarget(active.node, order, sink);
    } else {
        co_await attemptRemotely(active, order, route.owner, attempt);
    }
    active.cancelAttempt = nullptr;
    if (active.callerGone)
        active.lastEnd.kind = ErrorKind::CallerGone;
}

asio::awaitable<WaitResult> waitForResident(ActiveRequest &active)
{
    Node &node = active.node;
    const AdapterId adapter = active.request.adapter.id();
    const auto waiter = std::make_shared<Waiters::Waiter>(co_await asio::this_coro::executor);
    waiter->arrived = active.request.arrived;
    waiter->deadline = active.request.deadline;
    waiter->weight = 1.0 + 0.25 * (5 - active.request.priority);
    node.waiters.add(adapter, waiter);
    active.cancelAttempt = [waiter] {
        waiter->timer.cancel();
    };
    reportWant(node, adapter);
    WaitResult end;
    end.refusal = ErrorKind::DeadlinePassed;
    while (!active.callerGone) {
        const Instant until = std::min(active.request.deadline, BootClock::now() + recheckInterval);
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
        if (BootClock::now() >= active.request.deadline)
            break;
    }
    active.cancelAttempt = nullptr;
    node.waiters.remove(adapter, waiter);
    if (!waiter->woken)
        reportWant(node, adapter);
    co_return end;
}

/** Finds a target that holds the adapter, waiting for a load if none does. */
asio::awaitable<FoundRoute> findRoute(ActiveRequest &active)
{
    Node &node = active.node;
    const AdapterId adapter = active.request.adapter.id();
    FoundRoute found;
    while (!active.callerGone) {
        const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
        found.route = node.directory.choose(adapter, *node.policy, manifest->head.weights.stall,
                                            manifest->head.weights.batch);
        if (found.route)
            co_return found;
        const Instant began = BootClock::now();
        if (began >= active.request.deadline) {
            found.refusal = ErrorKind::DeadlinePassed;
            co_return found;
        }
        const WaitResult end = co_await waitForResident(active);
        active.stalled += BootClock::now() - began;
        if (end.refusal != ErrorKind::Ok) {
            found.refusal = end.refusal;
            active.retryAfter = end.retryAfter;
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

RequestStep nextStep(ActiveRequest &active)
{
    const Instant now = BootClock::now();
    return active.node.retries.with(
        [&](RetryBudget &budget) { return endAttempt(active.life, active.lastEnd, budget, now); });
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
asio::awaitable<RequestStep> driveModelRequest(ActiveRequest &active)
{
    Node &node = active.node;
    const AdapterId adapter = active.request.adapter.id();
    RequestStep step{NextStep::Route, ErrorKind::Ok, {}};
    TargetRoute route;
    bool counted = false;
    while (step.step == NextStep::Route || step.step == NextStep::Resume) {
        if (step.wait > Duration{})
            co_await pause(step.wait);
        const bool resume = step.step == NextStep::Resume;
        if (resume) {
            route = routeToSame(node, route);
            logEvent(EventId::StreamResumed, {{"request", active.request.id}});
        } else {
            const FoundRoute found = co_await findRoute(active);
            if (!counted)
                countDemand(node, adapter, active.stalled == Duration{});
            counted = true;
            if (!found.route) {
                step = endRouting(active.life, found.refusal);
                break;
            }
            route = *found.route;
        }
        co_await attemptAt(active, route, resume);
        step = nextStep(active);
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

asio::awaitable<void> attemptPlain(ActiveRequest &active, const TargetInfo &info,
                                   HttpResult &result)
{
    const std::uint32_t attempt = beginAttempt(active.life);
    active.lastEnd = AttemptEnd{attempt, ErrorKind::NoTarget, false, 0};
    HttpCall call;
    call.method = active.request.method;
    call.path = active.request.path;
    call.body = active.request.body;
    call.headers.push_back(HttpHeader{"X-Request-Id", active.request.id});
    if (!active.request.contentType.empty())
        call.headers.push_back(HttpHeader{"Content-Type", active.request.contentType});
    if (!active.request.traceparent.empty())
        call.headers.push_back(HttpHeader{"traceparent", active.request.traceparent});
    const Duration left = active.request.deadline - BootClock::now();
    result = co_await active.node.http.call(info.endpoint, std::move(call), left);
    active.lastEnd.dispatched = result.sent;
    if (result.error) {
        active.lastEnd.kind = result.sent ? ErrorKind::MayHaveRun : ErrorKind::NoTarget;
        co_return;
    }
    takePiece(active.life, attempt, 0);
    active.lastEnd.kind = ErrorKind::Ok;
    active.lastEnd.pieces = 1;
}

/** Attempts a call of a plain service until it ends; its answer is passed on unchanged. */
asio::awaitable<RequestStep> drivePlainRequest(ActiveRequest &active, HttpResult &result)
{
    RequestStep step{NextStep::Route, ErrorKind::Ok, {}};
    while (step.step == NextStep::Route) {
        if (step.wait > Duration{})
            co_await pause(step.wait);
        const std::optional<TargetInfo> info =
            plainTarget(active.node, active.request.plainService);
        if (!info) {
            step = endRouting(active.life, ErrorKind::NoTarget);
            break;
        }
        co_await attemptPlain(active, *info, result);
        step = nextStep(active);
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

void endSpan(ActiveRequest &active, Span span, const RequestStep &step)
{
    if (span.startNanos == 0)
        return;
    span.endNanos = unixNanos();
    span.failed = step.step != NextStep::Answered;
    span.attributes = {{"request", active.request.id},
                       {"end", std::string(errorName(step.kind))},
                       {"adapter", active.request.isModel() ? active.request.adapter.text() : ""},
                       {"stallSeconds", std::to_string(toSeconds(active.stalled))}};
    active.node.spans.add(std::move(span));
}

void recordEnd(ActiveRequest &active, const RequestStep &step)
{
    Metrics &metrics = active.node.metrics;
    if (active.request.isModel()) {
        metrics.record(Timing::LoadStall, toSeconds(active.stalled));
        if (active.stalled > Duration{})
            metrics.add(Counter::RequestsStalled);
    }
    if (step.step == NextStep::Answered) {
        metrics.add(Counter::RequestsAnswered);
    } else if (step.step == NextStep::Refuse) {
        metrics.add(Counter::RequestsRefused);
        metrics.record(Timing::Refusal, toSeconds(BootClock::now() - active.request.arrived));
    } else {
        metrics.add(Counter::RequestsFailed);
        logEvent(EventId::AnswerLost,
                 {{"request", active.request.id}, {"kind", std::string(errorName(step.kind))}});
    }
}

/** Ends the request towards its caller: with the answer, an error, or an aborted connection. */
asio::awaitable<void> conclude(ActiveRequest &active, const RequestStep &step, HttpReply whole)
{
    if (step.kind == ErrorKind::CallerGone) {
        active.exchange.abort();
        co_return;
    }
    if (step.step == NextStep::Answered) {
        if (!active.life.headDelivered) {
            co_await active.exchange.respond(std::move(whole));
            co_return;
        }
        const std::string done = "data: [DONE]\n\n";
        co_await active.exchange.writeChunk(done);
        co_await active.exchange.endStream();
        co_return;
    }
    const ProblemDetail problem{step.kind, step.step == NextStep::Refuse, "", active.retryAfter};
    if (!active.life.headDelivered) {
        HttpReply reply = problemReply(problem);
        co_await active.exchange.respond(std::move(reply));
        co_return;
    }
    // The head was sent, so the status cannot show the error; the event does, and the missing last
    // chunk keeps a client that ignores events from taking the fragment for the whole answer.
    const std::string event = problemEvent(problem);
    co_await active.exchange.writeChunk(event);
    active.exchange.abort();
}

asio::awaitable<void> watchCaller(ActiveRequest &active)
{
    co_await active.exchange.callerGone();
    if (active.exchange.hasStartedResponse() && !active.life.headDelivered)
        co_return;
    active.callerGone = true;
    if (active.cancelAttempt)
        active.cancelAttempt();
}

asio::awaitable<void> serve(ActiveRequest &active)
{
    HttpReply whole;
    HttpResult plain;
    RequestStep step;
    Span span = beginSpan(active.node, active.request);
    if (active.request.isModel()) {
        step = co_await driveModelRequest(active);
        whole.body = active.wholeBody;
    } else {
        step = co_await drivePlainRequest(active, plain);
        whole.status = plain.status;
        whole.contentType = plain.contentType;
        whole.body = plain.body;
    }
    recordEnd(active, step);
    endSpan(active, std::move(span), step);
    if (!active.request.idempotencyKey.empty()) {
        StoredAnswer kept{step.kind, whole.status, whole.contentType, whole.body, true};
        if (active.request.streamed)
            kept.contentType = "text/event-stream";
        const bool notRun = step.step == NextStep::Refuse;
        co_await completeAtHolders(active.node, active.request, std::move(kept), notRun);
    }
    co_await conclude(active, step, std::move(whole));
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
    ActiveRequest active(node, exchange, std::move(request));
    active.life.traits.idempotent = active.request.idempotent;
    active.life.traits.resumable = active.request.isModel();
    active.life.traits.deadline = active.request.deadline;
    asio::cancellation_signal stopWatching;
    bool watching = true;
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer watchEnded(executor, asio::steady_timer::time_point::max());
    asio::co_spawn(executor, watchCaller(active),
                   asio::bind_cancellation_slot(stopWatching.slot(), [&](std::exception_ptr) {
                       watching = false;
                       watchEnded.cancel();
                   }));
    co_await serve(active);
    // The watcher refers to `active`; it has to end before `active` does.
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
