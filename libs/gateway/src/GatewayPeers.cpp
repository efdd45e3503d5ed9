#include "GatewayPeers.h"

#include <map>
#include <system_error>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include "Gateway.grpc.pb.h"
#include "transport/Completion.h"
#include "transport/OpenCalls.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

constexpr int minReconnectMs = 100;
constexpr int maxReconnectMs = 500;
/** Keepalive interval, and its timeout, after which a connection is closed and reopened. */
constexpr int keepaliveMs = 1500;
constexpr auto shutdownTimeout = std::chrono::milliseconds(200);

class GatewayService final : public v1::Gateway::CallbackService
{
public:
    GatewayService(asio::io_context &context, GatewayPeerHandlers handlers)
        : context(context)
        , handlers(std::move(handlers))
    { }

    OpenCalls calls;

private:
    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *call, const v1::Report *report,
                                       v1::Digest *digest) override
    {
        return this->answerAtOnce(call, report, digest, this->handlers.exchange);
    }

    grpc::ServerUnaryReactor *ReadConfig(grpc::CallbackServerContext *call,
                                         const v1::ConfigRequest *request,
                                         v1::ConfigPart *part) override
    {
        return this->answerAtOnce(call, request, part, this->handlers.readConfig);
    }

    grpc::ServerUnaryReactor *AskWord(grpc::CallbackServerContext *call,
                                      const v1::WordRequest *request, v1::Word *reply) override
    {
        return this->answerAtOnce(call, request, reply, this->handlers.leaseConfirmation);
    }

    grpc::ServerUnaryReactor *NoteUse(grpc::CallbackServerContext *call, const v1::UseNote *report,
                                      v1::UseNoted *reply) override
    {
        return this->answerAtOnce(call, report, reply, this->handlers.reportUsage);
    }

    grpc::ServerUnaryReactor *ReservePrefill(grpc::CallbackServerContext *call,
                                             const v1::PrefillRequest *request,
                                             v1::PrefillReply *reply) override
    {
        return this->answerAtOnce(call, request, reply, this->handlers.reservePrefill);
    }

    grpc::ServerUnaryReactor *NoteOrigins(grpc::CallbackServerContext *call,
                                          const v1::OriginNote *report,
                                          v1::OriginsNoted *reply) override
    {
        return this->answerAtOnce(call, report, reply, this->handlers.reportOrigins);
    }

    grpc::ServerUnaryReactor *AskOrigin(grpc::CallbackServerContext *call,
                                        const v1::OriginRequest *request,
                                        v1::OriginReply *reply) override
    {
        return this->answerAtOnce(call, request, reply, this->handlers.origin);
    }

    grpc::ServerUnaryReactor *Load(grpc::CallbackServerContext *call,
                                   const v1::LoadRequest *request, v1::LoadReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const std::uint64_t number = this->open(reactor);
        asio::co_spawn(this->context, this->answerLoad(*request, reply, reactor, number),
                       asio::detached);
        return reactor;
    }

    asio::awaitable<void> answerLoad(v1::LoadRequest request, v1::LoadReply *reply,
                                     grpc::ServerUnaryReactor *reactor, std::uint64_t number)
    {
        v1::LoadReply answer = co_await this->handlers.load(std::move(request));
        if (!this->calls.claimEnd(number))
            co_return;
        *reply = std::move(answer);
        reactor->Finish(grpc::Status::OK);
    }

    /** Runs `handler` on the gateway's thread and finishes the RPC with its reply. */
    template <typename Request, typename Reply>
    grpc::ServerUnaryReactor *answerAtOnce(grpc::CallbackServerContext *call,
                                           const Request *request, Reply *reply,
                                           const std::function<Reply(const Request &)> &handler)
    {
        grpc::ServerUnaryReactor *reactor = call->DefaultReactor();
        const std::uint64_t number = this->open(reactor);
        asio::post(this->context, [this, request, reply, reactor, number, &handler] {
            // If a shutdown has ended the RPC, its messages no longer exist.
            if (!this->calls.claimEnd(number))
                return;
            *reply = handler(*request);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    std::uint64_t open(grpc::ServerUnaryReactor *reactor)
    {
        return this->calls.add([reactor] { reactor->Finish(grpc::Status::CANCELLED); });
    }

    asio::io_context &context;
    GatewayPeerHandlers handlers;
};

} // namespace

struct GatewayPeers::Impl
{
    std::shared_ptr<v1::Gateway::Stub> stubFor(const Endpoint &peer)
    {
        std::shared_ptr<v1::Gateway::Stub> &stub = this->stubs[peer];
        if (stub)
            return stub;
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minReconnectMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveMs);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        // Connections between VMs must never go through a proxy named in the environment.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        stub = v1::Gateway::NewStub(
            grpc::CreateCustomChannel(peer.text(), grpc::InsecureChannelCredentials(), arguments));
        return stub;
    }

    template <typename Request, typename Reply, typename Method>
    asio::awaitable<std::optional<Reply>>
    unary(Endpoint peer, std::shared_ptr<const Request> request, Duration timeout, Method method)
    {
        struct Call
        {
            grpc::ClientContext context;
            std::shared_ptr<const Request> request;
            Reply reply;
            std::shared_ptr<v1::Gateway::Stub> stub;
        };
        auto call = std::make_shared<Call>();
        call->stub = this->stubFor(peer);
        call->request = std::move(request);
        // A timespan, as the wall clock may jump.
        call->context.set_deadline(gpr_time_from_millis(toMillis(timeout), GPR_TIMESPAN));
        OpenCalls &open = this->calls;
        const std::uint64_t number = open.add([call] { call->context.TryCancel(); });
        const auto start = [call, method, &open, number](Completion completion) {
            method(*call->stub, call->context, *call->request, call->reply,
                   [call, completion, &open, number](const grpc::Status &status) {
                       open.claimEnd(number);
                       completion(status.ok());
                       open.markEnded();
                   });
        };
        const bool answered = co_await completionOf(start);
        if (!answered)
            co_return std::nullopt;
        co_return std::move(call->reply);
    }

    std::map<Endpoint, std::shared_ptr<v1::Gateway::Stub>> stubs;
    OpenCalls calls;
    std::unique_ptr<GatewayService> service;
    std::unique_ptr<grpc::Server> server;
};

GatewayPeers::GatewayPeers()
    : impl(std::make_unique<Impl>())
{ }

GatewayPeers::~GatewayPeers()
{
    this->close();
}

std::uint16_t GatewayPeers::listen(asio::io_context &context, const Endpoint &endpoint,
                                   GatewayPeerHandlers handlers)
{
    this->impl->service = std::make_unique<GatewayService>(context, std::move(handlers));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(endpoint.text(), grpc::InsecureServerCredentials(), &port);
    // Two daemons on one port would each get half of the messages; the second has to fail instead.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // By default a server disconnects clients that send keepalive pings as often as ours do.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               keepaliveMs / 2);
    builder.RegisterService(this->impl->service.get());
    this->impl->server = builder.BuildAndStart();
    if (!this->impl->server)
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "peers " + endpoint.text());
    return static_cast<std::uint16_t>(port);
}

void GatewayPeers::close()
{
    if (this->impl->service)
        this->impl->service->calls.endAll();
    if (this->impl->server)
        this->impl->server->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
    this->impl->server.reset();
    this->impl->service.reset();
    // Callbacks post to the context of the waiting coroutines, so none may run after this.
    this->impl->calls.endAll();
    this->impl->calls.waitAll();
}

asio::awaitable<std::optional<v1::Digest>>
GatewayPeers::exchange(Endpoint peer, std::shared_ptr<const v1::Report> report, Duration timeout)
{
    return this->impl->unary<v1::Report, v1::Digest>(
        std::move(peer), std::move(report), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::Report &request,
           v1::Digest &reply,
           auto done) { stub.async()->Exchange(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::ConfigPart>>
GatewayPeers::readConfig(Endpoint peer, v1::ConfigRequest request, Duration timeout)
{
    auto shared = std::make_shared<const v1::ConfigRequest>(std::move(request));
    return this->impl->unary<v1::ConfigRequest, v1::ConfigPart>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::ConfigRequest &request,
           v1::ConfigPart &reply,
           auto done) { stub.async()->ReadConfig(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::Word>>
GatewayPeers::askLeaseConfirmation(Endpoint peer, v1::WordRequest request, Duration timeout)
{
    auto shared = std::make_shared<const v1::WordRequest>(std::move(request));
    return this->impl->unary<v1::WordRequest, v1::Word>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::WordRequest &request,
           v1::Word &reply,
           auto done) { stub.async()->AskWord(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::UseNoted>>
GatewayPeers::reportUsage(Endpoint peer, v1::UseNote report, Duration timeout)
{
    auto shared = std::make_shared<const v1::UseNote>(std::move(report));
    return this->impl->unary<v1::UseNote, v1::UseNoted>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::UseNote &request,
           v1::UseNoted &reply,
           auto done) { stub.async()->NoteUse(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::LoadReply>>
GatewayPeers::load(Endpoint peer, v1::LoadRequest request, Duration timeout)
{
    auto shared = std::make_shared<const v1::LoadRequest>(std::move(request));
    return this->impl->unary<v1::LoadRequest, v1::LoadReply>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::LoadRequest &request,
           v1::LoadReply &reply,
           auto done) { stub.async()->Load(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::PrefillReply>>
GatewayPeers::reservePrefill(Endpoint peer, v1::PrefillRequest request, Duration timeout)
{
    auto shared = std::make_shared<const v1::PrefillRequest>(std::move(request));
    return this->impl->unary<v1::PrefillRequest, v1::PrefillReply>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::PrefillRequest &request,
           v1::PrefillReply &reply,
           auto done) { stub.async()->ReservePrefill(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::OriginsNoted>>
GatewayPeers::reportOrigins(Endpoint peer, v1::OriginNote report, Duration timeout)
{
    auto shared = std::make_shared<const v1::OriginNote>(std::move(report));
    return this->impl->unary<v1::OriginNote, v1::OriginsNoted>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::OriginNote &request,
           v1::OriginsNoted &reply,
           auto done) { stub.async()->NoteOrigins(&context, &request, &reply, done); });
}

asio::awaitable<std::optional<v1::OriginReply>>
GatewayPeers::askOrigin(Endpoint peer, v1::OriginRequest request, Duration timeout)
{
    auto shared = std::make_shared<const v1::OriginRequest>(std::move(request));
    return this->impl->unary<v1::OriginRequest, v1::OriginReply>(
        std::move(peer), std::move(shared), timeout,
        [](v1::Gateway::Stub &stub, grpc::ClientContext &context, const v1::OriginRequest &request,
           v1::OriginReply &reply,
           auto done) { stub.async()->AskOrigin(&context, &request, &reply, done); });
}

} // namespace monsoonbay
