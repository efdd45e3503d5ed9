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

/** Where the owner writes the events of a run; one event is under way at a time. */
class RunSink
{
public:
    virtual ~RunSink() = default;

    /** False once the other side is gone. */
    virtual asio::awaitable<bool> write(const v1::RunEvent &event) = 0;

    virtual bool gone() const = 0;

    /** Calls `handler` once, on any thread, when the other side goes away. */
    virtual void whenGone(std::function<void()> handler) = 0;
};

/** What a VM answers to its peers. The plain functions must not block. */
struct PeerHandlers
{
    std::function<asio::awaitable<void>(v1::RunRequest, std::shared_ptr<RunSink>)> run;
    std::function<asio::awaitable<v1::PeerNewsReply>(v1::PeerNews)> tell;
    std::function<v1::RecordReply(const v1::RecordRequest &)> record;
    std::function<v1::FetchManifestReply(const v1::FetchManifestRequest &)> fetchManifest;
};

/** The gRPC server towards the other entry VMs. */
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

/** A reply, or the fact that the peer did not give one in time. */
template <typename T> struct PeerResult
{
    bool ok = false;
    T reply;
};

/** A request running at the owner on another VM; its events are read one by one. */
class RemoteRun
{
public:
    virtual ~RemoteRun() = default;

    /** Reads the next event; false at the end of the stream, broken or not. */
    virtual asio::awaitable<bool> read(v1::RunEvent &event) = 0;

    /** Tells the owner that nobody waits any more. Thread-safe. */
    virtual void cancel() = 0;
};

/** gRPC clients to the other entry VMs. Thread-safe. */
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

    /** Cuts the connection to a peer that is gone, so that a new one does not reuse its state. */
    void forget(const Endpoint &peer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
