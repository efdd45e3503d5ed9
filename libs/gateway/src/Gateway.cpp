#include "gateway/Gateway.h"

#include "CallListener.h"
#include "CapacityWaiting.h"
#include "ConfigDownload.h"
#include "EngineCommands.h"
#include "Feeds.h"
#include "GatewayNode.h"
#include "LeaseKeeping.h"
#include "LinkWatch.h"
#include "LoopDelay.h"
#include "PeerExchange.h"
#include "PrefillReservation.h"
#include "RelayLoops.h"
#include "StreamResuming.h"
#include "UpdateBytes.h"
#include "UsageReports.h"
#include "UsageSnapshots.h"
#include "observe/Events.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

namespace {

/**
 * The platform checks readiness once a second, and new connections keep arriving until it has
 * checked twice; they are served until then.
 */
constexpr Duration readinessDelay = std::chrono::milliseconds(2600);
constexpr Duration shutdownPollInterval = std::chrono::milliseconds(50);
/** The lease release is sent with the next report to the relay, within some 80 ms. */
constexpr Duration releaseDelay = std::chrono::milliseconds(120);

/** For the ports of the platform and the operators, which are asked by few and send no bodies. */
HttpLimits ownLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 64UL * 1024;
    limits.connections = {2UL * 1024 * 1024, 32};
    return limits;
}

asio::awaitable<void> answerReadiness(GatewayNode &node, HttpExchange &exchange)
{
    HttpReply reply;
    reply.status = isReady(node) ? 200 : 503;
    reply.body = isReady(node) ? R"({"ready":true})" : R"({"ready":false})";
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> answerOperator(GatewayNode &node, HttpExchange &exchange)
{
    HttpReply reply;
    const std::string path(exchange.request().target());
    if (path == "/metrics") {
        reply.contentType = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        reply.body = node.metrics.openMetrics();
    } else if (path == "/healthz") {
        reply.body = R"({"ok":true})";
    } else {
        reply.status = 404;
        reply.body = R"({"title":"unknown path; use /metrics or /healthz"})";
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace

struct Gateway::Impl
{
    explicit Impl(const GatewaySettings &settings)
        : node(settings)
        , callers(node, settings.callers, ListenerKind::Callers)
        , readiness(
              node.context, settings.readiness,
              [this](HttpExchange &exchange) { return answerReadiness(this->node, exchange); },
              ownLimits())
        , operators(
              node.context, settings.operators,
              [this](HttpExchange &exchange) { return answerOperator(this->node, exchange); },
              ownLimits())
    {
        this->node.decoding.emplace(1);
        GatewayPeerHandlers handlers;
        handlers.exchange = [this](const gateway::v1::Report &report) {
            gateway::v1::Digest digest = answerReport(this->node, report);
            countSent(this->node, report.from().zone(), bytesOf(digest));
            return digest;
        };
        handlers.readConfig = [this](const gateway::v1::ConfigRequest &request) {
            gateway::v1::ConfigPart part = answerConfigRequest(this->node, request);
            countSent(this->node, request.from().zone(), bytesOf(part));
            return part;
        };
        handlers.leaseConfirmation = [this](const gateway::v1::WordRequest &request) {
            return answerLeaseConfirmation(this->node, request);
        };
        handlers.reportUsage = [this](const gateway::v1::UseNote &report) {
            return applyUsageReport(this->node, report);
        };
        handlers.load = [this](gateway::v1::LoadRequest request) {
            return performLoad(this->node, std::move(request));
        };
        handlers.reservePrefill = [this](const gateway::v1::PrefillRequest &request) {
            return handlePrefillRequest(this->node, request);
        };
        handlers.reportOrigins = [this](const gateway::v1::OriginNote &report) {
            return handleOriginReport(this->node, report);
        };
        handlers.origin = [this](const gateway::v1::OriginRequest &request) {
            return handleOriginRequest(this->node, request);
        };
        this->peersPort = this->node.peerLinks.listen(
            this->node.context, settings.peersListen.value_or(settings.peers), std::move(handlers));
        if (!settings.peersListen)
            this->node.settings.peers.port = this->peersPort;
        if (settings.forwards)
            this->forwards.emplace(this->node, *settings.forwards, ListenerKind::Peers);
        spawn(this->node, "follow platform", followPlatform(this->node));
        spawn(this->node, "lease", leaseLoop(this->node));
        spawn(this->node, "extend lease", extendLoop(this->node));
        spawn(this->node, "tend", modelLoadLoop(this->node));
        spawn(this->node, "wake calls", wakeWaitingCallsLoop(this->node));
        spawn(this->node, "report usage to lease holders", usageReportLoop(this->node));
        spawn(this->node, "stream origins", streamOriginLoop(this->node));
        spawn(this->node, "words", leaseConfirmationLoop(this->node));
        spawn(this->node, "report to relay", upstreamLoop(this->node));
        spawn(this->node, "exchange with zones", otherZonesLoop(this->node));
        spawn(this->node, "read configuration", readConfigLoop(this->node));
        spawn(this->node, "probe zone peers", zonePeersLoop(this->node));
        spawn(this->node, "watch links", watchLinksLoop(this->node));
        spawn(this->node, "sweep", sweepLoop(this->node));
        spawn(this->node, "write usage snapshots", usageSnapshotLoop(this->node));
        spawn(this->node, "log update bytes", updateLogLoop(this->node));
        spawn(this->node, "measure loop delay", loopDelayLoop(this->node));
    }

    asio::awaitable<void> shutDown()
    {
        const Instant begun = BootClock::now();
        this->node.shuttingDown = true;
        logEvent(EventId::ShutdownBegun,
                 {{"inFlight", std::to_string(this->node.callsInFlight)},
                  {"connections", std::to_string(this->node.connections)}});
        this->node.reportDue.notifyAll();
        const Instant limit = begun + this->node.settings.shutdownLimit;
        this->node.callsEndBy = limit;
        while (BootClock::now() < begun + readinessDelay)
            co_await pauseFor(this->node, shutdownPollInterval);
        this->callers.stopAccepting();
        this->callers.closeIdle();
        // New forwarded calls are still accepted; see admitForwarded().
        if (this->forwards)
            this->forwards->closeIdle();
        while (this->node.connections > 0 && BootClock::now() < limit)
            co_await pauseFor(this->node, shutdownPollInterval);
        this->node.callsEndBy = BootClock::now(); // a call accepted from here on would be aborted
        if (this->forwards)
            this->forwards->stopAccepting();
        co_await leaveLease(this->node);
        this->node.reportDue.notifyAll();
        co_await pauseFor(this->node, releaseDelay);
        this->report.abortedCalls = this->node.callsInFlight;
        logEvent(this->report.abortedCalls == 0 ? EventId::ShutdownDone : EventId::ShutdownCut,
                 {{"requests", std::to_string(this->report.abortedCalls)}});
        this->node.stopped = true;
        this->node.context.stop();
    }

    GatewayNode node;
    CallListener callers;
    std::optional<CallListener> forwards; ///< for calls that other VMs forward
    HttpServer readiness;
    HttpServer operators;
    std::uint16_t peersPort = 0; ///< on which it listens
    GatewayShutdown report;
    bool shutdownRequested = false;
};

Gateway::Gateway(const GatewaySettings &settings)
    : impl(std::make_unique<Impl>(settings))
{
    logEvent(EventId::Started,
             {{"callers", settings.callers.text()},
              {"peers", settings.peers.text()},
              {"zone", settings.zone},
              {"platform", settings.platform},
              {"store", settings.store.text()}});
}

Gateway::~Gateway()
{
    this->impl->node.stopped = true;
    this->impl->node.peerLinks.close();
}

GatewayPorts Gateway::ports() const
{
    GatewayPorts ports;
    ports.callers = this->impl->callers.port();
    ports.readiness = this->impl->readiness.port();
    ports.operators = this->impl->operators.port();
    ports.peers = this->impl->peersPort;
    return ports;
}

GatewayShutdown Gateway::run()
{
    this->impl->node.context.run();
    return this->impl->report;
}

void Gateway::requestShutdown()
{
    asio::post(this->impl->node.context, [this] {
        if (this->impl->shutdownRequested)
            return;
        this->impl->shutdownRequested = true;
        spawn(this->impl->node, "shutdown", this->impl->shutDown());
    });
}

void Gateway::reload(const GatewaySettings &settings)
{
    asio::post(this->impl->node.context, [this, settings] {
        GatewaySettings &current = this->impl->node.settings;
        current.seeds = settings.seeds;
        current.retries = settings.retries;
        current.weights = settings.weights;
        current.shutdownLimit = settings.shutdownLimit;
        logEvent(EventId::SettingsReloaded, {{"seeds", std::to_string(current.seeds.size())}});
    });
}

} // namespace monsoonbay
