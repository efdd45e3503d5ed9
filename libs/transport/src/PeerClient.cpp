#include <map>
#include <mutex>

#include <grpcpp/grpcpp.h>

#include "EntryVm.grpc.pb.h"
#include "transport/Completion.h"
#include "transport/OpenCalls.h"
#include "transport/PeerNetwork.h"

namespace monsoonbay {

namespace {

constexpr int maxMessageBytes = 64 * 1024 * 1024;
constexpr int minReconnectMs = 50;
constexpr int maxReconnectMs = 500;

std::chrono::system_clock::time_point deadlineIn(Duration timeout)
{
    return std::chrono::system_clock::now() + timeout;
}

class RunReader final : public grpc::ClientReadReactor<v1::RunEvent>, public RemoteRun
{
public:
    RunReader(OpenCalls &calls, v1::RunRequest request, Duration timeout)
        : calls(calls)
        , request(std::move(request))
    {
        this->context.set_deadline(deadlineIn(timeout));
    }

    void begin(v1::EntryVm::Stub &stub, std::shared_ptr<RunReader> selfReference)
    {
        this->self = std::move(selfReference);
        stub.async()->Run(&this->context, &this->request, this);
        this->AddHold();
        this->call = this->calls.add([this] { this->end(); });
        this->StartCall();
    }

    asio::awaitable<bool> read(v1::RunEvent &event) override
    {
        co_return co_await completionOf([this, &event](Completion completion) {
            this->pending = std::move(completion);
            this->StartRead(&event);
        });
    }

    void cancel() override
    {
        this->context.TryCancel();
    }

    /** Ends the call, unless it was ended from outside before; called when its user drops it. */
    void endIfOpen()
    {
        if (this->calls.claimEnd(this->call))
            this->end();
    }

private:
    void end()
    {
        this->context.TryCancel();
        this->RemoveHold();
    }

    void OnReadDone(bool ok) override
    {
        Completion completion;
        std::swap(completion, this->pending);
        completion(ok);
    }

    void OnDone(const grpc::Status &) override
    {
        OpenCalls &open = this->calls;
        {
            const std::shared_ptr<RunReader> last = std::move(this->self);
        }
        open.markEnded();
    }

    OpenCalls &calls;
    std::uint64_t call = 0;
    v1::RunRequest request;
    grpc::ClientContext context;
    Completion pending;
    std::shared_ptr<RunReader> self;
};

} // namespace

struct PeerClient::Impl
{
    std::shared_ptr<v1::EntryVm::Stub> stubFor(const Endpoint &peer)
    {
        const std::lock_guard guard(this->mutex);
        std::shared_ptr<v1::EntryVm::Stub> &stub = this->stubs[peer];
        if (!stub) {
            grpc::ChannelArguments arguments;
            arguments.SetMaxReceiveMessageSize(maxMessageBytes);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectMs);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minReconnectMs);
            // Entry VMs connect directly, also if the environment names an HTTP proxy.
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            stub = v1::EntryVm::NewStub(grpc::CreateCustomChannel(
                peer.text(), grpc::InsecureChannelCredentials(), arguments));
        }
        return stub;
    }

    template <typename Request, typename Reply, typename Method>
    asio::awaitable<PeerResult<Reply>> unary(Endpoint peer, Request request, Duration timeout,
                                             Method method)
    {
        struct Call
        {
            grpc::ClientContext context;
            Request request;
            Reply reply;
            std::shared_ptr<v1::EntryVm::Stub> stub;
        };
        auto call = std::make_shared<Call>();
        call->stub = this->stubFor(peer);
        call->request = std::move(request);
        call->context.set_deadline(deadlineIn(timeout));
        PeerResult<Reply> result;
        // A variable, not a temporary: GCC 12 destroys the captures of a closure that is built
        // inside a co_await expression twice, which crashes much later.
        OpenCalls &open = this->calls;
        const std::uint64_t number = open.add([call] { call->context.TryCancel(); });
        const auto start = [call, method, &open, number](Completion completion) {
            method(*call->stub, call->context, call->request, call->reply,
                   [call, completion, &open, number](const grpc::Status &status) {
                       open.claimEnd(number);
                       completion(status.ok());
                       open.markEnded();
                   });
        };
        result.ok = co_await completionOf(start);
        if (result.ok)
            result.reply = std::move(call->reply);
        co_return result;
    }

    std::mutex mutex;
    std::map<Endpoint, std::shared_ptr<v1::EntryVm::Stub>> stubs;
    OpenCalls calls;
};

PeerClient::PeerClient()
    : impl(std::make_unique<Impl>())
{ }

// Callbacks post to the io_context of the waiting coroutines, so none may run after this.
PeerClient::~PeerClient()
{
    this->impl->calls.endAll();
    this->impl->calls.waitAll();
}

asio::awaitable<PeerResult<v1::PeerNewsReply>> PeerClient::tell(Endpoint peer, v1::PeerNews news,
                                                                Duration timeout)
{
    return this->impl->unary<v1::PeerNews, v1::PeerNewsReply>(
        std::move(peer), std::move(news), timeout,
        [](v1::EntryVm::Stub &stub, grpc::ClientContext &context, v1::PeerNews &request,
           v1::PeerNewsReply &reply,
           auto done) { stub.async()->Tell(&context, &request, &reply, done); });
}

asio::awaitable<PeerResult<v1::RecordReply>>
PeerClient::record(Endpoint peer, v1::RecordRequest request, Duration timeout)
{
    return this->impl->unary<v1::RecordRequest, v1::RecordReply>(
        std::move(peer), std::move(request), timeout,
        [](v1::EntryVm::Stub &stub, grpc::ClientContext &context, v1::RecordRequest &request,
           v1::RecordReply &reply,
           auto done) { stub.async()->Record(&context, &request, &reply, done); });
}

asio::awaitable<PeerResult<v1::FetchManifestReply>>
PeerClient::fetchManifest(Endpoint peer, v1::FetchManifestRequest request, Duration timeout)
{
    return this->impl->unary<v1::FetchManifestRequest, v1::FetchManifestReply>(
        std::move(peer), std::move(request), timeout,
        [](v1::EntryVm::Stub &stub, grpc::ClientContext &context, v1::FetchManifestRequest &request,
           v1::FetchManifestReply &reply,
           auto done) { stub.async()->FetchManifest(&context, &request, &reply, done); });
}

std::shared_ptr<RemoteRun> PeerClient::run(const Endpoint &peer, const v1::RunRequest &request,
                                           Duration timeout)
{
    auto reader = std::make_shared<RunReader>(this->impl->calls, request, timeout);
    reader->begin(*this->impl->stubFor(peer), reader);
    return std::shared_ptr<RemoteRun>(reader.get(), [reader](RemoteRun *) { reader->endIfOpen(); });
}

void PeerClient::forget(const Endpoint &peer)
{
    const std::lock_guard guard(this->impl->mutex);
    this->impl->stubs.erase(peer);
}

} // namespace monsoonbay
