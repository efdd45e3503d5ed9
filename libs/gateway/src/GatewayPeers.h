#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Gateway.pb.h"
#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

namespace asio = boost::asio;

/** Handlers for requests of other VMs; they run on the gateway's thread. */
struct GatewayPeerHandlers
{
    std::function<gateway::v1::Digest(const gateway::v1::Report &)> exchange;
    std::function<gateway::v1::ConfigPart(const gateway::v1::ConfigRequest &)> readConfig;
    std::function<gateway::v1::Word(const gateway::v1::WordRequest &)> leaseConfirmation;
    std::function<gateway::v1::UseNoted(const gateway::v1::UseNote &)> reportUsage;
    std::function<asio::awaitable<gateway::v1::LoadReply>(gateway::v1::LoadRequest)> load;
    std::function<gateway::v1::PrefillReply(const gateway::v1::PrefillRequest &)> reservePrefill;
    std::function<gateway::v1::OriginsNoted(const gateway::v1::OriginNote &)> reportOrigins;
    std::function<gateway::v1::OriginReply(const gateway::v1::OriginRequest &)> origin;
};

/** The gRPC server and clients for messages between VMs. */
class GatewayPeers
{
public:
    GatewayPeers();
    ~GatewayPeers();

    GatewayPeers(const GatewayPeers &) = delete;
    GatewayPeers &operator=(const GatewayPeers &) = delete;

    /** Returns the port that it listens on. Throws std::system_error if the address is in use. */
    std::uint16_t listen(asio::io_context &context, const Endpoint &endpoint,
                         GatewayPeerHandlers handlers);

    /** Ends all RPCs; none is answered after this. */
    void close();

    asio::awaitable<std::optional<gateway::v1::Digest>>
    exchange(Endpoint peer, std::shared_ptr<const gateway::v1::Report> report, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::ConfigPart>>
    readConfig(Endpoint peer, gateway::v1::ConfigRequest request, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::Word>>
    askLeaseConfirmation(Endpoint peer, gateway::v1::WordRequest request, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::UseNoted>>
    reportUsage(Endpoint peer, gateway::v1::UseNote report, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::LoadReply>>
    load(Endpoint peer, gateway::v1::LoadRequest request, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::PrefillReply>>
    reservePrefill(Endpoint peer, gateway::v1::PrefillRequest request, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::OriginsNoted>>
    reportOrigins(Endpoint peer, gateway::v1::OriginNote report, Duration timeout);

    asio::awaitable<std::optional<gateway::v1::OriginReply>>
    askOrigin(Endpoint peer, gateway::v1::OriginRequest request, Duration timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
