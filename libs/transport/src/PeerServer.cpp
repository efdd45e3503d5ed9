#include <atomic>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <grpcpp/grpcpp.h>

#include "EntryVm.grpc.pb.h"
#include "transport/Completion.h"
#include "transport/OpenCalls.h"
#include "transport/PeerNetwork.h"

namespace monsoonbay {

namespace {

/** A run served for a peer; gRPC and the coroutine each own it until they are done. */
class RunReactor final : public grpc::ServerWriteReactor<v1::RunEvent>,
                         public RunSink,
                         public std::enable_shared_from_this<RunReactor>
{
public:
    void holdUntilDone()
    {
        this->self = this->shared_from_this();
    }

    asio::awaitable<bool> write(const v1::RunEvent &event) override
    {
        if (this->cancelled)
            co_return false;
        this->current = event;
        co_return co_await completionOf([this](Completion completion) {
            this->pending = std::move(completion);
            this->StartWrite(&this->current);
        });
    }

    bool isDisconnected() const override
    {
        return this->cancelled;
    }

    void onDisconnect(std::function<void()> handler) override
    {
        const std::lock_guard guard(this->mutex);
        if (this->cancelled)
            handler();
        else
            this->disconnectHandler = std::move(handler);
    }

    void finish(const grpc::Status &status)
    {
        this->Finish(status);
    }

private:
    void OnWriteDone(bool ok) override
    {
        Completion completion;
        std::swap(completion, this->pending);
        if (completion)
            completion(ok);
    }

    void OnCancel() override
    {
        std::function<void()> handler;
        {
            const std::lock_guard guard(this->mutex);
            this->cancelled = true;
            std::swap(handler, this->disconnectHandler);
        }
        if (handler)
            handler();
    }

    void OnDone() override
    {
        this->self.reset();
    }

    std::shared_ptr<RunReactor> self;
    v1::RunEvent current;
    Completion pending;
    std::atomic<bool> cancelled{false};
    std::mutex mutex;
    std::function<void()> disconnectHandler;
};

asio::awaitable<void> serveRun(const PeerHandlers &handlers, OpenCalls &calls,
                               v1::RunRequest request, std::shared_ptr<RunReactor> reactor,
                               std::uint64_t call)
{
    co_await handlers.run(std::move(request), reactor);
    if (calls.claimEnd(call))
        reactor->finish(grpc::Status::OK);
}

asio::awaitable<void> serveTell(const PeerHandlers &handlers, OpenCalls &calls, v1::PeerNews news,
                                v1::PeerNewsReply *reply, grpc::ServerUnaryReactor *reactor,
                                std::uint64_t call)
{
    v1::PeerNewsReply answer = co_await handlers.tell(std::move(news));
    // A shutdown has ended the call already; `reply` must not be used any more.
    if (!calls.claimEnd(call))
        co_return;
    *reply = std::move(answer);
    reactor->Finish(grpc::Status::OK);
}

class EntryVmService final : public v1::EntryVm::CallbackService
{
public:
    EntryVmService(asio::io_context &context, PeerHandlers handlers)
        : context(context)
        , handlers(std::move(handlers))
    { }

    OpenCalls calls;

private:
    grpc::ServerWriteReactor<v1::RunEvent> *Run(grpc::CallbackServerContext *,
                                                const v1::RunRequest *request) override
    {
        auto reactor = std::make_shared<RunReactor>();
        reactor->holdUntilDone();
        const std::uint64_t call =
            this->calls.add([held = reactor.get()] { held->finish(grpc::Status::CANCELLED); });
        asio::co_spawn(asio::make_strand(this->context),
                       serveRun(this->handlers, this->calls, *request, reactor, call),
                       asio::detached);
        return reactor.get();
    }

    grpc::ServerUnaryReactor *Tell(grpc::CallbackServerContext *context, const v1::PeerNews *news,
                                   v1::PeerNewsReply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        const std::uint64_t call =
            this->calls.add([reactor] { reactor->Finish(grpc::Status::CANCELLED); });
        asio::co_spawn(asio::make_strand(this->context),
                       serveTell(this->handlers, this->calls, *news, reply, reactor, call),
                       asio::detached);
        return reactor;
    }

    grpc::ServerUnaryReactor *Record(grpc::CallbackServerContext *context,
                                     const v1::RecordRequest *request,
                                     v1::RecordReply *reply) override
    {
        *reply = this->handlers.record(*request);
        return finished(context);
    }

    grpc::ServerUnaryReactor *FetchManifest(grpc::CallbackServerContext *context,
                                            const v1::FetchManifestRequest *request,
                                            v1::FetchManifestReply *reply) override
    {
        *reply = this->handlers.fetchManifest(*request);
        return finished(context);
    }

    static grpc::ServerUnaryReactor *finished(grpc::CallbackServerContext *context)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    asio::io_context &context;
    PeerHandlers handlers;
};

constexpr int maxMessageBytes = 64 * 1024 * 1024;
constexpr auto serverShutdownTimeout = std::chrono::seconds(1);

} // namespace

struct PeerServer::Impl
{
    Impl(asio::io_context &context, PeerHandlers handlers)
        : service(context, std::move(handlers))
    { }

    EntryVmService service;
    int port = 0;
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(asio::io_context &context, const Endpoint &endpoint, PeerHandlers handlers)
    : impl(std::make_unique<Impl>(context, std::move(handlers)))
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(endpoint.text(), grpc::InsecureServerCredentials(), &this->impl->port);
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    // With SO_REUSEPORT, two daemons on one port would each get a part of the peers' messages; the
    // second one has to fail instead.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&this->impl->service);
    this->impl->server = builder.BuildAndStart();
    if (!this->impl->server)
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "peers " + endpoint.text());
}

PeerServer::~PeerServer()
{
    this->impl->service.calls.endAll();
    this->impl->server->Shutdown(std::chrono::system_clock::now() + serverShutdownTimeout);
}

std::uint16_t PeerServer::port() const noexcept
{
    return static_cast<std::uint16_t>(this->impl->port);
}

} // namespace monsoonbay
