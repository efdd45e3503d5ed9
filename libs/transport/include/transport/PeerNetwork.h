#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "EntryVm.pb.h"
#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** Stream of a run's events from the owner to the VM that sent the run; one write at a time. */
class RunSink
{
public:
    virtual ~RunSink() = default;

    /** Sends an event; false once the other VM has disconnected or cancelled the run. */
    virtual asio::awaitable<bool> write(const v1::RunEvent &event) = 0;

    virtual bool isDisconnected() const = 0;

    /** Calls `handler` once, on any thread, when the other VM disconnects or cancels the run. */
    virtual void onDisconnect(std::function<void()> handler) = 0;
};

/** Handlers of the RPCs. The ones that are not coroutines run on gRPC's threads: never block. */
struct PeerHandlers
{
    std::function<asio::awaitable<void>(v1::RunRequest, std::shared_ptr<RunSink>)> run;
    std::function<asio::awaitable<v1::PeerNewsReply>(v1::PeerNews)> tell;
    std::function<v1::RecordReply(const v1::RecordRequest &)> record;
    std::function<v1::FetchManifestReply(const v1::FetchManifestRequest &)> fetchManifest;
};

/** gRPC server for calls from other entry VMs. */
class PeerServer
{
public:
    PeerServer(asio::io_context &context, const Endpoint &endpoint, PeerHandlers handlers);
    ~PeerServer();

    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    std::uint16_t port() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/** The reply of a peer; `ok` is false if the call failed or timed out. */
template <typename T> struct PeerResult
{
    bool ok = false;
    T reply;
};

/** A run at the target's owner on another VM, whose events are read one by one. */
class RemoteRun
{
public:
    virtual ~RemoteRun() = default;

    /** Reads the next event; false at the end of the stream, whether it is complete or not. */
    virtual asio::awaitable<bool> read(v1::RunEvent &event) = 0;

    /** Cancels the run. Thread-safe. */
    virtual void cancel() = 0;
};

/** gRPC client for calls to other entry VMs. Thread-safe. */
class PeerClient
{
public:
    PeerClient();
    ~PeerClient();

    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    asio::awaitable<PeerResult<v1::PeerNewsReply>> tell(Endpoint peer, v1::PeerNews news,
                                                        Duration timeout);
    asio::awaitable<PeerResult<v1::RecordReply>> record(Endpoint peer, v1::RecordRequest request,
                                                        Duration timeout);
    asio::awaitable<PeerResult<v1::FetchManifestReply>>
    fetchManifest(Endpoint peer, v1::FetchManifestRequest request, Duration timeout);
    std::shared_ptr<RemoteRun> run(const Endpoint &peer, const v1::RunRequest &request,
                                   Duration timeout);

    /** Drops the channel to a peer that is gone; a new VM at its address gets a new channel. */
    void forget(const Endpoint &peer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
